#include "source/cli/network_cli_ports.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>

#include "source/cli/metadata_object_store.h"
#include "source/net/event_loop.h"
#include "source/net/http_client.h"
#include "source/net/system_clock_and_random.h"

namespace shedlever {

namespace {

/// The commands read documents by name. Unreadable objects of other writers don't matter to them.
void ignoreUnreadable(const std::string&) {}

/// Longer than the timeout of every single call.
constexpr Duration kMaxWait = std::chrono::minutes(5);
constexpr Duration kOperatorTimeout = std::chrono::seconds(10);

OperatorResponse toOperatorResponse(const HttpExchangeResult& exchange) {
  switch (exchange.status) {
    case HttpExchangeStatus::Complete:
      return {OperatorCallStatus::Answered, exchange.response.status, exchange.response.body};
    case HttpExchangeStatus::NotSent:
      return {OperatorCallStatus::NotSent, 0, ""};
    case HttpExchangeStatus::ConnectionLost:
    case HttpExchangeStatus::Malformed:
    case HttpExchangeStatus::TimedOut:
    case HttpExchangeStatus::Cancelled:
      break;
  }
  return {OperatorCallStatus::ResponseLost, 0, ""};
}

class HttpOperatorClient final : public OperatorClient {
 public:
  explicit HttpOperatorClient(EventLoop& loop) : loop_(loop) {}

  void call(const Endpoint& router, const std::string& method, const std::string& target,
            std::function<void(const OperatorResponse&)> done) override {
    std::unique_ptr<HttpClient>& client = clients_[router];
    if (!client) {
      HttpClientConfig config;
      config.server = router;
      client = std::make_unique<HttpClient>(loop_, config);
    }
    client->send({method, target, {}, ""}, kOperatorTimeout,
                 [done = std::move(done)](const HttpExchangeResult& exchange) { done(toOperatorResponse(exchange)); });
  }

 private:
  EventLoop& loop_;
  std::map<Endpoint, std::unique_ptr<HttpClient>> clients_;
};

class LoopTimer final : public RetryTimer {
 public:
  explicit LoopTimer(EventLoop& loop) : loop_(loop) {}
  void runAfter(Duration delay, std::function<void()> callback) override { loop_.runAfter(delay, std::move(callback)); }

 private:
  EventLoop& loop_;
};

HttpClientConfig storeConfig(const CliOptions& options) {
  HttpClientConfig config;
  config.server = options.platform.value_or(Endpoint{});
  return config;
}

class NetworkCliPorts final : public CliPorts {
 public:
  NetworkCliPorts(const CliOptions& options, const StoreFactory& make_store)
      : operators_(loop_),
        timer_(loop_),
        store_client_(loop_, storeConfig(options)),
        store_(make_store(
            [this](StoreCall call, std::function<void(std::optional<HttpResponse>)> done) {
              callStore(std::move(call.request), call.timeout, std::move(done));
            },
            ignoreUnreadable)),
        objects_(*store_) {}

  ObjectStore& store() override { return objects_; }
  OperatorClient& operators() override { return operators_; }
  RetryTimer& timer() override { return timer_; }
  bool runUntil(const std::function<bool()>& done) override { return loop_.runUntil(done, kMaxWait); }

  std::string currentTime() override {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
  }

  std::string newChangeId() override {
    std::array<char, 40> text{};
    const auto first = static_cast<unsigned long long>(random_.next());
    const auto second = static_cast<unsigned long long>(random_.next());
    const int length = std::snprintf(text.data(), text.size(), "%016llx%016llx", first, second);
    return {text.data(), static_cast<std::size_t>(length)};
  }

  std::string userName() override {
    for (const char* variable : {"LOGNAME", "USER"}) {
      const char* name = std::getenv(variable);
      if (name != nullptr && *name != '\0') {
        return name;
      }
    }
    return "unknown";
  }

 private:
  void callStore(HttpRequest request, Duration timeout, std::function<void(std::optional<HttpResponse>)> done) {
    store_client_.send(std::move(request), timeout, [done = std::move(done)](HttpExchangeResult exchange) {
      const bool answered = exchange.status == HttpExchangeStatus::Complete;
      done(answered ? std::optional<HttpResponse>(std::move(exchange.response)) : std::nullopt);
    });
  }

  EventLoop loop_;
  SystemRandom random_;
  HttpOperatorClient operators_;
  LoopTimer timer_;
  HttpClient store_client_;
  std::unique_ptr<MetadataStore> store_;
  MetadataObjectStore objects_;
};

}  // namespace

CliPortsFactory makeNetworkCliPorts(StoreFactory make_store) {
  return [make_store = std::move(make_store)](const CliOptions& options) {
    return std::make_unique<NetworkCliPorts>(options, make_store);
  };
}

}  // namespace shedlever
