#pragma once

/// Time zones with daylight saving, from POSIX TZ rules; doesn't read the system's time zone database.

#include "limpetpond/Clock.h"
#include "limpetpond/Errors.h"
#include <chrono>
#include <span>
#include <string_view>

namespace limpetpond {

/// A yearly change between standard and daylight-saving time, such as `M3.5.0/3`.
struct TimeZoneChange {
    std::chrono::month month { std::chrono::January };
    unsigned week { 1 }; ///< 1 to 5; 5 is the last week of the month.
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

/// Parses a POSIX TZ rule (`EET-2EEST,M3.5.0/3,M10.5.0/4`) or one of a few IANA names. Errors: InvalidSetting.
///
///     Result<TimeZone> zone = parseTimeZone("Europe/Sofia");
Result<TimeZone> parseTimeZone(std::string_view);

/// The IANA names that `parseTimeZone` accepts; other zones are given by their rules.
std::span<const std::string_view> namedTimeZones();

/// Local time minus UTC at an instant.
std::chrono::seconds offsetAt(const TimeZone&, SystemTime);

/// The instant of a local time. A time that daylight saving skips is shifted forward by the skipped hour; of a repeated
/// time, the first instant is returned.
SystemTime instantOf(const TimeZone&, std::chrono::local_seconds);

} // namespace limpetpond
