#pragma once

/// @file
/// The requests of one client connection whose responses are not written yet. Responses may become ready in any order
/// and are written in the order of the requests.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "shedlever/http_messages.h"

namespace shedlever {

/// Keeps each response until all earlier ones have been taken.
class PipelinedExchanges {
 public:
  using Number = std::uint64_t;
  using DisconnectCallback = std::function<void()>;

  struct Exchange {
    Number number = 0;
    /// Whether the request's method is HEAD, so that the response has no body.
    bool is_head = false;
    /// Whether the client keeps the connection open after the response.
    bool keeps_connection = true;
    DisconnectCallback on_disconnect;
    /// The response, once it is ready.
    std::optional<HttpResponse> response;
  };

  /// Adds the next request. @return its number.
  Number add(bool is_head, bool keeps_connection);

  /// @return false if the request already has a response or is unknown.
  bool setResponse(Number number, HttpResponse response);
  /// @param callback for the end of the connection before the response; ignored if the request has a response.
  void setDisconnectCallback(Number number, DisconnectCallback callback);

  bool empty() const { return exchanges_.empty(); }
  std::size_t size() const { return exchanges_.size(); }
  /// @return the number of requests without a response.
  std::size_t pending() const { return pending_; }
  bool isPending(Number number) const;
  /// @return bytes of the bodies of responses that are ready.
  std::size_t readyBytes() const { return ready_bytes_; }

  /// @return the oldest exchange if its response is ready; null otherwise.
  const Exchange* ready() const;
  /// Removes the oldest exchange, whose response must be ready.
  Exchange takeReady();

  /// Removes all exchanges. @return the callbacks of the requests without a response.
  std::vector<DisconnectCallback> clear();

 private:
  Exchange* findPending(Number number);

  std::deque<Exchange> exchanges_;
  Number last_number_ = 0;
  std::size_t pending_ = 0;
  std::size_t ready_bytes_ = 0;
};

}  // namespace shedlever
