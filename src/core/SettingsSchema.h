#pragma once

/// The typed schema of the settings tree, a table of fields, and the check of single values.

#include "limpetpond/Errors.h"
#include <boost/json/value.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace limpetpond {

/// The kind of a branch, given by the first part of its path.
enum class BranchKind {
    Site,
    Tier,
    Pool,
    Account,
    Target,
    Window,
};

/// How the value of a field is written in JSON.
enum class FieldType {
    Text, ///< "north"
    Name, ///< "drafts", of letters, digits, dots, underscores and hyphens.
    NameList, ///< ["small", "large"]
    MethodList, ///< ["POST", "PUT"]
    PathList, ///< ["/payments"]
    HashList, ///< SHA-256 digests as 64 lower-case hexadecimal digits.
    Choice, ///< One of the strings in `choices`.
    Flag, ///< true or false
    Count, ///< 64
    Share, ///< 0.25
    Duration, ///< "500ms", "3s", "20m", "48h"
    Bytes, ///< "512B", "256KiB", "4MiB"
    Tokens, ///< "64000 tokens", "64k tokens"
    Rate, ///< "8000 tokens/s"
    TimeOfDay, ///< "02:30"
    TimeZone, ///< "EET-2EEST,M3.5.0/3,M10.5.0/4"
    IpAddress, ///< "10.0.0.7"
};

/// One row of the schema; `settableAt` is ordered from narrow to broad.
struct FieldSchema {
    std::string_view name;
    std::span<const BranchKind> settableAt;
    FieldType type { FieldType::Text };
    double min { 0 }; ///< In the base unit of the type: milliseconds, bytes, tokens or tokens per second.
    double max { 0 };
    std::string_view defaultValue; ///< As JSON; empty for none.
    bool required { false };
    std::span<const std::string_view> choices;
    std::string_view doc;
};

/// The whole schema.
///
///     for (const FieldSchema& field : settingsSchema())
///         print(field.name);
std::span<const FieldSchema> settingsSchema();

/// The row of a field at a kind of branch; null when there is none.
const FieldSchema* findField(BranchKind, std::string_view name);

/// The kind as it is written in a path, such as `pool`.
std::string_view toString(BranchKind);

/// The kind of the branch at a path; none for an invalid path.
///
///     kindOfPath("pool/drafts") == BranchKind::Pool;
std::optional<BranchKind> kindOfPath(std::string_view path);

/// The path of a branch.
///
///     branchPath(BranchKind::Pool, "drafts") == "pool/drafts";
std::string branchPath(BranchKind, std::string_view name);

/// Whether a name can be used in paths and headers. It has 1 to 64 letters, digits, dots, underscores and hyphens,
/// and begins with a letter or digit.
bool isValidName(std::string_view);

/// The values that a field allows, in one line with unit and range.
std::string allowedText(const FieldSchema&);

/// Checks a value and returns it in canonical form. Errors: InvalidSetting with `path`, value and rule.
///
///     checkValue(*findField(BranchKind::Site, "viewAgeLimit"), "site", "3000ms").value() == "3s";
Result<boost::json::value> checkValue(const FieldSchema&, std::string_view path, const boost::json::value&);

/// A Duration, Bytes, Tokens, Rate, TimeOfDay, Count or Share value as a number in the type's base unit; none when
/// the value does not have the form of the type.
std::optional<double> toBaseUnits(FieldType, const boost::json::value&);

/// A value as JSON text, with numbers in their shortest form.
std::string valueToJson(const boost::json::value&);

/// The schema as a Markdown page, the content of docs/SETTINGS.md.
std::string schemaAsMarkdown();

} // namespace limpetpond
