#pragma once

/// @file
/// HTTP endpoints of a router process about itself: metrics, readiness, and the operators' status and drain endpoints.

#include <functional>
#include <optional>
#include <string>

#include "shedlever/platform_ports.h"
#include "source/core/operators/node_status.h"
#include "source/router/router_settings.h"

namespace shedlever {

/// The status and drain endpoints exist only with the product's own interface, not with the platform's.
class StatusPages {
 public:
  struct Ports {
    /// Outlives the pages.
    const ReportProtocol* reports = nullptr;
    std::function<bool()> ready;
    /// Metrics in the Prometheus text format.
    std::function<std::string()> metrics;
    std::function<NodeStatus()> status;
    /// Starts draining the local server.
    std::function<void()> drain;
  };

  StatusPages(InterfaceKind interface_kind, Ports ports);

  /// @return the response; status 404 if the endpoint does not exist.
  HttpResponse answer(const HttpRequest& request) const;

 private:
  std::optional<HttpResponse> answerOperator(const HttpRequest& request) const;
  HttpResponse statusPage() const;

  InterfaceKind interface_kind_;
  Ports ports_;
};

}  // namespace shedlever
