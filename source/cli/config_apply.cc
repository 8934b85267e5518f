#include <algorithm>

#include "source/cli/config_commands.h"
#include "source/cli/config_report.h"
#include "source/cli/config_wait.h"
#include "source/cli/settings_files.h"
#include "source/core/settings/settings_write.h"

namespace shedlever {

namespace {

/// Applies files one after the other; stops at the first that is not accepted.
class Application {
 public:
  explicit Application(CliContext& context) : context_(context) {}

  ExitCode run() {
    Findings findings;
    files_ = readSettingsFiles(context_.operands, findings);
    checkOptions(findings);
    const std::optional<SettingsDocuments> stored = fetchDocuments(context_.ports);
    if (!stored) {
      return failWith(context_, "the store does not answer; nothing was written");
    }
    SettingsDocuments documents = *stored;
    for (const auto& [name, file] : files_) {
      documents[name] = file.document;
    }
    findings.append(validateDocuments(documents));
    if (!findings.empty()) {
      return failWith(context_, findings);
    }
    const ExitCode written = writeAll();
    print(context_, report_.table());
    context_.err << report_.explanation();
    if (written != ExitCode::Done) {
      return written;
    }
    return afterwards();
  }

 private:
  void checkOptions(Findings& findings) {
    if (context_.options.base_version && files_.size() > 1) {
      findings.add("--base", "is the version of one document; give one file with it.");
    }
    if (context_.options.wait && context_.options.operators.empty()) {
      findings.add("--operator", "is required with --wait.");
    }
  }

  ExitCode writeAll() {
    const std::string change_id =
        context_.options.change_id.empty() ? context_.ports.newChangeId() : context_.options.change_id;
    const std::string author = context_.options.author.empty() ? context_.ports.userName() : context_.options.author;
    const ChangeInfo change{change_id, author, context_.ports.currentTime(), 0};
    ExitCode worst = ExitCode::Done;
    for (const auto& [name, file] : files_) {
      if (worst != ExitCode::Done) {
        report_.addSkipped(name);
        continue;
      }
      const SettingsWriteOutcome outcome = write(name, file, change);
      report_.add(name, change_id, outcome);
      worst = exitCodeOf(outcome.status);
      if (worst == ExitCode::Done) {
        applied_[name] = outcome.version;
        save(file, change, outcome);
      }
    }
    return worst;
  }

  SettingsWriteOutcome write(const DocumentName& name, const SettingsFile& file, const ChangeInfo& change) {
    const SettingsWriteRequest request{name, file.document.text, context_.options.base_version, change};
    SettingsWrite write(request, context_.ports.store(), context_.ports.timer());
    return awaitResult<SettingsWriteOutcome>(context_.ports, [&](auto done) { write.start(done); });
  }

  /// The file carries the change that it became, so that the next one starts from it.
  void save(const SettingsFile& file, ChangeInfo change, const SettingsWriteOutcome& outcome) {
    if (!context_.options.save || outcome.status != SettingsWriteStatus::Accepted) {
      return;
    }
    change.base_version = outcome.base_version;
    if (!replaceFile(file.path, withChange(file.document.text, change))) {
      context_.err << "shedlever: " << file.path << " can't be written; the change was accepted all the same\n";
    }
  }

  /// Others may have written other documents meanwhile: the whole must still be right.
  ExitCode afterwards() {
    const std::optional<SettingsDocuments> stored = fetchDocuments(context_.ports);
    const Findings findings = stored ? validateDocuments(*stored) : Findings{};
    if (!findings.empty()) {
      context_.err << "shedlever: written, but together with changes of others the documents have findings; "
                      "nodes keep the settings that they have\n"
                   << toString(findings);
      return ExitCode::Failed;
    }
    return context_.options.wait ? waitUntilActive(context_, applied_) : ExitCode::Done;
  }

  CliContext& context_;
  std::map<DocumentName, SettingsFile> files_;
  std::map<DocumentName, SettingsVersion> applied_;
  ApplyReport report_;
};

}  // namespace

ExitCode runConfigApply(CliContext& context) { return Application(context).run(); }

}  // namespace shedlever
