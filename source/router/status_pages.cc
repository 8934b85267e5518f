#include "source/router/status_pages.h"

#include <utility>

#include "source/net/metrics_text.h"

namespace shedlever {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr const char* kMetricsPath = "/metrics";
constexpr const char* kStatusPath = "/status";
constexpr const char* kDrainPath = "/drain";

}  // namespace

StatusPages::StatusPages(InterfaceKind interface_kind, Ports ports)
    : interface_kind_(interface_kind), ports_(std::move(ports)) {}

HttpResponse StatusPages::answer(const HttpRequest& request) const {
  if (request.target == kMetricsPath) {
    return {kOk, {{"Content-Type", kMetricsContentType}}, ports_.metrics()};
  }
  if (auto page = answerOperator(request)) {
    return *std::move(page);
  }
  if (!ports_.reports->isReadinessRequest(request)) {
    return {kNotFound, {}, {}};
  }
  return {ports_.ready() ? kOk : kServiceUnavailable, {}, {}};
}

std::optional<HttpResponse> StatusPages::answerOperator(const HttpRequest& request) const {
  if (interface_kind_ != InterfaceKind::Shedlever) {
    return std::nullopt;
  }
  if (request.method == "GET" && request.target == kStatusPath) {
    return statusPage();
  }
  if (request.method == "POST" && request.target == kDrainPath) {
    ports_.drain();
    return statusPage();
  }
  return std::nullopt;
}

HttpResponse StatusPages::statusPage() const {
  return {kOk, {{"Content-Type", "application/json"}}, encodeNodeStatus(ports_.status())};
}

}  // namespace shedlever
