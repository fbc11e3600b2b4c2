#pragma once

/// Time zones by their rules, with daylight saving; reads no database of the machine.

#include "limpetpond/Clock.h"
#include "limpetpond/Errors.h"
#include <chrono>
#include <span>
#include <string_view>

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

} // namespace limpetpond
