#pragma once

/// What targets have said about themselves in their answers to this instance.
///
/// Load pattern: targets leave in releases and when a pool shrinks, and some are started again under the same id. Their
/// entries lag behind what they say, go before the last answers have arrived, and come back after an outage of the store.
/// A notice therefore binds the incarnation that gave it, whatever its entry says, and also while there is no entry.
///
/// Load pattern: targets that are overloaded or in trouble turn requests away for 1 to 10 seconds, one of them or a whole
/// pool, while all instances have requests for them. Instances return to such a target in turns, so that they don't overload
/// it at the same moment.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <map>

namespace limpetpond {

/// What one incarnation of a target has said.
struct TargetNotice {
    bool isLeaving { false }; ///< It wants no further requests.
    SteadyTime pausedUntil; ///< It gets no requests before.
};

/// Notices of targets that have no entry.
struct KeptNotices {
    struct Kept {
        std::int64_t startedAt { 0 }; ///< The incarnation, as in `TargetEntry::startedAt`.
        TargetNotice notice;
        SteadyTime keptAt;
    };
    std::map<TargetId, Kept> byTarget; ///< Bounded; the oldest ones are dropped first.
};

/// Keeps the notice of an incarnation that has no entry, if it still binds; later notices of the same incarnation are added
/// to it. An earlier incarnation than the known one is ignored. True where the notice says more than was known.
///
///     keepNotice(kept, TargetId("i-1"), entry.startedAt, { .isLeaving = true }, now);
bool keepNotice(KeptNotices&, const TargetId&, std::int64_t startedAt, const TargetNotice&, SteadyTime now);

/// The notice that binds an incarnation whose entry is added. One that is earlier than a known one has ended, so it counts
/// as leaving.
///
///     target.notice = noticeOf(kept, entry.id, entry.startedAt);
TargetNotice noticeOf(const KeptNotices&, const TargetId&, std::int64_t startedAt);

/// How long a target is left alone that wants no requests for this many seconds.
Duration pauseTime(double seconds);

/// The conditions under which an instance returns to a target.
struct PauseEnd {
    int turn { 0 }; ///< The position of this instance in an order of all instances; 0 for the first.
    int instances { 1 };
    int slots { 1 }; ///< Of the target.
    Duration serviceTime { 0 }; ///< Of a request there; 0 for unknown.
};

/// The time from the end of a target's pause to the return of an instance. The instances return one by one, at the rate at
/// which the target's slots become free.
///
///     returnDelay({ .turn = 3, .instances = 26, .slots = 8, .serviceTime = 400ms }) == 150ms;
Duration returnDelay(const PauseEnd&);

} // namespace limpetpond
