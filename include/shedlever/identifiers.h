#pragma once

/// @file
/// Identifiers. Each is a distinct type, so that, for example, a tenant can't be passed where a service is expected.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace shedlever {

/// A string identifier. @tparam Tag makes the types distinct.
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

/// A service: a group of back ends that handle the same kind of request.
using ServiceName = StrongName<struct ServiceNameTag>;
/// A group of callers whose traffic is isolated from that of other tenants.
using TenantName = StrongName<struct TenantNameTag>;
/// A failure domain within a region.
using ZoneName = StrongName<struct ZoneNameTag>;
/// The configured name of a node; stays the same across restarts.
using NodeName = StrongName<struct NodeNameTag>;
/// Identifies one instance of a server, that is, one run of its process.
using InstanceId = StrongName<struct InstanceIdTag>;
/// Identifies one request; unique across all gateways.
using RequestId = StrongName<struct RequestIdTag>;
/// The key, chosen by the caller, under which a request runs at most once.
using IdempotencyKey = StrongName<struct IdempotencyKeyTag>;

/// Identifies one run of a process: the wall-clock time of its start in microseconds, raised above any value that an
/// earlier run could have read, so that a restarted process is never mistaken for its predecessor.
struct Incarnation {
  std::uint64_t value = 0;
  auto operator<=>(const Incarnation&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// One run of the process of a node.
struct NodeIdentity {
  NodeName name;
  Incarnation incarnation;
  auto operator<=>(const NodeIdentity&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

/// Address at which a process listens: an IP address (no host names) and a port.
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

/// @return "name/incarnation", the form used in logs.
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
