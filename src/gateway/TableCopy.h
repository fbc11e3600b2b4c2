#pragma once

/// The rows of one table as last read, kept to be passed on to instances that have fallen behind.

#include "gateway/StoreReader.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpetpond {

struct TableCopy {
    std::uint64_t version { 0 }; ///< The store's version up to which the rows are known; 0 for nothing read.
    std::map<std::string, std::string> rows; ///< Values by key.
};

/// Takes in what a reader hands on.
///
///     noteRows(copy, news);
void noteRows(TableCopy&, const TableNews&);

/// The bytes that are passed on, and back; nothing where they can't be read.
///
///     std::optional<TableCopy> copy = decodeTable(encodeTable(own));
std::string encodeTable(const TableCopy&);
std::optional<TableCopy> decodeTable(std::string_view bytes);

/// The whole copy as news.
///
///     takeTargetRows(newsOf(copy));
TableNews newsOf(const TableCopy&);

} // namespace limpetpond
