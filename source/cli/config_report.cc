#include "source/cli/config_report.h"

namespace shedlever {

namespace {

std::string outcomeName(SettingsWriteStatus status) {
  switch (status) {
    case SettingsWriteStatus::Accepted:
      return "accepted";
    case SettingsWriteStatus::Unchanged:
      return "unchanged";
    case SettingsWriteStatus::Conflict:
      return "conflict";
    case SettingsWriteStatus::NotAccepted:
      return "not-accepted";
    case SettingsWriteStatus::Unknown:
      return "unknown";
  }
  return "unknown";
}

std::string indented(const std::string& lines) {
  std::string text;
  std::size_t begin = 0;
  while (begin < lines.size()) {
    const std::size_t end = lines.find('\n', begin);
    text += "  " + lines.substr(begin, end - begin) + "\n";
    begin = end == std::string::npos ? lines.size() : end + 1;
  }
  return text;
}

std::string authorOf(const ChangeInfo& change) {
  if (change.id.empty()) {
    return "written without a change id";
  }
  return "by " + change.author + " at " + change.changed_at + ", change " + change.id;
}

std::string explainConflict(const DocumentName& document, const SettingsWriteOutcome& outcome) {
  const SettingsConflict& conflict = *outcome.conflict;
  std::string text = document.value + ": nothing was written: " + outcome.message + "\n";
  if (conflict.current_version == 0) {
    return text;
  }
  text +=
      "stored is version " + std::to_string(conflict.current_version) + ", " + authorOf(conflict.current_change) + "\n";
  if (conflict.base_version == 0) {
    return text + "differences from your file to the stored document:\n" + indented(toString(conflict.theirs));
  }
  text += "changed since version " + std::to_string(conflict.base_version) + ", on which your file is based:\n";
  text += indented(toString(conflict.theirs));
  text += "your changes:\n" + indented(toString(conflict.ours));
  for (const std::string& pointer : overlappingPointers(conflict.theirs, conflict.ours)) {
    text += "both changed " + pointer + "\n";
  }
  return text + "repeat your change on the output of `shedlever config get " + document.value + "`\n";
}

}  // namespace

ExitCode exitCodeOf(SettingsWriteStatus status) {
  switch (status) {
    case SettingsWriteStatus::Accepted:
    case SettingsWriteStatus::Unchanged:
      return ExitCode::Done;
    case SettingsWriteStatus::Conflict:
      return ExitCode::Conflict;
    case SettingsWriteStatus::NotAccepted:
      return ExitCode::Failed;
    case SettingsWriteStatus::Unknown:
      return ExitCode::Unknown;
  }
  return ExitCode::Unknown;
}

ApplyReport::ApplyReport() : table_({"document", "outcome", "version", "change"}) {}

void ApplyReport::add(const DocumentName& document, const std::string& change_id, const SettingsWriteOutcome& outcome) {
  const std::string version = outcome.version == 0 ? "-" : std::to_string(outcome.version);
  table_.add({document.value, outcomeName(outcome.status), version, change_id});
  if (outcome.conflict) {
    explanation_ += explainConflict(document, outcome);
  } else if (outcome.status == SettingsWriteStatus::NotAccepted) {
    explanation_ += document.value + ": not written: " + outcome.message + "\n";
  } else if (outcome.status == SettingsWriteStatus::Unknown) {
    explanation_ += document.value + ": may or may not be written: " + outcome.message + "\nretry with --change-id " +
                    change_id + "\n";
  }
}

void ApplyReport::addSkipped(const DocumentName& document) { table_.add({document.value, "not-tried", "-", "-"}); }

}  // namespace shedlever
