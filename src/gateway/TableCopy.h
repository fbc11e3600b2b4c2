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
struct CopiedRow {
    std::string value;
    std::uint64_t version { 0 }; ///< The store's version of the last change that mattered.
    bool isDeleted { false };
    bool afterOutage { false }; ///< Found gone right after the store was away.
    bool operator==(const CopiedRow&) const = default;
};

struct TableCopy {
    std::uint64_t version { 0 }; ///< The highest of a row; 0 for nothing known.
    std::uint64_t completeAfter { 0 }; ///< Of changes after this version, also the traces of rows that are gone are kept.
    std::map<std::string, CopiedRow> rows;
};

/// Notes a row that changed or is gone.
///
///     noteRow(copy, "i-1", { .value = bytes, .version = 7 });
void noteRow(TableCopy&, const std::string& key, CopiedRow);

/// What is passed on of a table.
struct TablePart {
    std::uint64_t version { 0 };
    bool isWhole { true }; ///< All rows; otherwise those that changed after the version asked for.
    std::map<std::string, CopiedRow> rows;
};

/// The rows that changed after the version; the whole table where traces are missing.
///
///     TablePart part = changesAfter(copy, 17);
TablePart changesAfter(const TableCopy&, std::uint64_t version);

/// The bytes that are passed on, and back; nothing where they can't be read.
///
///     std::optional<TablePart> part = decodePart(encodePart(changesAfter(copy, 17)));
std::string encodePart(const TablePart&);
std::optional<TablePart> decodePart(std::string_view bytes);

} // namespace limpetpond
