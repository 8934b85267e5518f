#pragma once

/// @file
/// What one router answers about itself: metrics, readiness, and the operators' status and drain.

#include <functional>
#include <optional>
#include <string>

#include "shedlever/platform_ports.h"
#include "source/core/operators/node_status.h"
#include "source/router/router_settings.h"

namespace shedlever {

/// Operators' pages stand only where the product's own interface is used; the platform's has none.
class StatusPages {
 public:
  struct Ports {
    /// Outlives the pages.
    const ReportProtocol* reports = nullptr;
    std::function<bool()> ready;
    /// In Prometheus's text format.
    std::function<std::string()> metrics;
    std::function<NodeStatus()> status;
    /// Empties the server beside the router.
    std::function<void()> drain;
  };

  StatusPages(InterfaceKind interface_kind, Ports ports);

  /// @return the answer; 404 for a page that does not exist.
  HttpResponse answer(const HttpRequest& request) const;

 private:
  std::optional<HttpResponse> answerOperator(const HttpRequest& request) const;
  HttpResponse statusPage() const;

  InterfaceKind interface_kind_;
  Ports ports_;
};

}  // namespace shedlever
