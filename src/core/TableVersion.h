#pragma once

/// Orders the states of a table that instances copy from the store.
///
/// The store numbers its changes. It may be restored from an earlier copy of itself: what was written since the copy is
/// lost, and the numbers since then are given out again for other changes. Only the epoch, which rises with each restore,
/// tells such states apart, so versions are compared by epoch first.

#include "limpetpond/Ids.h"
#include <compare>
#include <cstdint>

namespace limpetpond {

/// Counts the restores of the store.
using StoreEpoch = NumericId<struct StoreEpochTag>;

/// The version of a table, of a row in it or of a read of it.
struct TableVersion {
    StoreEpoch epoch; ///< None for the settings: their operator never gives out a version again.
    std::uint64_t number { 0 }; ///< The store's version; for the settings, theirs. 0 before anything is read.
    auto operator<=>(const TableVersion&) const = default;
};

} // namespace limpetpond
