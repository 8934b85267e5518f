#pragma once

/// @file
/// Whether the local server accepts connections.

namespace shedlever {

/// A server to which several connections in a row could not be made is silent until a probe is answered.
class ServerReachability {
 public:
  /// Another instance is running. A probe that is under way goes on.
  void reset();

  /// A connection could not be made in time.
  /// @return whether the server has become silent by this.
  bool onConnectionFailed();
  void onResponse() { failed_connections_ = 0; }

  bool silent() const { return silent_; }

  /// @return whether to send a probe now: the server is silent and no probe is under way.
  bool startProbe();
  /// @param answered the server is not silent any more.
  void onProbeEnded(bool answered);

 private:
  bool silent_ = false;
  bool probing_ = false;
  /// Consecutive failed connections.
  unsigned failed_connections_ = 0;
};

}  // namespace shedlever
