#include "source/cli/config_commands.h"
#include "source/core/settings/settings_effective.h"
#include "source/core/settings/settings_history.h"
#include "source/core/settings/settings_tree.h"

namespace shedlever {

namespace {

constexpr int kReadAttempts = 3;
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(200);

/// @return the object, or the status that says why it can't be read.
ReadResult readObject(CliContext& context, const std::string& name) {
  ReadResult result;
  for (int attempt = 0; attempt < kReadAttempts && result.status == ReadStatus::Unavailable; ++attempt) {
    if (attempt > 0) {
      pause(context.ports, kReadRetryDelay);
    }
    result = awaitResult<ReadResult>(context.ports, [&](auto done) { context.ports.store().get(name, done); });
  }
  return result;
}

ExitCode readFailure(CliContext& context, const ReadResult& result, const std::string& name) {
  return failWith(context,
                  result.status == ReadStatus::Absent ? name + " does not exist" : "the store does not respond");
}

void addRow(TextTable& table, const std::string& first, SettingsVersion version, const ChangeInfo& change) {
  const std::string base = change.base_version == 0 ? "-" : std::to_string(change.base_version);
  const auto shown = [](const std::string& text) { return text.empty() ? "-" : text; };
  table.add({first, std::to_string(version), shown(change.id), shown(change.author), shown(change.changed_at), base});
}

ExitCode listDocuments(CliContext& context) {
  const std::optional<SettingsDocuments> stored = fetchDocuments(context.ports);
  if (!stored) {
    return failWith(context, "the store does not respond");
  }
  TextTable table({"document", "version", "change", "author", "time", "replaced"});
  for (const auto& [name, document] : *stored) {
    addRow(table, name.value, document.version, changeOf(document.text));
  }
  print(context, table);
  return ExitCode::Done;
}

leaf::result<std::vector<ValueSource>> explain(const SettingsDocuments& documents, const std::string& name) {
  const std::string_view prefix(kServiceDocumentPrefix);
  const bool has_prefix = name.compare(0, prefix.size(), prefix) == 0;
  return explainSettings(documents, ServiceName(has_prefix ? name.substr(prefix.size()) : name));
}

ExitCode getEffective(CliContext& context, const std::string& name) {
  const std::optional<SettingsDocuments> stored = fetchDocuments(context.ports);
  if (!stored) {
    return failWith(context, "the store does not respond");
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<ExitCode> {
        BOOST_LEAF_AUTO(values, explain(*stored, name));
        TextTable table({"setting", "value", "from"});
        for (const ValueSource& value : values) {
          table.add({value.path, value.value, value.source});
        }
        print(context, table);
        return ExitCode::Done;
      },
      [&](const Findings& findings) { return failWith(context, findings); },
      [&] { return failWith(context, "the settings could not be resolved"); });
}

ExitCode getVersion(CliContext& context, const std::string& name, SettingsVersion version) {
  const ReadResult result = readObject(context, kHistoryPrefix + name);
  if (result.status != ReadStatus::Found) {
    return readFailure(context, result, kHistoryPrefix + name);
  }
  const std::optional<SettingsHistory> history = SettingsHistory::parse(result.object.value);
  const HistoryVersion* found = history ? history->find(version) : nullptr;
  if (found == nullptr) {
    return failWith(context, "the history of " + name + " has no version " + std::to_string(version));
  }
  context.out << found->text;
  return ExitCode::Done;
}

}  // namespace

ExitCode runConfigGet(CliContext& context) {
  if (context.operands.empty()) {
    return listDocuments(context);
  }
  const std::string& name = context.operands.front();
  if (context.options.effective) {
    return getEffective(context, name);
  }
  const ReadResult result = readObject(context, kSettingsPrefix + name);
  const bool current = !context.options.history_version || (result.status == ReadStatus::Found &&  //
                                                            *context.options.history_version == result.object.version);
  if (!current) {
    return getVersion(context, name, *context.options.history_version);
  }
  if (result.status != ReadStatus::Found) {
    return readFailure(context, result, name);
  }
  context.out << result.object.value;
  if (result.object.value.empty() || result.object.value.back() != '\n') {
    context.out << "\n";
  }
  return ExitCode::Done;
}

ExitCode runConfigHistory(CliContext& context) {
  const std::string& name = context.operands.front();
  const ReadResult current = readObject(context, kSettingsPrefix + name);
  if (current.status != ReadStatus::Found) {
    return readFailure(context, current, name);
  }
  const ReadResult earlier = readObject(context, kHistoryPrefix + name);
  if (earlier.status == ReadStatus::Unavailable) {
    return readFailure(context, earlier, name);
  }
  const std::optional<SettingsHistory> history = earlier.status == ReadStatus::Found
                                                     ? SettingsHistory::parse(earlier.object.value)
                                                     : std::optional(SettingsHistory());
  if (!history) {
    return failWith(context, "the history of " + name + " is not valid");
  }
  TextTable table({"", "version", "change", "author", "time", "replaced"});
  for (const HistoryVersion& version : history->versions()) {
    if (version.version < current.object.version) {
      addRow(table, "", version.version, version.change);
    }
  }
  addRow(table, "stored", current.object.version, changeOf(current.object.value));
  print(context, table);
  return ExitCode::Done;
}

}  // namespace shedlever
