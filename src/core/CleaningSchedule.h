#pragma once

/// Weekly cleaning windows in local time: when targets are marked as leaving and returned.
///
/// Any instance may propose a step; the change id is made of the window's date, the target and
/// the step, so the table service accepts each step once. See docs/design/leaving.md.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Errors.h"
#include <chrono>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// One change between standard and daylight-saving time, as in `M3.5.0/3`.
struct TimeZoneChange {
    std::chrono::month month { std::chrono::January };
    unsigned week { 1 }; ///< 1 to 5; 5 is the last one of the month.
    std::chrono::weekday day { std::chrono::Sunday };
    std::chrono::seconds timeOfDay { std::chrono::hours(2) }; ///< Local time in force before the change.
};

/// A time zone with at most one daylight-saving period a year.
struct TimeZone {
    std::chrono::seconds standardOffset { 0 }; ///< Local time minus UTC.
    std::chrono::seconds daylightOffset { 0 };
    bool hasDaylightSaving { false };
    TimeZoneChange daylightStart;
    TimeZoneChange daylightEnd;
};

/// Reads a POSIX TZ rule (`EET-2EEST,M3.5.0/3,M10.5.0/4`) or one of a few IANA names. Errors: InvalidSetting.
///
///     Result<TimeZone> zone = parseTimeZone("Europe/Sofia");
Result<TimeZone> parseTimeZone(std::string_view);

/// The IANA names that `parseTimeZone` knows; every other zone is given by its rule.
std::span<const std::string_view> namedTimeZones();

/// Local time minus UTC at an instant.
std::chrono::seconds offsetAt(const TimeZone&, SystemTime);

/// The instant of a local time. A time that daylight saving skips moves on by the hour skipped;
/// of a time that comes twice the first counts.
SystemTime instantOf(const TimeZone&, std::chrono::local_seconds);

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

/// The slots of one pool's targets in the windows that are open at `now` or come next, by begin of drain.
std::vector<CleaningSlot> planSlots(const Settings&, const PoolId&, SystemTime now);

/// What an instance remembers between calls of `advanceCleaning`.
struct CleaningState {
    std::set<ChangeId> settled; ///< Steps that need no further proposal.
    std::map<ChangeId, SteadyTime> proposedAt;
    std::set<std::string> alarmed; ///< Alarms already raised.
};

/// What `advanceCleaning` decides on.
struct CleaningInput {
    SystemTime systemNow;
    SteadyTime steadyNow;
    std::set<TargetId> emptyTargets; ///< As `drainStatus` says.
    std::size_t proposerRank { 0 }; ///< This instance's place among the live ones; later ones wait longer.
};

/// The marks to propose (MarkTarget) and the alarms to raise now; to be called at every Tick.
ControlActions advanceCleaning(CleaningState&, const Settings&, const CleaningInput&);

/// Takes in how a proposed mark went.
void markAnswered(CleaningState&, const MarkAnswered&);

} // namespace limpetpond
