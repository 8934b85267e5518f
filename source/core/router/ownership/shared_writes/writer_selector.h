#pragma once

/// @file
/// Which process writes an owner table for the others.

#include <cstdint>
#include <functional>
#include <map>

#include "source/core/router/directory/server_directory.h"

namespace shedlever {

/// The first node by name among the nodes of the service that this process can send edits to, itself included. All
/// processes choose alike as far as they are connected to the same nodes; if two choose differently, both write.
class WriterSelector {
 public:
  struct Ports {
    const ServerDirectory* directory = nullptr;
    /// @return whether there is a stream to the node's process, in a version that has edits.
    std::function<bool(const NodeName&)> can_send;
    /// Opens a stream to the node.
    std::function<void(const NodeName&)> connect;
  };

  struct Selection {
    enum class Kind : std::uint8_t {
      Self,   ///< this process writes
      Other,  ///< `node` writes
      Wait,   ///< a stream to the node that would write is being opened
    };
    Kind kind = Kind::Self;
    NodeName node = {};
  };

  WriterSelector(NodeName self, ServiceName service, Ports ports);

  Selection select(TimePoint now);

  /// The node did not answer or did not decide: it gets no edits for a while.
  void onFailed(const NodeName& node, TimePoint now);

 private:
  /// @return whether the node may still be connected in time.
  bool mayConnect(const NodeName& node, TimePoint now);

  NodeName self_;
  ServiceName service_;
  Ports ports_;
  std::map<NodeName, TimePoint> excluded_until_;
  /// Nodes without a stream, and since when one has been opened.
  std::map<NodeName, TimePoint> connecting_since_;
};

}  // namespace shedlever
