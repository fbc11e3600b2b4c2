#pragma once

/// The rows of one table as last read, kept to be passed on to instances that have fallen behind.
///
/// Only changes that matter raise a row's version: targets write their entries again all the time.

#include "gateway/StoreReader.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpetpond {

/// One row, or the trace of one that is gone.
struct TableRow {
    std::string value;
    std::uint64_t version { 0 }; ///< The store's version of the last change that mattered.
    bool isDeleted { false };
    bool afterOutage { false }; ///< Found gone right after the store was away.
    bool operator==(const TableRow&) const = default;
};

struct TableCopy {
    std::uint64_t version { 0 }; ///< The highest of a row; 0 for nothing known.
    std::uint64_t completeAfter { 0 }; ///< Of changes after this version, also the traces of rows that are gone are kept.
    std::map<std::string, TableRow> rows;
};

/// Notes a row that changed or is gone.
///
///     recordRow(copy, "i-1", { .value = bytes, .version = 7 });
void recordRow(TableCopy&, const std::string& key, TableRow);

/// What is passed on of a table.
struct TableDelta {
    std::uint64_t version { 0 };
    bool isWhole { true }; ///< All rows; otherwise those that changed after the version asked for.
    std::map<std::string, TableRow> rows;
};

/// The rows that changed after the version; the whole table where traces are missing.
///
///     TableDelta delta = changesAfter(copy, 17);
TableDelta changesAfter(const TableCopy&, std::uint64_t version);

/// The bytes that are passed on, and back; nothing where they can't be read.
///
///     std::optional<TableDelta> delta = decodeDelta(encodeDelta(changesAfter(copy, 17)));
std::string encodeDelta(const TableDelta&);
std::optional<TableDelta> decodeDelta(std::string_view bytes);

} // namespace limpetpond
