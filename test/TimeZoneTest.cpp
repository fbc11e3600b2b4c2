#include "core/TimeZone.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono;

namespace {

TimeZone zone(std::string_view rule) { return parseTimeZone(rule).value(); }

local_seconds local(int year, unsigned month, unsigned day, int hour, int minute)
{
    return local_days(year_month_day(std::chrono::year(year), std::chrono::month(month), std::chrono::day(day))) + hours(hour) + minutes(minute);
}

SystemTime utc(int year, unsigned month, unsigned day, int hour, int minute)
{
    return sys_days(year_month_day(std::chrono::year(year), std::chrono::month(month), std::chrono::day(day))) + hours(hour) + minutes(minute);
}

} // namespace

TEST_GROUP(TimeZone) {};

TEST(TimeZone, costaRicaHasNoDaylightSaving)
{
    CHECK(offsetAt(zone("America/Costa_Rica"), utc(2026, 7, 1, 0, 0)) == hours(-6));
    CHECK(instantOf(zone("CST6"), local(2026, 7, 1, 2, 30)) == utc(2026, 7, 1, 8, 30));
}

TEST(TimeZone, sofiaChangesOnTheLastSundays)
{
    TimeZone sofia = zone("Europe/Sofia");
    CHECK(offsetAt(sofia, utc(2026, 3, 29, 0, 59)) == hours(2));
    CHECK(offsetAt(sofia, utc(2026, 3, 29, 1, 0)) == hours(3));
    CHECK(offsetAt(sofia, utc(2026, 10, 25, 0, 59)) == hours(3));
    CHECK(offsetAt(sofia, utc(2026, 10, 25, 1, 0)) == hours(2));
}

TEST(TimeZone, skippedLocalTimeIsShiftedForward)
{
    CHECK(instantOf(zone("Europe/Sofia"), local(2026, 3, 29, 3, 30)) == utc(2026, 3, 29, 1, 30));
    CHECK(instantOf(zone("Europe/Sofia"), local(2026, 3, 29, 2, 59)) == utc(2026, 3, 29, 0, 59));
    CHECK(instantOf(zone("Europe/Sofia"), local(2026, 3, 29, 4, 0)) == utc(2026, 3, 29, 1, 0));
}

TEST(TimeZone, repeatedLocalTimeIsTheFirstInstant)
{
    CHECK(instantOf(zone("Europe/Sofia"), local(2026, 10, 25, 3, 30)) == utc(2026, 10, 25, 0, 30));
    CHECK(instantOf(zone("Europe/Sofia"), local(2026, 10, 25, 4, 0)) == utc(2026, 10, 25, 2, 0));
}

TEST(TimeZone, southernDaylightSavingSpansTheNewYear)
{
    TimeZone sydney = zone("AEST-10AEDT,M10.1.0,M4.1.0/3");
    CHECK(offsetAt(sydney, utc(2026, 1, 1, 0, 0)) == hours(11));
    CHECK(offsetAt(sydney, utc(2026, 7, 1, 0, 0)) == hours(10));
    CHECK(offsetAt(sydney, utc(2026, 12, 31, 23, 0)) == hours(11));
}

TEST(TimeZone, bracketedNamesAndFractionalHoursAreParsed)
{
    CHECK(offsetAt(zone("<+0545>-5:45"), utc(2026, 1, 1, 0, 0)) == hours(5) + minutes(45));
}

TEST(TimeZone, everyNamedZoneIsParsed)
{
    for (std::string_view name : namedTimeZones())
        CHECK(parseTimeZone(name).has_value());
}

TEST(TimeZone, malformedRulesAreRejected)
{
    for (const char* wrong : { "", "Europe/Atlantis", "EET", "EET-2EEST", "EET-2EEST,M3.5.0", "EET-2EEST,M13.5.0,M10.5.0", "EET-2EEST,M3.6.0,M10.5.0", "EET-2EEST,M3.5.7,M10.5.0", "EET-2EEST,J60,J300", "EET-2EEST,M3.5.0,M10.5.0x", "E-2", "EET-25", "EET-2:60", "<EET-2" })
        CHECK_FALSE(parseTimeZone(wrong).has_value());
}
