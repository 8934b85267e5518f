#include "test/support/http_call.h"

#include <utility>

#include "source/net/http_client.h"

namespace shedlever::test {

std::optional<HttpResponse> httpCall(EventLoop& loop, const Endpoint& to, const HttpRequest& request,
                                     Duration timeout) {
  HttpClientConfig config;
  config.server = to;
  HttpClient client(loop, config);
  std::optional<HttpExchangeResult> result;
  client.send(request, timeout, [&result](HttpExchangeResult exchange) { result = std::move(exchange); });
  loop.runUntil([&result] { return result.has_value(); }, timeout + std::chrono::seconds(1));
  if (!result || result->status != HttpExchangeStatus::Complete) {
    return std::nullopt;
  }
  return std::move(result->response);
}

std::optional<HttpResponse> httpCall(EventLoop& loop, const Endpoint& to, const std::string& method,
                                     const std::string& target, const std::string& body, Duration timeout) {
  return httpCall(loop, to, {method, target, {}, body}, timeout);
}

}  // namespace shedlever::test
