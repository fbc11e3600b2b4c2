#include "core/TimeZone.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>

namespace limpetpond {

namespace detail {

    namespace {

        struct NamedTimeZone {
            std::string_view name;
            std::string_view rule;
        };

        constexpr std::array namedZones {
            NamedTimeZone { "UTC", "UTC0" },
            NamedTimeZone { "America/Costa_Rica", "CST6" },
            NamedTimeZone { "Europe/Sofia", "EET-2EEST,M3.5.0/3,M10.5.0/4" },
            NamedTimeZone { "Europe/London", "GMT0BST,M3.5.0/1,M10.5.0" },
            NamedTimeZone { "Europe/Berlin", "CET-1CEST,M3.5.0,M10.5.0/3" },
            NamedTimeZone { "America/New_York", "EST5EDT,M3.2.0,M11.1.0" },
        };

        constexpr auto namedZoneNames = [] {
            std::array<std::string_view, namedZones.size()> names {};
            std::ranges::transform(namedZones, names.begin(), &NamedTimeZone::name);
            return names;
        }();

        constexpr int maxOffsetHours = 24;
        constexpr int maxChangeHours = 167;

        /// Parses the parts of a rule from left to right; a malformed part yields no value.
        class RuleParser {
        public:
            explicit RuleParser(std::string_view rest)
                : m_rest(rest)
            {
            }

            bool isAtEnd() const { return m_rest.empty(); }

            bool take(char c)
            {
                if (!m_rest.starts_with(c))
                    return false;
                m_rest.remove_prefix(1);
                return true;
            }

            bool takeName()
            {
                if (take('<')) {
                    auto end = m_rest.find('>');
                    if (end == std::string_view::npos || end < 3)
                        return false;
                    m_rest.remove_prefix(end + 1);
                    return true;
                }
                std::size_t length = 0;
                while (length < m_rest.size() && isLetter(m_rest[length]))
                    ++length;
                m_rest.remove_prefix(length);
                return length >= 3;
            }

            std::optional<int> takeNumber(int min, int max)
            {
                std::size_t digits = 0;
                int number = 0;
                while (digits < m_rest.size() && digits < 3 && m_rest[digits] >= '0' && m_rest[digits] <= '9')
                    number = number * 10 + (m_rest[digits++] - '0');
                m_rest.remove_prefix(digits);
                if (!digits || number < min || number > max)
                    return std::nullopt;
                return number;
            }

            /// Parses `[+-]hh[:mm[:ss]]`.
            std::optional<std::chrono::seconds> takeTime(int maxHours)
            {
                bool isNegative = take('-');
                if (!isNegative)
                    take('+');
                std::optional<int> hours = takeNumber(0, maxHours);
                if (!hours)
                    return std::nullopt;
                int minutes = 0;
                int seconds = 0;
                if (take(':') && !takeInto(minutes))
                    return std::nullopt;
                if (take(':') && !takeInto(seconds))
                    return std::nullopt;
                auto time = std::chrono::hours(*hours) + std::chrono::minutes(minutes) + std::chrono::seconds(seconds);
                return isNegative ? -time : time;
            }

            /// Parses `,Mm.w.d[/time]`.
            std::optional<TimeZoneChange> takeChange()
            {
                if (!take(',') || !take('M'))
                    return std::nullopt;
                std::optional<int> month = takeNumber(1, 12);
                if (!month || !take('.'))
                    return std::nullopt;
                std::optional<int> week = takeNumber(1, 5);
                if (!week || !take('.'))
                    return std::nullopt;
                std::optional<int> day = takeNumber(0, 6);
                if (!day)
                    return std::nullopt;
                TimeZoneChange change { .month = std::chrono::month(*month), .week = static_cast<unsigned>(*week), .day = std::chrono::weekday(*day) };
                if (!take('/'))
                    return change;
                std::optional<std::chrono::seconds> time = takeTime(maxChangeHours);
                if (!time)
                    return std::nullopt;
                change.timeOfDay = *time;
                return change;
            }

            bool startsChange() const { return m_rest.starts_with(','); }

        private:
            static bool isLetter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

