#pragma once

/// @file
/// Counters and histograms of one router process.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <string>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

class RouterMetrics {
 public:
  RouterMetrics();

  /// A client's request has had its final answer.
  /// @param outcome "answered", "refused", "failed", ...
  void onRequest(const std::string& outcome, Duration held);
  /// A request goes to another server, or to the same one again.
  void onRetry(ForwardReason reason);
  /// The process changed what it believes.
  void onEvent(const std::string& event);

  /// @return all metrics in Prometheus's text format.
  std::string text() const;

 private:
  using Counters = std::map<std::string, prometheus::Counter*, std::less<>>;
  static prometheus::Counter& counterOf(Counters& counters, prometheus::Family<prometheus::Counter>& family,
                                        const char* label, const std::string& value);

  prometheus::Registry registry_;
  /// Found once: a look-up by labels costs more than the rest of the count.
  Counters request_counters_;
  Counters retry_counters_;
  Counters event_counters_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& events_;
  prometheus::Histogram& held_;
};

}  // namespace shedlever
