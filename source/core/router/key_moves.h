#pragma once

/// @file
/// Keys on their way from this node's server to others.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "source/core/router/grant_channel.h"
#include "source/core/router/owner_table.h"
#include "source/core/router/table_writer.h"

namespace shedlever {

/// One batch at a time: its ranges are marked in the table, the server lets go of them, and one write of the table
/// gives all of them to their new owners.
class KeyMoves {
 public:
  struct Ports {
    const TableWriter* writer = nullptr;
    /// Queues a change of the table.
    std::function<void(const std::string& what, TableWriter::Edit, TableWriter::Done)> change;
    /// As `change`, for one that gives keys to these.
    std::function<void(const std::string& what, const std::vector<OwnerLocation>& to, TableWriter::Edit,
                       TableWriter::Done)>
        transfer;
    /// The server is to let go of a range.
    std::function<void(const OwnedRange&, GrantChannel::ReleaseCallback)> release;
    /// @return servers that may be given keys now.
    std::function<std::vector<OwnerLocation>()> targets;
    /// @return requests a second for the keys.
    std::function<std::uint32_t(const KeyRange&)> rate_of;
    /// Nothing listens at the server's address.
    std::function<void()> on_server_gone;
    /// The batch has been given away.
    std::function<void()> on_batch_done;
  };

  explicit KeyMoves(Ports ports) : ports_(std::move(ports)) {}

  /// Moves pieces of the server's ranges to these in turn. @param from the server that owns them.
  void start(const OwnerLocation& from, const std::vector<KeyRange>& pieces, const std::vector<OwnerLocation>& to);

  bool empty() const { return moves_.empty(); }

  /// The server that owned them is gone: what is under way counts for nothing.
  void cancel();

 private:
  struct Move {
    OwnedRange range;
    OwnerLocation target;
    bool released = false;
    std::string handover;
    /// Requests a second for them when the move began.
    std::uint32_t rate = 0;
  };

  void onReleaseMarked(const std::vector<KeyRange>& pieces, const std::vector<OwnerLocation>& to);
  void release(std::size_t index);
  void onReleased(std::size_t index, std::uint64_t batch, const ReleaseResult& result);
  void assign();

  Ports ports_;
  OwnerLocation from_;
  std::vector<Move> moves_;
  /// Numbers batches: what comes of an earlier one counts for nothing.
  std::uint64_t batch_ = 0;
};

}  // namespace shedlever
