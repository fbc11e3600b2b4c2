#pragma once

/// A copy of one table of the store, from which instances that have fallen behind get the rows that they miss.
///
/// Targets write their entries again all the time; only changes that affect dispatching raise a row's version.

#include "gateway/StoreReader.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpetpond {

/// One row, or the tombstone of a deleted one.
struct TableRow {
    std::string value;
    TableVersion version; ///< Of the last recorded change.
    bool isDeleted { false };
    bool afterOutage { false }; ///< Found deleted right after the store was unavailable.
    bool operator==(const TableRow&) const = default;
};

struct TableCopy {
    TableVersion version; ///< Up to which the table is known; its number is 0 for an empty copy.
    TableVersion completeAfter; ///< All changes of later versions are kept.
    std::map<std::string, TableRow> rows;
};

/// Records a row that was changed or deleted.
///
///     recordRow(copy, "i-1", { .value = bytes, .version = { .number = 7 } });
void recordRow(TableCopy&, const std::string& key, TableRow);

/// Replaces the rows by a whole read of the table, the first one or the first one of an epoch. Instances with an earlier
/// version than that of the read then get the whole table, since rows may have been deleted up to then.
///
///     replaceRows(copy, { .epoch = StoreEpoch(2), .number = 60 }, std::move(rows));
void replaceRows(TableCopy&, const TableVersion& readAt, std::map<std::string, TableRow> rows);

/// The rows of a table that an instance misses.
struct TableDelta {
    TableVersion version;
    bool isWhole { true }; ///< `rows` holds the whole table; otherwise what changed after the requested version.
    std::map<std::string, TableRow> rows;
};

/// The rows that changed after the version; the whole table for number 0, for another epoch and where tombstones are missing.
///
///     TableDelta delta = changesAfter(copy, { .number = 17 });
TableDelta changesAfter(const TableCopy&, const TableVersion&);

/// The version as text, and back. An instance of an earlier release states only the number, and reads only the number; its
/// epoch is taken to be `ownEpoch`.
///
///     versionText({ .epoch = StoreEpoch(2), .number = 530 }) == "530.2";
std::string versionText(const TableVersion&);
std::optional<TableVersion> parseVersion(std::string_view text, StoreEpoch ownEpoch);

/// Encodes a delta for the wire, and decodes it; nothing for malformed bytes. The delta of an instance of an earlier release
/// has no epoch, which is taken to be `ownEpoch`.
///
///     std::optional<TableDelta> delta = decodeDelta(encodeDelta(changesAfter(copy, version)), version.epoch);
std::string encodeDelta(const TableDelta&);
std::optional<TableDelta> decodeDelta(std::string_view bytes, StoreEpoch ownEpoch);

} // namespace limpetpond
