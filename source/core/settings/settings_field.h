#pragma once

/// @file
/// One row of the field tables: everything that is known of one setting, in one place. Parsing, range
/// checks, `config get --effective` and the settings reference all read the same rows.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "shedlever/settings.h"
#include "source/core/settings/settings_json.h"

namespace shedlever {

/// The member that a row fills. Its type is the setting's type.
template <class Owner>
using FieldMember = std::variant<bool Owner::*, std::uint32_t Owner::*, double Owner::*, Duration Owner::*,
                                 std::string Owner::*, TenantName Owner::*, KeySource Owner::*>;

/// What a text must look like.
enum class TextRule : std::uint8_t {
  Name,        ///< lower-case letters, digits and inner hyphens, at most 63
  PathPrefix,  ///< begins and ends with "/"
  Path,        ///< begins with "/"
  HeaderName,  ///< an HTTP header name, or empty
  Sha256,      ///< 64 lower-case hex digits
};

/// What values are right, in the units of the document.
struct FieldLimits {
  double minimum = 0;
  double maximum = 0;
  TextRule rule = TextRule::Name;
};

/// Where a setting may stand.
enum class FieldScope : std::uint8_t {
  Inherited,    ///< anywhere; a child inherits it
  ServiceOnly,  ///< only in a service's own document
};

/// One setting. @tparam Owner the struct that holds the member.
template <class Owner>
struct FieldRow {
  /// Key in the document; durations end in "_ms".
  std::string_view name;
  FieldMember<Owner> member;
  FieldLimits limits;
  /// One sentence for the reference.
  std::string_view description;
  FieldScope scope = FieldScope::Inherited;
};

template <class Owner>
using FieldRows = std::span<const FieldRow<Owner>>;

FieldRows<ServiceSettings> serviceFields();
FieldRows<RetrySettings> retryFields();
FieldRows<BackendSettings> backendFields();
FieldRows<TenantSettings> tenantFields();

/// @return what is wrong with the value, as "must be ..."; nothing when it was taken into `target`.
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, bool& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, std::uint32_t& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, double& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, Duration& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, std::string& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, TenantName& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, KeySource& target);

/// @return the value as a document gives it.
Json writeValue(bool value);
Json writeValue(std::uint32_t value);
Json writeValue(double value);
Json writeValue(Duration value);
Json writeValue(const std::string& value);
Json writeValue(const TenantName& value);
Json writeValue(KeySource value);

/// @return type and range in words, e.g. "a whole number, 1 to 3". The value only names the type.
std::string describeType(const FieldLimits& limits, bool value);
std::string describeType(const FieldLimits& limits, std::uint32_t value);
std::string describeType(const FieldLimits& limits, double value);
std::string describeType(const FieldLimits& limits, Duration value);
std::string describeType(const FieldLimits& limits, const std::string& value);
std::string describeType(const FieldLimits& limits, const TenantName& value);
std::string describeType(const FieldLimits& limits, KeySource value);

/// @return whether the text keeps the rule.
bool matchesRule(std::string_view text, TextRule rule);

/// Takes each value that `object` gives into `owner`; a wrong one is a finding and leaves the old value.
template <class Owner>
void readFields(const Json& object, const DocumentLocation& place, FieldRows<Owner> rows, Owner& owner,
                Findings& findings) {
  for (const FieldRow<Owner>& row : rows) {
    const auto found = object.find(row.name);
    if (found == object.end()) {
      continue;
    }
    const auto read = [&](auto member) { return readValue(*found, row.limits, owner.*member); };
    if (const std::optional<std::string> problem = std::visit(read, row.member)) {
      findings.add(place.child(row.name).text(), *problem);
    }
  }
}

/// @return the row's value in `owner` as a document gives it.
template <class Owner>
Json writeField(const FieldRow<Owner>& row, const Owner& owner) {
  return std::visit([&owner](auto member) { return writeValue(owner.*member); }, row.member);
}

/// Writes every value of `owner` into `object`.
template <class Owner>
void writeFields(FieldRows<Owner> rows, const Owner& owner, Json& object) {
  for (const FieldRow<Owner>& row : rows) {
    object[std::string(row.name)] = writeField(row, owner);
  }
}

template <class Owner>
std::vector<std::string_view> fieldNames(FieldRows<Owner> rows) {
  std::vector<std::string_view> names;
  for (const FieldRow<Owner>& row : rows) {
    names.push_back(row.name);
  }
  return names;
}

/// Runs `visit(name, member, rows)` for each group of settings inside a service.
template <class Visitor>
void visitServiceGroups(Visitor&& visit) {
  visit(std::string_view("retry"), &ServiceSettings::retry, retryFields());
  visit(std::string_view("backend"), &ServiceSettings::backend, backendFields());
}

}  // namespace shedlever
