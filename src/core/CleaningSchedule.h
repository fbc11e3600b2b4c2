#pragma once

/// Weekly cleaning windows in local time: schedules when targets are marked as leaving and returned to service.
///
/// Any instance may propose a step. Its change id is derived from the target, the step and the window's date or the
/// mark's version, so that the table service accepts each step once. See docs/design/leaving.md.

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

/// A half-open range of time.
struct TimeRange {
    SystemTime begin;
    SystemTime end;
};

/// The window that is open at `now`, otherwise the next one.
///
///     TimeRange next = windowAt(window, zone, clock.systemNow());
TimeRange windowAt(const CleaningWindow&, const TimeZone&, SystemTime now);

/// When one target is drained, cleaned and returned.
struct CleaningSlot {
    TargetId target;
    SystemTime drainFrom; ///< When the target is marked as leaving.
    SystemTime cleanFrom; ///< When the target should have no requests left.
    SystemTime returnAt; ///< When the mark is removed.
    std::chrono::year_month_day date; ///< Local date on which the window begins; part of the change ids.
    bool fits { true }; ///< False when the slot ends after the window, which is too short for all targets of the pool.
};

/// The time between the leaving mark and the begin of cleaning: the call timeout, the time in which the mark reaches all
/// instances, and a margin.
std::chrono::seconds drainLeadTime(const Settings&, const PoolSettings&);

/// The number of the pool's targets that may be marked as leaving at once.
std::size_t leavingLimit(const PoolSettings&);

/// The slots of one pool's targets in the windows that are open at `now` or come next.
///
/// The targets of a window are cleaned in turns of up to `leavingLimit` targets. The targets of one turn are marked when
/// those of the previous turn return.
std::vector<CleaningSlot> planSlots(const Settings&, const PoolId&, SystemTime now);

/// An instance's state between calls of `advanceCleaning`.
struct CleaningState {
    std::set<ChangeId> settled; ///< Steps that need no further proposal.
    std::map<ChangeId, SteadyTime> proposedAt; ///< When each step was last proposed.
    std::set<std::string> alarmed; ///< Subjects of the alarms already raised.
    std::optional<SteadyTime> checkedAt; ///< When the schedule was last checked.
};

/// The input of `advanceCleaning`.
struct CleaningInput {
    SystemTime systemNow;
    SteadyTime steadyNow;
    std::set<TargetId> emptyTargets; ///< Targets without requests, as reported by `drainStatus`.
    std::size_t proposerRank { 0 }; ///< This instance's index among the live ones; later ones wait longer before they propose.
};

/// Returns the marks to propose (MarkTarget) and the alarms to raise. To be called at each Tick.
///
///     for (ControlAction& action : advanceCleaning(state, settings, input)) out.push_back(std::move(action));
ControlActions advanceCleaning(CleaningState&, const Settings&, const CleaningInput&);

/// Handles the result of a proposed mark.
void handleMarkAnswered(CleaningState&, const MarkAnswered&);

} // namespace limpetpond
