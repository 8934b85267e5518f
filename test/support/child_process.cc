#include "test/support/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <utility>

#include "test/support/event_wait.h"

namespace shedlever::test {

namespace {

constexpr int kExecFailed = 127;
constexpr int kLogFileMode = 0644;

/// Runs in the child; uses only calls that are safe between fork and exec.
[[noreturn]] void execProgram(const char* program, char* const* arguments, int log, pid_t parent) {
  // Ends the child also when the test is killed, for example at its time limit; posix_spawn has no such option.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kExecFailed);
  }
  sigset_t no_signals;
  sigemptyset(&no_signals);
  sigprocmask(SIG_SETMASK, &no_signals, nullptr);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(program, arguments);
  _exit(kExecFailed);
}

}  // namespace

leaf::result<std::unique_ptr<ChildProcess>> ChildProcess::start(ChildProcessSpec spec) {
  const int log = open(spec.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogFileMode);
  if (log < 0) {
    return leaf::new_error(NetworkError{"open " + spec.log_file, errno});
  }
  std::vector<char*> arguments{spec.program.data()};
  for (std::string& argument : spec.arguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    execProgram(spec.program.c_str(), arguments.data(), log, parent);
  }
  const int error = errno;
  close(log);
  if (pid < 0) {
    return leaf::new_error(NetworkError{"fork " + spec.program, error});
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(std::move(spec), pid));
}

ChildProcess::~ChildProcess() {
  if (!poll()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void ChildProcess::signal(int number) {
  if (!poll()) {
    kill(pid_, number);
  }
}

bool ChildProcess::handles(int number) const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  const std::string label = "SigCgt:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(label)) {
      constexpr int kHexadecimal = 16;
      const unsigned long long caught = std::stoull(line.substr(label.size()), nullptr, kHexadecimal);
      return (caught >> (number - 1) & 1U) != 0;
    }
  }
  return false;
}

std::optional<ChildExit> ChildProcess::poll() {
  int status = 0;
  if (exit_ || waitpid(pid_, &status, WNOHANG) != pid_) {
    return exit_;
  }
  exit_ = ChildExit{};
  if (WIFEXITED(status)) {
    exit_->status = WEXITSTATUS(status);
  } else if (WIFSIGNALED(status)) {
    exit_->signal = WTERMSIG(status);
  }
  return exit_;
}

std::optional<ChildExit> ChildProcess::waitForExit(EventLoop& loop, Duration limit) {
  waitFor(
      loop, [this] { return poll().has_value(); }, limit);
  return poll();
}

}  // namespace shedlever::test