            bool takeInto(int& out)
            {
                std::optional<int> number = takeNumber(0, 59);
                out = number.value_or(0);
                return number.has_value();
            }

            std::string_view m_rest;
        };

        std::optional<TimeZone> parseRule(std::string_view rule)
        {
            RuleParser parser(rule);
            if (!parser.takeName())
                return std::nullopt;
            std::optional<std::chrono::seconds> offsetWest = parser.takeTime(maxOffsetHours);
            if (!offsetWest)
                return std::nullopt;
            TimeZone zone { .standardOffset = -*offsetWest, .daylightOffset = -*offsetWest };
            if (parser.isAtEnd())
                return zone;
            if (!parser.takeName())
                return std::nullopt;
            zone.hasDaylightSaving = true;
            zone.daylightOffset = zone.standardOffset + std::chrono::hours(1);
            if (!parser.startsChange()) {
                std::optional<std::chrono::seconds> daylightOffsetWest = parser.takeTime(maxOffsetHours);
                if (!daylightOffsetWest)
                    return std::nullopt;
                zone.daylightOffset = -*daylightOffsetWest;
            }
            std::optional<TimeZoneChange> start = parser.takeChange();
            std::optional<TimeZoneChange> end = start ? parser.takeChange() : std::nullopt;
            if (!end || !parser.isAtEnd())
                return std::nullopt;
            zone.daylightStart = *start;
            zone.daylightEnd = *end;
            return zone;
        }

        std::chrono::local_seconds localTimeOf(const TimeZoneChange& change, std::chrono::year year)
        {
            namespace chrono = std::chrono;
            chrono::year_month month { year, change.month };
            chrono::local_days date = change.week == 5
                ? chrono::local_days(month / change.day[chrono::last])
                : chrono::local_days(month / change.day[change.week]);
            return date + change.timeOfDay;
        }

        std::chrono::sys_seconds toSystem(std::chrono::local_seconds local, std::chrono::seconds offset)
        {
            return std::chrono::sys_seconds(local.time_since_epoch() - offset);
        }

    } // namespace

} // namespace detail

std::span<const std::string_view> namedTimeZones()
{
    return detail::namedZoneNames;
}

Result<TimeZone> parseTimeZone(std::string_view text)
{
    auto named = std::ranges::find(detail::namedZones, text, &detail::NamedTimeZone::name);
    std::optional<TimeZone> zone = detail::parseRule(named == detail::namedZones.end() ? text : named->rule);
    if (!zone)
        return boost::leaf::new_error(InvalidSetting { .name = "timeZone", .value = std::string(text), .allowed = "a POSIX TZ rule with changes of the form Mm.w.d/time, or a known IANA name" });
    return *zone;
}

std::chrono::seconds offsetAt(const TimeZone& zone, SystemTime time)
{
    namespace chrono = std::chrono;
    if (!zone.hasDaylightSaving)
        return zone.standardOffset;
    auto seconds = chrono::floor<chrono::seconds>(time);
    chrono::year_month_day date { chrono::floor<chrono::days>(seconds + zone.standardOffset) };
    auto start = detail::toSystem(detail::localTimeOf(zone.daylightStart, date.year()), zone.standardOffset);
    auto end = detail::toSystem(detail::localTimeOf(zone.daylightEnd, date.year()), zone.daylightOffset);
    bool isDaylight = start < end ? (seconds >= start && seconds < end) : (seconds >= start || seconds < end);
    return isDaylight ? zone.daylightOffset : zone.standardOffset;
}

SystemTime instantOf(const TimeZone& zone, std::chrono::local_seconds local)
{
    auto standard = detail::toSystem(local, zone.standardOffset);
    auto daylight = detail::toSystem(local, zone.daylightOffset);
    bool isStandard = offsetAt(zone, standard) == zone.standardOffset;
    bool isDaylight = offsetAt(zone, daylight) == zone.daylightOffset;
    if (isStandard && isDaylight)
        return std::min(standard, daylight);
    if (isStandard)
        return standard;
    if (isDaylight)
        return daylight;
    return std::max(standard, daylight);
}

} // namespace limpetpond
