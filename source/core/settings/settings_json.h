#pragma once

/// @file
/// Parses the JSON text of one settings document and describes locations in it.

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

/// A location in a document, written as "services/talash#/backend/slots".
class DocumentLocation {
 public:
  explicit DocumentLocation(std::string document, Json::json_pointer pointer = Json::json_pointer());

  /// @return the location of a member of the object at this location.
  DocumentLocation child(std::string_view key) const;
  /// @return the location of an element of the array at this location.
  DocumentLocation child(std::size_t index) const;

  const Json::json_pointer& pointer() const { return pointer_; }
  std::string text() const;

 private:
  std::string document_;
  Json::json_pointer pointer_;
};

/// Deeper nesting is rejected, which bounds recursion; no valid settings document is nested as deeply.
inline constexpr int kMaxNestingDepth = 16;

/// @param document name of the document in findings.
/// @return the JSON object; nothing, with a finding, if the text is not a JSON object. The finding of malformed text
/// has its line and column; a duplicate key in an object and too deep nesting are findings with their JSON pointer.
std::optional<Json> parseDocument(const std::string& document, const std::string& text, Findings& findings);

/// Adds a finding for each key of `object` that is not in `known`, with a suggestion if one is close.
void checkKeys(const Json& object, const DocumentLocation& location, const std::vector<std::string_view>& known,
               Findings& findings);

/// @return the text in quotes with control characters escaped, for use in findings.
std::string quotedText(std::string_view text);

}  // namespace shedlever
