#pragma once

/// @file
/// A child process that is started, signalled and waited for, and is killed when its owner is destroyed.

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "source/net/event_loop.h"

namespace shedlever::test {

struct ChildProcessSpec {
  std::string program;
  std::vector<std::string> arguments;
  /// Standard output and error are appended to this file.
  std::string log_file;
};

/// The exit of a child process.
struct ChildExit {
  /// Exit status; -1 if a signal ended the child.
  int status = -1;
  /// The signal that ended the child; 0 for none.
  int signal = 0;
};

class ChildProcess {
 public:
  /// The kernel kills the child when the thread that starts it ends for any reason.
  /// @return the child, or a NetworkError if the log could not be opened or the fork failed. If the program cannot be
  /// executed, the child exits with status 127.
  static leaf::result<std::unique_ptr<ChildProcess>> start(ChildProcessSpec spec);
  /// Kills the child, also if it is stopped, and waits for its exit.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  const ChildProcessSpec& spec() const { return spec_; }

  /// Sends a signal; does nothing if the child has exited.
  void signal(int number);

  /// @return whether the child has installed a handler for the signal. Before that, the signal would end it before it
  ///   has started to work.
  bool handles(int number) const;

  /// @return the exit of the child; nothing while it is running.
  std::optional<ChildExit> poll();

  /// Runs the loop until the child has exited or the time limit has passed.
  /// @return the exit of the child; nothing if it is still running.
  std::optional<ChildExit> waitForExit(EventLoop& loop, Duration limit);

 private:
  ChildProcess(ChildProcessSpec spec, pid_t pid) : spec_(std::move(spec)), pid_(pid) {}

  ChildProcessSpec spec_;
  pid_t pid_;
  std::optional<ChildExit> exit_;
};

}  // namespace shedlever::test
