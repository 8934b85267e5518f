#include "source/core/settings/settings_json.h"

#include <algorithm>
#include <set>

#include "source/core/settings/name_suggestion.h"

namespace shedlever {

namespace {

/// Finds duplicate keys and too deep nesting while a document is parsed; the parser itself accepts both.
class StructureChecker {
 public:
  StructureChecker(const std::string& document, Findings& findings) : document_(document), findings_(findings) {}

  /// @return false to discard the value that is being parsed.
  bool onEvent(int depth, Json::parse_event_t event, const Json& parsed) {
    switch (event) {
      case Json::parse_event_t::object_start:
      case Json::parse_event_t::array_start:
        return begin(depth);
      case Json::parse_event_t::object_end:
      case Json::parse_event_t::array_end:
        end();
        return true;
      case Json::parse_event_t::key:
        onKey(parsed.get_ref<const std::string&>());
        return true;
      case Json::parse_event_t::value:
        countElement();
        return true;
    }
    return true;
  }

 private:
  /// An object or array whose end has not been reached.
  struct Level {
    std::set<std::string> keys;
    std::string current_key;
    std::size_t elements = 0;
  };

  bool begin(int depth) {
    if (depth >= kMaxNestingDepth) {
      if (!too_deep_) {
        findings_.add(location().text(), "is nested deeper than " + std::to_string(kMaxNestingDepth) + " levels.");
      }
      too_deep_ = true;
      levels_.emplace_back();
      return false;
    }
    countElement();
    levels_.emplace_back();
    return true;
  }

  void end() {
    if (!levels_.empty()) {
      levels_.pop_back();
    }
  }

  void onKey(const std::string& key) {
    if (levels_.empty()) {
      return;
    }
    Level& level = levels_.back();
    level.current_key = key;
    if (!level.keys.insert(key).second) {
      findings_.add(location().text(), "is given twice in the same object; remove one of them.");
    }
  }

  void countElement() {
    if (!levels_.empty()) {
      ++levels_.back().elements;
    }
  }

  DocumentLocation location() const {
    DocumentLocation location(document_);
    for (const Level& level : levels_) {
      const bool in_object = !level.keys.empty();
      location =
          in_object ? location.child(level.current_key) : location.child(level.elements == 0 ? 0 : level.elements - 1);
    }
    return location;
  }

  const std::string& document_;
  Findings& findings_;
  std::vector<Level> levels_;
  bool too_deep_ = false;
};

/// @return ":LINE:COLUMN" of the byte at which parsing stopped; both start at 1.
std::string lineAndColumn(const std::string& text, std::size_t byte) {
  const std::size_t end = std::min(byte == 0 ? 0 : byte - 1, text.size());
  const auto line = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n') + 1;
  const std::size_t last_break = end == 0 ? std::string::npos : text.rfind('\n', end - 1);
  const std::size_t column = last_break == std::string::npos ? end + 1 : end - last_break;
  return ":" + std::to_string(line) + ":" + std::to_string(column);
}

/// @return the library's message without its leading "[...] parse error at line ...: ".
std::string parseMessage(const Json::parse_error& error) {
  const std::string text = error.what();
  const std::size_t separator = text.find(": ");
  return separator == std::string::npos ? text : text.substr(separator + 2);
}

}  // namespace

DocumentLocation::DocumentLocation(std::string document, Json::json_pointer pointer)
    : document_(std::move(document)), pointer_(std::move(pointer)) {}

DocumentLocation DocumentLocation::child(std::string_view key) const {
  return DocumentLocation(document_, pointer_ / std::string(key));
}

DocumentLocation DocumentLocation::child(std::size_t index) const {
  return DocumentLocation(document_, pointer_ / index);
}

std::string DocumentLocation::text() const { return document_ + "#" + pointer_.to_string(); }

std::optional<Json> parseDocument(const std::string& document, const std::string& text, Findings& findings) {
  StructureChecker checker(document, findings);
  const auto callback = [&checker](int depth, Json::parse_event_t event, Json& parsed) {
    return checker.onEvent(depth, event, parsed);
  };
  try {
    Json json = Json::parse(text, callback);
    if (json.is_object()) {
      return json;
    }
    findings.add(document + "#", std::string("must be a JSON object, not ") + json.type_name() + ".");
  } catch (const Json::parse_error& error) {
    findings.add(document + lineAndColumn(text, error.byte), "is not valid JSON: " + parseMessage(error));
  } catch (const Json::exception& error) {
    findings.add(document + "#", std::string("is not valid JSON: ") + error.what());
  }
  return std::nullopt;
}

void checkKeys(const Json& object, const DocumentLocation& location, const std::vector<std::string_view>& known,
               Findings& findings) {
  for (const auto& [key, value] : object.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      findings.add(location.child(key).text(), "is not a known setting here." + didYouMean(key, known));
    }
  }
}

std::string quotedText(std::string_view text) {
  return Json(std::string(text)).dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace shedlever
