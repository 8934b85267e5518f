/// @file
/// Program `review-store-proxy`: passes calls on to the stand-in of the platform's store. While it is told to, it loses
/// the answers of writes that replace an object: such a call gets no answer and reaches the store later, as the
/// platform's pages allow ("A call that received no answer may have been carried out, or may be carried out seconds
/// afterward if its condition still holds").
///
/// `POST /late` with a number of milliseconds as its body sets how much later; 0 passes all calls on at once.

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "source/net/http_client.h"
#include "standins/standin_http_server.h"
#include "standins/standin_process.h"

namespace {

using namespace shedlever;
using standins::StandinRequest;
using standins::StandinResponder;

constexpr std::size_t kMaxConnections = 256;
/// Longer than the longest wait of a watch.
constexpr Duration kCallTimeout = std::chrono::seconds(40);
constexpr int kOk = 200;

class StoreProxy {
 public:
  StoreProxy(EventLoop& loop, const Endpoint& store) : loop_(loop), store_(loop, storeConfig(store)) {}

  void handle(const StandinRequest& request, StandinResponder responder) {
    if (request.path == "/late") {
      delay_ = std::chrono::milliseconds(std::stoul(request.http.body));
      responder.replyJson(kOk, "{}");
      return;
    }
    if (request.http.method == "PUT" && delay_ > Duration::zero()) {
      executeLate(request.http, responder);
      return;
    }
    store_.send(request.http, kCallTimeout, [responder](const HttpExchangeResult& exchange) mutable {
      if (exchange.status == HttpExchangeStatus::Complete) {
        responder.reply(exchange.response);
      } else {
        responder.drop();
      }
    });
  }

 private:
  static HttpClientConfig storeConfig(const Endpoint& store) {
    HttpClientConfig config;
    config.server = store;
    config.max_connections = kMaxConnections;
    return config;
  }

  void executeLate(const HttpRequest& call, const StandinResponder& responder) {
    unanswered_.push_back(responder);
    std::cout << "late " << call.method << " " << call.target << " " << call.body << std::endl;
    loop_.runAfter(delay_, [this, call] {
      store_.send(call, kCallTimeout, [target = call.target](const HttpExchangeResult& exchange) {
        std::cout << "carried out late " << target << " " << exchange.response.status << std::endl;
      });
    });
  }

  EventLoop& loop_;
  HttpClient store_;
  Duration delay_{};
  /// Keeps the connections of calls open that get no answer.
  std::vector<StandinResponder> unanswered_;
};

}  // namespace

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::string listen;
  std::string store;
  options::options_description flags("review-store-proxy: loses answers of the platform's store");
  flags.add_options()("help", "this text")("listen", options::value(&listen)->required(), "IP:PORT")(
      "store", options::value(&store)->required(), "IP:PORT of the store");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, flags), values);
  options::notify(values);
  const auto endpoint = standins::parseEndpoint(listen);
  const auto store_endpoint = standins::parseEndpoint(store);
  if (!endpoint || !store_endpoint) {
    std::cerr << flags;
    return EXIT_FAILURE;
  }
  EventLoop loop;
  StoreProxy proxy(loop, *store_endpoint);
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        const auto handler = [&proxy](const StandinRequest& request, const StandinResponder& responder) {
          proxy.handle(request, responder);
        };
        BOOST_LEAF_AUTO(server, standins::StandinHttpServer::listen(loop, *endpoint, 0, handler));
        standins::runUntilSignalled(loop, server->endpoint());
        return EXIT_SUCCESS;
      },
      [] { return EXIT_FAILURE; });
}
