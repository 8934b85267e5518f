#pragma once

/// @file
/// Moves keys from this node's server to others.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "source/core/router/ownership/grant_channel.h"
#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/table_writer.h"

namespace shedlever {

/// Moves one batch at a time: marks its ranges in the table, has the server release them, and transfers all of them to
/// their new owners with one write of the table.
class KeyMoves {
 public:
  struct Ports {
    const TableWriter* writer = nullptr;
    const Clock* clock = nullptr;
    /// Delay before a release is repeated that was not executed or got no answer.
    Duration release_retry{};
    /// Queues a change of the table.
    std::function<void(const std::string& what, std::vector<TableEdit>, TableWriter::Done)> change;
    /// Queues a change of the table that transfers keys to these servers.
    std::function<void(const std::string& what, const std::vector<OwnerLocation>& to, std::vector<TableEdit>,
                       TableWriter::Done)>
        transfer;
    /// Asks the server to release a range.
    std::function<void(const OwnedRange&, GrantChannel::ReleaseCallback)> release;
    /// @return servers that keys may be moved to now.
    std::function<std::vector<OwnerLocation>()> targets;
    /// @return requests per second for the keys.
    std::function<std::uint32_t(const KeyRange&)> rate_of;
    /// Nothing listens at the server's address, or another instance does.
    std::function<void()> on_server_gone;
    /// The batch has ended: its last change of the table was written or no longer applied.
    std::function<void()> on_batch_done;
  };

  explicit KeyMoves(Ports ports) : ports_(std::move(ports)) {}

  /// Moves the pieces of the server's ranges to the servers in `to`, in turn.
  /// @param from the server that owns them.
  void start(const OwnerLocation& from, const std::vector<KeyRange>& pieces, const std::vector<OwnerLocation>& to);

  bool empty() const { return moves_.empty(); }

  /// Repeats the releases that are due.
  void tick(TimePoint now);

  /// Drops the current batch, because the server that owned its keys is gone.
  void cancel();

 private:
  struct Move {
    OwnedRange range;
    OwnerLocation target;
    bool released = false;
    std::string handover;
    /// Requests per second for the range when the move began.
    std::uint32_t rate = 0;
    /// When the release is repeated; std::nullopt while it is in flight and once it is done.
    std::optional<TimePoint> retry_at;
  };

  void onReleaseMarked(const std::vector<KeyRange>& pieces, const std::vector<OwnerLocation>& to);
  void release(std::size_t index);
  void onReleased(std::size_t index, std::uint64_t batch, const ReleaseResult& result);
  /// The server did not release the range, or it is not known whether it did.
  void onNotReleased(std::size_t index, CommandStatus status);
  void assign();

  Ports ports_;
  OwnerLocation from_;
  std::vector<Move> moves_;
  /// Identifies the batch; results of earlier batches are ignored.
  std::uint64_t batch_ = 0;
};

}  // namespace shedlever
