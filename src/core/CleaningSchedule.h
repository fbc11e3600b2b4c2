#pragma once

/// Weekly cleaning windows in local time: when targets are marked as leaving and returned.
///
/// Any instance may propose a step; the change id is made of the window's date, the target and
/// the step, so the table service accepts each step once. See docs/design/leaving.md.

#include "core/Messages.h"
#include "core/TimeZone.h"
#include "limpetpond/Clock.h"
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetpond {

struct TimeRange {
    SystemTime begin;
    SystemTime end;
};

/// The window that is open at `now`, or else the next one.
///
///     TimeRange next = windowAt(window, zone, clock.systemNow());
TimeRange windowAt(const CleaningWindow&, const TimeZone&, SystemTime now);

/// When one target is drained, cleaned and returned.
struct CleaningSlot {
    TargetId target;
    SystemTime drainFrom;
    SystemTime cleanFrom; ///< The target should be empty by then.
    SystemTime returnAt;
    std::chrono::year_month_day date; ///< Local date of the window's begin; part of the change ids.
    bool fits { true }; ///< False when the window is too short for all targets of the pool.
};

/// The time between the mark and the begin of cleaning: the longest call, and the spread of the mark.
std::chrono::seconds drainLeadTime(const Settings&, const PoolSettings&);

/// How many of the pool's targets may be out at once.
std::size_t leavingLimit(const PoolSettings&);

/// The slots of one pool's targets in the windows that are open at `now` or come next.
///
/// The targets of a window take turns: those of one turn are marked when those of the turn before return.
std::vector<CleaningSlot> planSlots(const Settings&, const PoolId&, SystemTime now);

/// What an instance remembers between calls of `advanceCleaning`.
struct CleaningState {
    std::set<ChangeId> settled; ///< Steps that need no further proposal.
    std::map<ChangeId, SteadyTime> proposedAt;
    std::set<std::string> alarmed; ///< Alarms already raised.
    std::optional<SteadyTime> checkedAt;
};

/// What `advanceCleaning` decides on.
struct CleaningInput {
    SystemTime systemNow;
    SteadyTime steadyNow;
    std::set<TargetId> emptyTargets; ///< As `drainStatus` says.
    std::size_t proposerRank { 0 }; ///< This instance's place among the live ones; later ones wait longer.
};

/// The marks to propose (MarkTarget) and the alarms to raise now; to be called at every Tick.
///
///     for (ControlAction& action : advanceCleaning(state, settings, input)) out.push_back(std::move(action));
ControlActions advanceCleaning(CleaningState&, const Settings&, const CleaningInput&);

/// Takes in how a proposed mark went.
void handleMarkAnswered(CleaningState&, const MarkAnswered&);

} // namespace limpetpond
