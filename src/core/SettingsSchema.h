#pragma once

/// The typed schema of the settings tree: one table of fields, and the check of single values.

#include "limpetpond/Errors.h"
#include <boost/json/value.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace limpetpond {

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
    Name, ///< "drafts": letters, digits, dots, underscores and hyphens.
    NameList, ///< ["small", "large"]
    MethodList, ///< ["POST", "PUT"]
    PathList, ///< ["/payments"]
    HashList, ///< SHA-256 digests as 64 lower-case hexadecimal digits.
    Choice, ///< One of the words of `choices`.
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

/// One row of the schema; `settableAt` runs from narrow to broad.
struct FieldSchema {
    std::string_view name;
    std::span<const BranchKind> settableAt;
    FieldType type { FieldType::Text };
    double min { 0 }; ///< In the base unit of the type: milliseconds, bytes, tokens, tokens a second.
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

/// The row of a field at a kind of branch; null for an unknown one.
const FieldSchema* findField(BranchKind, std::string_view name);

/// The word in a branch's path, such as `pool`.
std::string_view toString(BranchKind);

/// The kind of a branch by its path; none for a path that no branch can have.
///
///     kindOfPath("pool/drafts") == BranchKind::Pool;
std::optional<BranchKind> kindOfPath(std::string_view path);

/// The path of a branch.
///
///     branchPath(BranchKind::Pool, "drafts") == "pool/drafts";
std::string branchPath(BranchKind, std::string_view name);

/// Whether a name serves in paths and headers: 1 to 64 letters, digits, dots, underscores and hyphens.
bool isValidName(std::string_view);

/// What a field allows, in one line with unit and range.
std::string allowedText(const FieldSchema&);

/// The value in canonical form. Errors: InvalidSetting naming `path`, value and rule.
///
///     checkValue(*findField(BranchKind::Site, "viewAgeLimit"), "site", "3000ms").value() == "3s";
Result<boost::json::value> checkValue(const FieldSchema&, std::string_view path, const boost::json::value&);

/// The number that a Duration, Bytes, Tokens, Rate, TimeOfDay or number stands for, in the type's base unit.
std::optional<double> toBaseUnits(FieldType, const boost::json::value&);

/// One value as JSON text, with numbers in their short form.
std::string valueToJson(const boost::json::value&);

/// The schema as a Markdown page, docs/SETTINGS.md.
std::string schemaAsMarkdown();

} // namespace limpetpond
