#pragma once

/// @file
/// Identifiers. Each is a type of its own, so that a tenant can't be passed where a service is due.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace shedlever {

/// A name of one kind. @tparam Tag makes the kinds distinct.
template <class Tag>
struct StrongName {
  std::string value;

  StrongName() = default;
  explicit StrongName(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  auto operator<=>(const StrongName&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// A service: a group of back ends that answer the same kind of request.
using ServiceName = StrongName<struct ServiceNameTag>;
/// A group of callers whose traffic is kept apart from that of others.
using TenantName = StrongName<struct TenantNameTag>;
/// A failure domain inside a region.
using ZoneName = StrongName<struct ZoneNameTag>;
/// One process of the system, by its configured name; stays the same over restarts.
using NodeName = StrongName<struct NodeNameTag>;
/// Names one life of a server.
using InstanceId = StrongName<struct InstanceIdTag>;
/// Identifies one request from its arrival at a gateway; unique over all gateways.
using RequestId = StrongName<struct RequestIdTag>;
/// The caller's key under which a once-only request runs at most once.
using IdempotencyKey = StrongName<struct IdempotencyKeyTag>;

/// One life of a process: microseconds of wall-clock time at its start, made larger than any that the
/// process could read before. A restarted process is never taken for the one before it.
struct Incarnation {
  std::uint64_t value = 0;
  auto operator<=>(const Incarnation&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// One life of one process.
struct NodeIdentity {
  NodeName name;
  Incarnation incarnation;
  auto operator<=>(const NodeIdentity&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

/// Where a process listens: an IP address (no host names) and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, port);
  }
};

/// @return "address:port".
inline std::string toString(const Endpoint& endpoint) { return endpoint.address + ":" + std::to_string(endpoint.port); }

/// @return "name/incarnation", as logs show a process.
inline std::string toString(const NodeIdentity& node) {
  return node.name.value + "/" + std::to_string(node.incarnation.value);
}

}  // namespace shedlever

template <class Tag>
struct std::hash<shedlever::StrongName<Tag>> {
  std::size_t operator()(const shedlever::StrongName<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value);
  }
};
