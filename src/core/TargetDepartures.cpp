#include "core/TargetDepartures.h"

#include <algorithm>

namespace limpetpond {

namespace {

    constexpr std::size_t maxDepartures = 1000; ///< More than leave within the age of a copy.

} // namespace

void recordDeparture(TargetDepartures& departures, const TargetEntry& entry, StoreEpoch epoch)
{
    departures.byTarget[entry.id] = { .startedAt = entry.startedAt, .sequence = entry.sequence, .epoch = epoch, .order = ++departures.lastOrder };
    if (departures.byTarget.size() <= maxDepartures)
        return;
    auto oldest = std::min_element(departures.byTarget.begin(), departures.byTarget.end(), [](const auto& a, const auto& b) { return a.second.order < b.second.order; });
    departures.byTarget.erase(oldest);
}

bool isDeparted(const TargetDepartures& departures, const TargetEntry& entry, const EntryRead& read)
{
    auto found = departures.byTarget.find(entry.id);
    if (found == departures.byTarget.end())
        return false;
    const TargetDeparture& departure = found->second;
    // Within one epoch the store's own order of changes says what is in force.
    if (read.epoch <= departure.epoch || entry.startedAt > departure.startedAt)
        return false;
    return read.isWholeTable || entry.startedAt < departure.startedAt || entry.sequence <= departure.sequence;
}

std::vector<TargetId> takeDeparturesBefore(TargetDepartures& departures, StoreEpoch epoch)
{
    std::vector<TargetId> targets;
    for (auto departure = departures.byTarget.begin(); departure != departures.byTarget.end();) {
        if (departure->second.epoch >= epoch) {
            ++departure;
            continue;
        }
        targets.push_back(departure->first);
        departure = departures.byTarget.erase(departure);
    }
    return targets;
}

} // namespace limpetpond
