#pragma once

/// @file
/// The metrics of a process in the Prometheus text format.

#include <prometheus/collectable.h>

#include <string>

namespace shedlever {

inline constexpr const char* kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/// @return all metrics of the registry as the body of the response to `GET /metrics`.
std::string metricsText(const prometheus::Collectable& registry);

}  // namespace shedlever
