#include "source/lab/load/load_command.h"

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "source/lab/load/load_options.h"
#include "source/lab/load/load_report.h"
#include "source/lab/load/load_runner.h"
#include "source/net/system_clock_and_random.h"

namespace shedlever::load {

namespace {

constexpr Duration kProgressInterval = std::chrono::milliseconds(500);

/// Shows a progress line while a load runs if standard error is a terminal.
class ProgressLine {
 public:
  ProgressLine(EventLoop& loop, const LoadRunner& runner) : loop_(loop), runner_(runner) {
    if (isatty(STDERR_FILENO) != 0) {
      show();
    }
  }
  ~ProgressLine() {
    loop_.cancel(timer_);
    if (timer_ != 0) {
      std::cerr << "\n";
    }
  }
  ProgressLine(const ProgressLine&) = delete;
  ProgressLine& operator=(const ProgressLine&) = delete;

 private:
  void show() {
    const LoadProgress progress = runner_.progress();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(progress.since_start).count();
    std::cerr << "\r" << seconds << " s  due " << progress.due << "  ended " << progress.ended << "  answered "
              << progress.answered << "   " << std::flush;
    timer_ = loop_.runAfter(kProgressInterval, [this] { show(); });
  }

  EventLoop& loop_;
  const LoadRunner& runner_;
  TimerId timer_ = 0;
};

bool write(const LoadOptions& options, const LoadReport& report, const std::vector<RequestRecord>& records) {
  std::string text;
  switch (options.format) {
    case ReportFormat::Text:
      text = reportText(report);
      break;
    case ReportFormat::Json:
      text = reportJson(options.config, report);
      break;
    case ReportFormat::Csv:
      text = recordsCsv(options.config, records);
      break;
  }
  if (options.output.empty()) {
    std::cout << text << std::flush;
    return std::cout.good();
  }
  std::ofstream file(options.output);
  file << text << std::flush;
  return file.good();
}

int run(const LoadOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  const BootTimeClock clock;
  LoadRunner runner(loop, clock, options.config);
  loop.onSignal(SIGINT, [&runner] { runner.stopSending(); });
  runner.start();
  {
    const ProgressLine progress(loop, runner);
    const Duration max_run_time = options.config.duration + 2 * (options.config.deadline + options.config.reply_grace);
    loop.runUntil([&runner] { return runner.done(); }, max_run_time);
  }
  const LoadReport report = makeReport(runner.records(), kSlowAnswerThreshold);
  if (!write(options, report, runner.records())) {
    std::cerr << "load: cannot write the report file=" << options.output << "\n";
    return EXIT_FAILURE;
  }
  const bool all_correct = report.tally.wrong() == 0 && report.tally.truncated() == 0;
  return all_correct ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int runLoadCommand(const std::vector<std::string>& arguments) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(options, parseLoadOptions(arguments));
        if (options.help) {
          std::cout << loadHelp();
          return EXIT_SUCCESS;
        }
        return run(options);
      },
      [](const Findings& findings) {
        std::cerr << toString(findings);
        return EXIT_FAILURE;
      },
      [] { return EXIT_FAILURE; });
}

}  // namespace shedlever::load
