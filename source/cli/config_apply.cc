#include <algorithm>

#include "source/cli/config_commands.h"
#include "source/cli/config_report.h"
#include "source/cli/config_wait.h"
#include "source/cli/settings_files.h"
#include "source/core/settings/settings_write.h"

namespace shedlever {

namespace {

/// Applies files one after the other until a file is not accepted.
class ApplyCommand {
 public:
  explicit ApplyCommand(CliContext& context) : context_(context) {}

  ExitCode run() {
    Findings findings;
    files_ = readSettingsFiles(context_.operands, findings);
    checkOptions(findings);
    const std::optional<SettingsDocuments> stored = fetchDocuments(context_.ports);
    if (!stored) {
      return failWith(context_, "the store does not respond; nothing was written");
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
    return checkStored();
  }

 private:
  void checkOptions(Findings& findings) {
    if (context_.options.base_version && files_.size() > 1) {
      findings.add("--base", "applies to one document; give only one file.");
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
    ExitCode result = ExitCode::Done;
    for (const auto& [name, file] : files_) {
      if (result != ExitCode::Done) {
        report_.addSkipped(name);
        continue;
      }
      const SettingsWriteOutcome outcome = write(name, file, change);
      report_.add(name, change_id, outcome);
      result = exitCodeOf(outcome.status);
      if (result == ExitCode::Done) {
        applied_[name] = outcome.version;
        save(file, change, outcome);
      }
    }
    return result;
  }

  SettingsWriteOutcome write(const DocumentName& name, const SettingsFile& file, const ChangeInfo& change) {
    const SettingsWriteRequest request{name, file.document.text, context_.options.base_version, change};
    SettingsWrite write(request, context_.ports.store(), context_.ports.timer());
    return awaitResult<SettingsWriteOutcome>(context_.ports, [&](auto done) { write.start(done); });
  }

  /// With `--save`, stores the accepted change in the file, so that the next change is based on it.
  void save(const SettingsFile& file, ChangeInfo change, const SettingsWriteOutcome& outcome) {
    if (!context_.options.save || outcome.status != SettingsWriteStatus::Accepted) {
      return;
    }
    change.base_version = outcome.base_version;
    if (!replaceFile(file.path, withChange(file.document.text, change))) {
      context_.err << "shedlever: " << file.path << " can't be written; the change was accepted\n";
    }
  }

  /// Validates all stored documents again, because other operators may have written documents in the meantime.
  ExitCode checkStored() {
    const std::optional<SettingsDocuments> stored = fetchDocuments(context_.ports);
    const Findings findings = stored ? validateDocuments(*stored) : Findings{};
    if (!findings.empty()) {
      context_.err << "shedlever: written, but the documents are invalid together with changes of other operators; "
                      "nodes keep their current settings\n"
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

ExitCode runConfigApply(CliContext& context) { return ApplyCommand(context).run(); }

}  // namespace shedlever
