#pragma once

/// Remembers the targets that have left, so that a restored store doesn't bring them back into use.
///
/// Load pattern: the store comes back from a copy that is some seconds old. The copy shows targets as ready that have left
/// since, while requests must no longer be sent to them. A target that is alive writes its entry again. The entry of one that
/// has left expires like that of any silent target, after a few missed heartbeats; until then an entry that was read with the
/// whole table says nothing. An entry that was written since is believed if it is newer than the last one known.

#include "core/ServingSettings.h"
#include "core/TableVersion.h"
#include <cstdint>
#include <map>
#include <vector>

namespace limpetpond {

/// One target that has left.
struct TargetDeparture {
    std::int64_t startedAt { 0 }; ///< Of the incarnation that has left.
    std::uint64_t sequence { 0 }; ///< Of its last known entry.
    StoreEpoch epoch; ///< Of the store that showed it as gone.
    std::uint64_t order { 0 }; ///< Rises with each departure.
};

/// A bounded number of departures; the oldest are forgotten first.
struct TargetDepartures {
    std::map<TargetId, TargetDeparture> byTarget;
    std::uint64_t lastOrder { 0 };
};

/// Records that a target has left; the entry is the last one known.
///
///     recordDeparture(departures, target.entry, StoreEpoch(2));
void recordDeparture(TargetDepartures&, const TargetEntry&, StoreEpoch);

/// How an entry was read from the store.
struct EntryRead {
    StoreEpoch epoch;
    bool isWholeTable { false }; ///< With all others; otherwise as a change.
};

/// Whether the entry is one of a target that has left, as a restored store may show it.
///
///     if (isDeparted(departures, entry, { .epoch = epoch, .isWholeTable = true }))
///         ignore(entry);
bool isDeparted(const TargetDepartures&, const TargetEntry&, const EntryRead&);

/// Forgets the departures of before the epoch and returns their targets. Entries that the store still shows are then those of
/// targets that are alive.
///
///     for (const TargetId& target : takeDeparturesBefore(departures, epoch)) readAgain(target);
std::vector<TargetId> takeDeparturesBefore(TargetDepartures&, StoreEpoch);

} // namespace limpetpond
