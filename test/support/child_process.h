#pragma once

/// @file
/// One child process: started, signalled, waited for, and ended with its owner.

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
  /// Takes standard output and error; appended to.
  std::string log_file;
};

/// How a child ended.
struct ChildExit {
  /// Exit status; -1 when a signal ended it.
  int status = -1;
  /// The signal that ended it; 0 for none.
  int signal = 0;
};

class ChildProcess {
 public:
  /// The child is killed when the thread that starts it ends, however that happens.
  /// @return the child, or a NetworkError when it could not be started.
  static leaf::result<std::unique_ptr<ChildProcess>> start(ChildProcessSpec spec);
  /// Kills the child, stopped or not, and takes its end.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  const ChildProcessSpec& spec() const { return spec_; }

  /// Sends a signal; does nothing once the child has ended.
  void signal(int number);

  /// @return how the child ended; nothing while it lives.
  std::optional<ChildExit> poll();

  /// Runs the loop until the child has ended or the cap is over.
  std::optional<ChildExit> waitForExit(EventLoop& loop, Duration cap);

 private:
  ChildProcess(ChildProcessSpec spec, pid_t pid) : spec_(std::move(spec)), pid_(pid) {}

  ChildProcessSpec spec_;
  pid_t pid_;
  std::optional<ChildExit> end_;
};

}  // namespace shedlever::test
