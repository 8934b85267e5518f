#include "test/support/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <utility>

#include "test/support/event_wait.h"

namespace shedlever::test {

namespace {

constexpr int kExecFailed = 127;
constexpr int kLogMode = 0644;

/// Runs in the child: only calls that are safe between fork and exec.
[[noreturn]] void becomeProgram(const char* program, char* const* arguments, int log, pid_t parent) {
  // A test that is killed on its time limit leaves nothing behind. posix_spawn can't do this.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kExecFailed);
  }
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(program, arguments);
  _exit(kExecFailed);
}

}  // namespace

leaf::result<std::unique_ptr<ChildProcess>> ChildProcess::start(ChildProcessSpec spec) {
  const int log = open(spec.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
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
    becomeProgram(spec.program.c_str(), arguments.data(), log, parent);
  }
  const int failure = errno;
  close(log);
  if (pid < 0) {
    return leaf::new_error(NetworkError{"fork " + spec.program, failure});
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

std::optional<ChildExit> ChildProcess::poll() {
  int status = 0;
  if (end_ || waitpid(pid_, &status, WNOHANG) != pid_) {
    return end_;
  }
  end_ = ChildExit{};
  if (WIFEXITED(status)) {
    end_->status = WEXITSTATUS(status);
  } else if (WIFSIGNALED(status)) {
    end_->signal = WTERMSIG(status);
  }
  return end_;
}

std::optional<ChildExit> ChildProcess::waitForExit(EventLoop& loop, Duration cap) {
  waitFor(
      loop, [this] { return poll().has_value(); }, cap);
  return poll();
}

}  // namespace shedlever::test
