#pragma once

/// The rows last read from the store, kept to be passed on to instances that start while the store is away.

#include "gateway/StoreReader.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// Rows by their key, as last read.
struct StateCopy {
    std::map<std::string, std::string> settings;
    std::map<std::string, std::string> targets;
};

/// Takes in what a reader hands on.
///
///     noteRows(copy.targets, news);
void noteRows(std::map<std::string, std::string>& rows, const TableNews&);

/// The bytes that are passed on, and back; nothing where they can't be read.
///
///     std::optional<StateCopy> copy = decodeState(encodeState(own));
std::string encodeState(const StateCopy&);
std::optional<StateCopy> decodeState(std::string_view bytes);

/// The rows as news of an unknown age: what isn't among them may still exist.
///
///     takeTargetRows(newsOf(copy.targets));
TableNews newsOf(const std::map<std::string, std::string>& rows);

} // namespace limpetpond
