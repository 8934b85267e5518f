#pragma once

/// @file
/// Field tables of the settings: one row per setting, with its type, limits and description. Parsing, range checks,
/// `config get --effective` and the settings reference all use these rows.

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

/// The struct member that a row sets; its type is the type of the setting.
template <class Owner>
using FieldMember = std::variant<bool Owner::*, std::uint32_t Owner::*, double Owner::*, Duration Owner::*,
                                 std::string Owner::*, TenantName Owner::*, KeySource Owner::*>;

/// Required format of a text.
enum class TextRule : std::uint8_t {
  Name,        ///< lower-case letters, digits and inner hyphens, at most 63
  PathPrefix,  ///< begins and ends with "/"
  Path,        ///< begins with "/"
  HeaderName,  ///< an HTTP header name, or empty
  Sha256,      ///< 64 lower-case hex digits
};

/// Allowed values, in the units of the document.
struct FieldLimits {
  double minimum = 0;
  double maximum = 0;
  TextRule rule = TextRule::Name;
};

/// Documents in which a setting is allowed.
enum class FieldScope : std::uint8_t {
  Inherited,    ///< in any document; inherited by services
  ServiceOnly,  ///< only in a service's own document
};

/// One setting. @tparam Owner the struct that contains the member.
template <class Owner>
struct FieldRow {
  /// Key in the document; ends in "_ms" for durations.
  std::string_view name;
  FieldMember<Owner> member;
  FieldLimits limits;
  /// One sentence for the settings reference.
  std::string_view description;
  FieldScope scope = FieldScope::Inherited;
};

template <class Owner>
using FieldRows = std::span<const FieldRow<Owner>>;

FieldRows<ServiceSettings> serviceFields();
FieldRows<RetrySettings> retryFields();
FieldRows<BackendSettings> backendFields();
FieldRows<TenantSettings> tenantFields();

/// @return why the value is invalid, as "must be ..."; nothing if it was stored in `target`.
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, bool& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, std::uint32_t& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, double& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, Duration& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, std::string& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, TenantName& target);
std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, KeySource& target);

/// @return the value as it is written in a document.
Json writeValue(bool value);
Json writeValue(std::uint32_t value);
Json writeValue(double value);
Json writeValue(Duration value);
Json writeValue(const std::string& value);
Json writeValue(const TenantName& value);
Json writeValue(KeySource value);

/// @return type and range as text, e.g. "a whole number, 1 to 3". The value only selects the type.
std::string describeType(const FieldLimits& limits, bool value);
std::string describeType(const FieldLimits& limits, std::uint32_t value);
std::string describeType(const FieldLimits& limits, double value);
std::string describeType(const FieldLimits& limits, Duration value);
std::string describeType(const FieldLimits& limits, const std::string& value);
std::string describeType(const FieldLimits& limits, const TenantName& value);
std::string describeType(const FieldLimits& limits, KeySource value);

bool matchesRule(std::string_view text, TextRule rule);

/// Reads the values present in `object` into `owner`. An invalid value is a finding and leaves the member unchanged.
template <class Owner>
void readFields(const Json& object, const DocumentLocation& location, FieldRows<Owner> rows, Owner& owner,
                Findings& findings) {
  for (const FieldRow<Owner>& row : rows) {
    const auto found = object.find(row.name);
    if (found == object.end()) {
      continue;
    }
    const auto read = [&](auto member) { return readValue(*found, row.limits, owner.*member); };
    if (const std::optional<std::string> problem = std::visit(read, row.member)) {
      findings.add(location.child(row.name).text(), *problem);
    }
  }
}

/// @return the row's value in `owner` as it is written in a document.
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

/// Calls `visit(name, member, rows)` for each nested group of settings of a service.
template <class Visitor>
void visitServiceGroups(Visitor&& visit) {
  visit(std::string_view("retry"), &ServiceSettings::retry, retryFields());
  visit(std::string_view("backend"), &ServiceSettings::backend, backendFields());
}

}  // namespace shedlever
