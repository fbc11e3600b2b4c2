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
    std::uint64_t version { 0 }; ///< The store's version of the last recorded change.
    bool isDeleted { false };
    bool afterOutage { false }; ///< Found deleted right after the store was unavailable.
    bool operator==(const TableRow&) const = default;
};

struct TableCopy {
    std::uint64_t version { 0 }; ///< The store's version up to which the table is known; 0 for an empty copy.
    std::uint64_t completeAfter { 0 }; ///< All tombstones of later versions are kept.
    std::map<std::string, TableRow> rows;
};

/// Records a row that was changed or deleted.
///
///     recordRow(copy, "i-1", { .value = bytes, .version = 7 });
void recordRow(TableCopy&, const std::string& key, TableRow);

/// The rows of a table that an instance misses.
struct TableDelta {
    std::uint64_t version { 0 };
    bool isWhole { true }; ///< `rows` holds the whole table; otherwise what changed after the requested version.
    std::map<std::string, TableRow> rows;
};

/// The rows that changed after the version; the whole table for version 0 and where tombstones are missing.
///
///     TableDelta delta = changesAfter(copy, 17);
TableDelta changesAfter(const TableCopy&, std::uint64_t version);

/// Encodes a delta for the wire, and decodes it; nothing for malformed bytes.
///
///     std::optional<TableDelta> delta = decodeDelta(encodeDelta(changesAfter(copy, 17)));
std::string encodeDelta(const TableDelta&);
std::optional<TableDelta> decodeDelta(std::string_view bytes);

} // namespace limpetpond
