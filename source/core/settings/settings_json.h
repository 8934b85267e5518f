#pragma once

/// @file
/// Reads the JSON text of one settings document and names places inside it.

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/settings.h"

namespace shedlever {

using Json = nlohmann::json;

/// A place inside a document, shown as "services/talash#/backend/slots".
class DocumentLocation {
 public:
  explicit DocumentLocation(std::string document, Json::json_pointer pointer = Json::json_pointer());

  /// @return the place of a member of the object here.
  DocumentLocation child(std::string_view key) const;
  /// @return the place of an element of the array here.
  DocumentLocation child(std::size_t index) const;

  const Json::json_pointer& pointer() const { return pointer_; }
  std::string text() const;

 private:
  std::string document_;
  Json::json_pointer pointer_;
};

/// Nesting beyond this is refused: no settings document needs it, and it bounds recursion.
inline constexpr int kMaxNestingDepth = 16;

/// @param document names the document in findings.
/// @return the document, which is an object; nothing when the text is no JSON object. Malformed text is
/// a finding with line and column, a key given twice in one object is one with its pointer.
std::optional<Json> parseDocument(const std::string& document, const std::string& text, Findings& findings);

/// Adds a finding for each key of `object` that is not known, with a suggestion.
void checkKeys(const Json& object, const DocumentLocation& place, const std::vector<std::string_view>& known,
               Findings& findings);

/// @return text in quotes, with control characters escaped, as findings show what was given.
std::string quotedText(std::string_view text);

}  // namespace shedlever
