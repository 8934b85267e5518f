#include "test/support/http_call.h"

#include <utility>

#include "source/net/http_client.h"

namespace shedlever::test {

std::optional<HttpResponse> httpCall(EventLoop& loop, const Endpoint& to, const HttpRequest& request,
                                     Duration timeout) {
  HttpClientConfig config;
  config.server = to;
  HttpClient client(loop, config);
  std::optional<HttpExchangeResult> ended;
  client.send(request, timeout, [&ended](HttpExchangeResult exchange) { ended = std::move(exchange); });
  loop.runUntil([&ended] { return ended.has_value(); }, timeout + std::chrono::seconds(1));
  if (!ended || ended->status != HttpExchangeStatus::Complete) {
    return std::nullopt;
  }
  return std::move(ended->response);
}

std::optional<HttpResponse> httpCall(EventLoop& loop, const Endpoint& to, const std::string& method,
                                     const std::string& target, const std::string& body, Duration timeout) {
  return httpCall(loop, to, {method, target, {}, body}, timeout);
}

}  // namespace shedlever::test
