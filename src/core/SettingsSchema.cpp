#include "core/SettingsSchema.h"

#include "core/TimeZone.h"
#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cmath>
#include <vector>

namespace limpetpond {

namespace detail {

    namespace {

        constexpr std::array atSite { BranchKind::Site };
        constexpr std::array atTier { BranchKind::Tier };
        constexpr std::array atPool { BranchKind::Pool };
        constexpr std::array atTarget { BranchKind::Target };
        constexpr std::array atAccount { BranchKind::Account };
        constexpr std::array atWindow { BranchKind::Window };
        constexpr std::array fromPool { BranchKind::Pool, BranchKind::Site };
        constexpr std::array fromTarget { BranchKind::Target, BranchKind::Pool, BranchKind::Site };
        constexpr std::array fromAccount { BranchKind::Account, BranchKind::Site };

        constexpr std::array<std::string_view, 2> targetKinds { "model_engine", "plain_service" };
        constexpr std::array<std::string_view, 3> marks { "serving", "leaving", "cleaning" };
        constexpr std::array<std::string_view, 7> weekdays { "sunday", "monday", "tuesday", "wednesday", "thursday", "friday", "saturday" };
        constexpr std::array<std::string_view, 6> policies { "limpetpond", "round_robin", "least_outstanding", "two_choices", "prefix_hash", "no_tiers" };

        constexpr std::array<std::string_view, 3> engineRoles { "prefill", "decode", "both" };

        // Durations are in milliseconds and sizes in bytes.
        constexpr double second = 1'000;
        constexpr double minute = 60 * second;
        constexpr double hour = 60 * minute;
        constexpr double kibibyte = 1'024;
        constexpr double mebibyte = 1'024 * kibibyte;

        constexpr std::array schema {
            FieldSchema { .name = "name", .settableAt = atSite, .type = FieldType::Text, .defaultValue = "\"site\"", .doc = "What the site is called in reports." },
            FieldSchema { .name = "viewAgeLimit", .settableAt = atSite, .type = FieldType::Duration, .min = 200, .max = minute, .defaultValue = "\"3s\"", .doc = "An instance whose settings were confirmed longer ago dispatches nothing. At least twice headReadPeriod and heartbeatPeriod." },
            FieldSchema { .name = "heartbeatPeriod", .settableAt = atSite, .type = FieldType::Duration, .min = 20, .max = 10 * second, .defaultValue = "\"500ms\"", .doc = "Between heartbeats from one instance to another." },
            FieldSchema { .name = "suspectAfter", .settableAt = atSite, .type = FieldType::Duration, .min = 100, .max = minute, .defaultValue = "\"2s\"", .doc = "A peer that has not answered for so long counts as gone. At least twice heartbeatPeriod." },
            FieldSchema { .name = "headReadPeriod", .settableAt = atSite, .type = FieldType::Duration, .min = 20, .max = minute, .defaultValue = "\"1s\"", .doc = "Between an instance's reads of the version row." },
            FieldSchema { .name = "claimRetention", .settableAt = atSite, .type = FieldType::Duration, .min = hour, .max = 720 * hour, .defaultValue = "\"48h\"", .doc = "How long the claim of an idempotency key, and its stored answer, is kept." },
            FieldSchema { .name = "maxBody", .settableAt = atSite, .type = FieldType::Bytes, .min = kibibyte, .max = 64 * mebibyte, .defaultValue = "\"4MiB\"", .doc = "The largest body of a request." },
            FieldSchema { .name = "maxStoredAnswer", .settableAt = atSite, .type = FieldType::Bytes, .min = 0, .max = 320 * kibibyte, .defaultValue = "\"256KiB\"", .doc = "The largest answer that is kept for a second arrival of its key; the table service takes rows of 400 KB." },

            FieldSchema { .name = "level", .settableAt = atTier, .type = FieldType::Count, .min = 0, .max = 15, .required = true, .doc = "The urgency: a larger level is served before every smaller one. No two tiers share one." },

            FieldSchema { .name = "kind", .settableAt = atPool, .type = FieldType::Choice, .defaultValue = "\"model_engine\"", .choices = targetKinds, .doc = "What the pool's targets are." },
            FieldSchema { .name = "models", .settableAt = atPool, .type = FieldType::NameList, .defaultValue = "[]", .doc = "Model pools: the names that the API accepts as model; the pool's name when empty. A model belongs to one pool." },
            FieldSchema { .name = "service", .settableAt = atPool, .type = FieldType::Name, .doc = "Service pools: NAME in /services/NAME/; the pool's name when not set." },
            FieldSchema { .name = "nonIdempotentMethods", .settableAt = atPool, .type = FieldType::MethodList, .defaultValue = "[]", .doc = "Service pools: methods whose calls run at most once and need an idempotency key." },
            FieldSchema { .name = "nonIdempotentPaths", .settableAt = atPool, .type = FieldType::PathList, .defaultValue = "[]", .doc = "Service pools: path prefixes to which nonIdempotentMethods applies; all paths when empty." },
            FieldSchema { .name = "maxWaiting", .settableAt = fromPool, .type = FieldType::Count, .min = 1, .max = 100'000, .defaultValue = "512", .doc = "Requests that may wait for the pool in one instance." },
            FieldSchema { .name = "maxWait", .settableAt = fromPool, .type = FieldType::Duration, .min = 100, .max = hour, .defaultValue = "\"20s\"", .doc = "How long a request may wait; an earlier deadline goes first. At least suspectAfter, in which the floor of a tier is confirmed." },
            FieldSchema { .name = "callTimeout", .settableAt = fromPool, .type = FieldType::Duration, .min = 100, .max = 24 * hour, .defaultValue = "\"1m\"", .doc = "From a dispatch to the end of its answer." },
            FieldSchema { .name = "maxDispatches", .settableAt = fromPool, .type = FieldType::Count, .min = 1, .max = 10, .defaultValue = "3", .doc = "Dispatches of one idempotent request." },
            FieldSchema { .name = "retryBudget", .settableAt = fromPool, .type = FieldType::Share, .min = 0, .max = 1, .defaultValue = "0.1", .doc = "Second dispatches as a share of first ones." },
            FieldSchema { .name = "policy", .settableAt = fromPool, .type = FieldType::Choice, .defaultValue = "\"limpetpond\"", .choices = policies, .doc = "The routing policy; all but limpetpond are baselines for comparison." },
            FieldSchema { .name = "maxLeavingShare", .settableAt = fromPool, .type = FieldType::Share, .min = 0, .max = 1, .defaultValue = "0.25", .doc = "The share of the pool's targets that the cleaning schedule empties at once; always at least one target." },

            FieldSchema { .name = "pool", .settableAt = atTarget, .type = FieldType::Name, .required = true, .doc = "The pool that the target belongs to." },
            FieldSchema { .name = "host", .settableAt = atTarget, .type = FieldType::IpAddress, .required = true, .doc = "The target's IP number. No two targets share host and port." },
            FieldSchema { .name = "port", .settableAt = atTarget, .type = FieldType::Count, .min = 1, .max = 65'535, .required = true, .doc = "The target's TCP port." },
            FieldSchema { .name = "failureDomain", .settableAt = atTarget, .type = FieldType::Name, .doc = "The failure domain that the target stands in." },
            FieldSchema { .name = "mark", .settableAt = atTarget, .type = FieldType::Choice, .defaultValue = "\"serving\"", .choices = marks, .doc = "A leaving target gets no new work until an operator returns it; cleaning is the same mark set by the cleaning schedule, which returns the target itself." },
            FieldSchema { .name = "maxTokensInProgress", .settableAt = fromTarget, .type = FieldType::Tokens, .min = 1, .max = 100e6, .defaultValue = "\"64000 tokens\"", .doc = "Model engines: prompt and answer tokens admitted at once, over all instances." },
            FieldSchema { .name = "maxRequestsInProgress", .settableAt = fromTarget, .type = FieldType::Count, .min = 1, .max = 100'000, .defaultValue = "64", .doc = "Requests admitted at once, over all instances." },
            FieldSchema { .name = "prefillRate", .settableAt = fromTarget, .type = FieldType::Rate, .min = 1, .max = 1e9, .defaultValue = "\"8000 tokens/s\"", .doc = "The expected speed of prompt processing; the learned one replaces it." },
            FieldSchema { .name = "decodeRate", .settableAt = fromTarget, .type = FieldType::Rate, .min = 0.1, .max = 1e6, .defaultValue = "\"40 tokens/s\"", .doc = "The expected speed of one stream; the learned one replaces it." },
            FieldSchema { .name = "cacheCapacity", .settableAt = fromTarget, .type = FieldType::Tokens, .min = 0, .max = 1e9, .defaultValue = "\"200000 tokens\"", .doc = "The prefix cache of an engine." },
            FieldSchema { .name = "checksFencing", .settableAt = fromTarget, .type = FieldType::Flag, .defaultValue = "false", .doc = "The target refuses orders with an old fencing number." },
            FieldSchema { .name = "checksKeys", .settableAt = fromTarget, .type = FieldType::Flag, .defaultValue = "false", .doc = "The target itself refuses a second run of an idempotency key." },
            FieldSchema { .name = "wantedModel", .settableAt = fromTarget, .type = FieldType::Name, .defaultValue = "\"none\"", .doc = "Model engines: the model that the engine is ordered to load; none for no orders." },
            FieldSchema { .name = "wantedVersion", .settableAt = fromTarget, .type = FieldType::Name, .defaultValue = "\"latest\"", .doc = "Model engines: the version of wantedModel." },
            FieldSchema { .name = "wantedAdapters", .settableAt = fromTarget, .type = FieldType::NameList, .defaultValue = "[]", .doc = "Model engines: the adapters that are loaded with wantedModel." },
            FieldSchema { .name = "wantedRole", .settableAt = fromTarget, .type = FieldType::Choice, .defaultValue = "\"both\"", .choices = engineRoles, .doc = "Model engines: whether the engine processes prompts, generates, or does both." },
            FieldSchema { .name = "window", .settableAt = fromTarget, .type = FieldType::Name, .defaultValue = "\"none\"", .doc = "The cleaning window; none for no cleaning by schedule." },
            FieldSchema { .name = "cleaningTime", .settableAt = fromTarget, .type = FieldType::Duration, .min = minute, .max = 12 * hour, .defaultValue = "\"30m\"", .doc = "What the cleaning takes once the target is empty; whole minutes." },

            FieldSchema { .name = "tier", .settableAt = fromAccount, .type = FieldType::Name, .doc = "The tier of the account's requests; level 0 when not set." },
            FieldSchema { .name = "weight", .settableAt = fromAccount, .type = FieldType::Share, .min = 0.01, .max = 1'000, .defaultValue = "1", .doc = "The account's share inside its tier, relative to the others." },
            FieldSchema { .name = "accountMaxWaiting", .settableAt = fromAccount, .type = FieldType::Count, .min = 1, .max = 100'000, .defaultValue = "256", .doc = "Requests of the account that may wait in one instance." },
            FieldSchema { .name = "keyHashes", .settableAt = atAccount, .type = FieldType::HashList, .defaultValue = "[]", .doc = "The SHA-256 digests of the account's bearer keys. No two accounts share one." },

            FieldSchema { .name = "timeZone", .settableAt = atWindow, .type = FieldType::TimeZone, .defaultValue = "\"UTC\"", .doc = "The time zone of day and start." },
            FieldSchema { .name = "day", .settableAt = atWindow, .type = FieldType::Choice, .defaultValue = "\"sunday\"", .choices = weekdays, .doc = "The local day of the week on which the window begins." },
            FieldSchema { .name = "start", .settableAt = atWindow, .type = FieldType::TimeOfDay, .defaultValue = "\"00:00\"", .doc = "The local time at which the window begins." },
            FieldSchema { .name = "length", .settableAt = atWindow, .type = FieldType::Duration, .min = 5 * minute, .max = 24 * hour, .defaultValue = "\"1h\"", .doc = "The length of the window; whole minutes. The pool's targets take their turns in it." },
        };

        struct Unit {
            std::string_view suffix;
            double factor;
        };

        // Sorted from large to small; the last unit has factor 1.
        constexpr std::array durationUnits { Unit { "h", hour }, Unit { "m", minute }, Unit { "s", second }, Unit { "ms", 1 } };
        constexpr std::array byteUnits { Unit { "MiB", mebibyte }, Unit { "KiB", kibibyte }, Unit { "B", 1 } };
        constexpr std::array tokenUnits { Unit { "M tokens", 1e6 }, Unit { "k tokens", 1e3 }, Unit { "tokens", 1 } };
        constexpr std::array rateUnits { Unit { "k tokens/s", 1e3 }, Unit { "tokens/s", 1 } };

        std::span<const Unit> unitsOf(FieldType type)
        {
            switch (type) {
            case FieldType::Duration:
                return durationUnits;
            case FieldType::Bytes:
                return byteUnits;
            case FieldType::Tokens:
                return tokenUnits;
            case FieldType::Rate:
                return rateUnits;
            default:
                return {};
            }
        }

        std::string shortNumber(double number)
        {
            std::array<char, 32> buffer {};
            // Fixed notation is the most readable for the ranges in the schema.
            auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, std::chars_format::fixed);
            if (end.ec != std::errc())
                end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
            return { buffer.data(), end.ptr };
        }

        bool isWhole(double number) { return number == std::floor(number); }

        std::optional<double> parseWithUnit(std::string_view text, std::span<const Unit> units)
        {
            double number = 0;
            auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
            if (error != std::errc() || !std::isfinite(number) || number < 0)
                return std::nullopt;
            std::string_view suffix(rest, text.data() + text.size() - rest);
            if (suffix.starts_with(' '))
                suffix.remove_prefix(1);
            for (const Unit& unit : units) {
                if (suffix == unit.suffix)
                    return number * unit.factor;
            }
            return std::nullopt;
        }

        std::string formatDurationOrBytes(double amount, std::span<const Unit> units)
        {
            for (const Unit& unit : units) {
                if (amount != 0 && isWhole(amount / unit.factor))
                    return shortNumber(amount / unit.factor) + std::string(unit.suffix);
            }
            return shortNumber(amount) + std::string(units.back().suffix);
        }

        std::string formatAmount(FieldType type, double amount)
        {
            if (type == FieldType::Tokens)
                return shortNumber(amount) + " tokens";
            if (type == FieldType::Rate)
                return shortNumber(amount) + " tokens/s";
            if (type == FieldType::Count || type == FieldType::Share)
                return shortNumber(amount);
            return formatDurationOrBytes(amount, unitsOf(type));
        }

        std::optional<double> parseTimeOfDay(std::string_view text)
        {
            if (text.size() != 5 || text[2] != ':')
                return std::nullopt;
            for (std::size_t i : { 0, 1, 3, 4 }) {
                if (text[i] < '0' || text[i] > '9')
                    return std::nullopt;
            }
            int hours = (text[0] - '0') * 10 + (text[1] - '0');
            int minutes = (text[3] - '0') * 10 + (text[4] - '0');
            if (hours > 23 || minutes > 59)
                return std::nullopt;
            return hours * 60 + minutes;
        }

        bool isIpAddress(std::string_view text)
        {
            int parts = 0;
            while (true) {
                unsigned part = 0;
                auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), part);
                auto digits = rest - text.data();
                if (error != std::errc() || part > 255 || digits > 3 || (digits > 1 && text[0] == '0'))
                    return false;
                text.remove_prefix(digits);
                if (++parts == 4)
                    return text.empty();
                if (!text.starts_with('.'))
                    return false;
                text.remove_prefix(1);
            }
        }

        bool isText(std::string_view text)
        {
            if (text.empty() || text.size() > 200)
                return false;
            return std::ranges::all_of(text, [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
        }

        bool isMethod(std::string_view text)
        {
            return !text.empty() && text.size() <= 16 && std::ranges::all_of(text, [](char c) { return c >= 'A' && c <= 'Z'; });
        }

        bool isPath(std::string_view text)
        {
            return text.starts_with('/') && text.size() <= 200 && std::ranges::all_of(text, [](unsigned char c) { return c > 0x20 && c < 0x7f && c != '?' && c != '#'; });
        }

        bool isDigest(std::string_view text)
        {
            return text.size() == 64 && std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
        }

        bool isTimeZone(std::string_view text)
        {
            return boost::leaf::try_handle_all([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(parseTimeZone(text));
            return true; }, [] { return false; });
        }

        constexpr std::size_t maxListItems = 1'000;

        bool isListOf(const boost::json::value& value, bool (*accepts)(std::string_view))
        {
            const boost::json::array* list = value.if_array();
            if (!list || list->size() > maxListItems)
                return false;
            for (auto item = list->begin(); item != list->end(); ++item) {
                if (!item->is_string() || !accepts(item->get_string()))
                    return false;
                if (std::find(list->begin(), item, *item) != item)
                    return false;
            }
            return true;
        }

        /// Whether a value of a type that is not numeric has the form of its type.
        bool hasValidForm(const FieldSchema& field, const boost::json::value& value)
        {
            const boost::json::string* text = value.if_string();
            switch (field.type) {
            case FieldType::Text:
                return text && isText(*text);
            case FieldType::Name:
                return text && isValidName(*text);
            case FieldType::TimeZone:
                return text && isTimeZone(*text);
            case FieldType::IpAddress:
                return text && isIpAddress(*text);
            case FieldType::Choice:
                return text && std::ranges::find(field.choices, std::string_view(*text)) != field.choices.end();
            case FieldType::Flag:
                return value.is_bool();
            case FieldType::TimeOfDay:
                return text && parseTimeOfDay(*text);
            case FieldType::NameList:
                return isListOf(value, isValidName);
            case FieldType::MethodList:
                return isListOf(value, isMethod);
            case FieldType::PathList:
                return isListOf(value, isPath);
            case FieldType::HashList:
                return isListOf(value, isDigest);
            default:
                return false;
            }
        }

        bool isNumeric(FieldType type)
        {
            return type == FieldType::Count || type == FieldType::Share || !unitsOf(type).empty();
        }

        /// Windows and cleaning times are stored in minutes.
        bool needsWholeMinutes(const FieldSchema& field) { return field.name == "length" || field.name == "cleaningTime"; }

        /// The claim retention is stored in hours.
        bool needsWholeHours(const FieldSchema& field) { return field.name == "claimRetention"; }

        bool isAllowed(const FieldSchema& field, double amount)
        {
            if (amount < field.min || amount > field.max)
                return false;
            if (needsWholeMinutes(field) && !isWhole(amount / minute))
                return false;
            if (needsWholeHours(field) && !isWhole(amount / hour))
                return false;
            return field.type == FieldType::Share || field.type == FieldType::Rate || isWhole(amount);
        }

        boost::json::value canonicalAmount(FieldType type, double amount)
        {
            if (type == FieldType::Share && !isWhole(amount))
                return amount;
            if (type == FieldType::Share || type == FieldType::Count)
                return static_cast<std::int64_t>(amount);
            return boost::json::value(formatAmount(type, amount));
        }

        std::string joined(std::span<const std::string_view> strings)
        {
            std::string text;
            for (std::string_view string : strings)
                text += (text.empty() ? "" : ", ") + std::string(string);
            return text;
        }

        std::string rangeText(const FieldSchema& field)
        {
            return " from " + formatAmount(field.type, field.min) + " to " + formatAmount(field.type, field.max);
        }

        std::string kindsText(std::span<const BranchKind> kinds)
        {
            std::string text;
            for (auto kind = kinds.rbegin(); kind != kinds.rend(); ++kind)
                text += (text.empty() ? "" : ", ") + std::string(toString(*kind));
            return text;
        }

    } // namespace

} // namespace detail

std::span<const FieldSchema> settingsSchema()
{
    return detail::schema;
}

const FieldSchema* findField(BranchKind kind, std::string_view name)
{
    for (const FieldSchema& field : detail::schema) {
        if (field.name == name && std::ranges::find(field.settableAt, kind) != field.settableAt.end())
            return &field;
    }
    return nullptr;
}

std::string_view toString(BranchKind kind)
{
    switch (kind) {
    case BranchKind::Site:
        return "site";
    case BranchKind::Tier:
        return "tier";
    case BranchKind::Pool:
        return "pool";
    case BranchKind::Account:
        return "account";
    case BranchKind::Target:
        return "target";
    case BranchKind::Window:
        return "window";
    }
    return "site";
}

std::optional<BranchKind> kindOfPath(std::string_view path)
{
    if (path == "site")
        return BranchKind::Site;
    auto slash = path.find('/');
    if (slash == std::string_view::npos || !isValidName(path.substr(slash + 1)))
        return std::nullopt;
    std::string_view prefix = path.substr(0, slash);
    for (BranchKind kind : { BranchKind::Tier, BranchKind::Pool, BranchKind::Account, BranchKind::Target, BranchKind::Window }) {
        if (prefix == toString(kind))
            return kind;
    }
    return std::nullopt;
}

std::string branchPath(BranchKind kind, std::string_view name)
{
    if (kind == BranchKind::Site)
        return "site";
    return std::string(toString(kind)) + "/" + std::string(name);
}

bool isValidName(std::string_view name)
{
    if (name.empty() || name.size() > 64)
        return false;
    auto isAlphanumeric = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); };
    if (!isAlphanumeric(name.front()))
        return false;
    return std::ranges::all_of(name, [&](char c) { return isAlphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

std::string allowedText(const FieldSchema& field)
{
    switch (field.type) {
    case FieldType::Text:
        return "text of 1 to 200 printable bytes";
    case FieldType::Name:
        return "a name of 1 to 64 letters, digits, '.', '_' and '-'";
    case FieldType::NameList:
        return "a list of names of 1 to 64 letters, digits, '.', '_' and '-', none twice";
    case FieldType::MethodList:
        return "a list of HTTP methods in capitals, none twice";
    case FieldType::PathList:
        return "a list of paths that begin with '/', none twice";
    case FieldType::HashList:
        return "a list of SHA-256 digests of 64 lower-case hexadecimal digits, none twice";
    case FieldType::Choice:
        return "one of " + detail::joined(field.choices);
    case FieldType::Flag:
        return "true or false";
    case FieldType::Count:
        return "a whole number" + detail::rangeText(field);
    case FieldType::Share:
        return "a number" + detail::rangeText(field);
    case FieldType::Duration: {
        std::string whole = detail::needsWholeMinutes(field) ? " in whole minutes" : detail::needsWholeHours(field) ? " in whole hours"
                                                                                                                    : "";
        return "a duration in ms, s, m or h" + detail::rangeText(field) + whole;
    }
    case FieldType::Bytes:
        return "a size in B, KiB or MiB" + detail::rangeText(field);
    case FieldType::Tokens:
        return "a number of tokens, k tokens or M tokens" + detail::rangeText(field);
    case FieldType::Rate:
        return "a rate in tokens/s or k tokens/s" + detail::rangeText(field);
    case FieldType::TimeOfDay:
        return "a local time HH:MM from 00:00 to 23:59";
    case FieldType::TimeZone:
        return "a POSIX TZ rule such as EET-2EEST,M3.5.0/3,M10.5.0/4, or one of " + detail::joined(namedTimeZones());
    case FieldType::IpAddress:
        return "an IPv4 number";
    }
    return {};
}

std::optional<double> toBaseUnits(FieldType type, const boost::json::value& value)
{
    if (type == FieldType::Count || type == FieldType::Share) {
        if (!value.is_number())
            return std::nullopt;
        return value.to_number<double>();
    }
    const boost::json::string* text = value.if_string();
    if (!text)
        return std::nullopt;
    if (type == FieldType::TimeOfDay)
        return detail::parseTimeOfDay(*text);
    return detail::parseWithUnit(*text, detail::unitsOf(type));
}

Result<boost::json::value> checkValue(const FieldSchema& field, std::string_view path, const boost::json::value& value)
{
    auto refuse = [&] {
        return boost::leaf::new_error(InvalidSetting { .name = std::string(path) + " " + std::string(field.name), .value = valueToJson(value), .allowed = allowedText(field) });
    };
    if (!detail::isNumeric(field.type)) {
        if (!detail::hasValidForm(field, value))
            return refuse();
        return value;
    }
    std::optional<double> amount = toBaseUnits(field.type, value);
    if (!amount || !detail::isAllowed(field, *amount))
        return refuse();
    return detail::canonicalAmount(field.type, *amount);
}

std::string valueToJson(const boost::json::value& value)
{
    if (value.is_double())
        return detail::shortNumber(value.get_double());
    return boost::json::serialize(value);
}

std::string schemaAsMarkdown()
{
    std::string page = "# Settings\n\n"
                       "The settings tree that operators edit with `limpetpond settings`. `limpetpond settings schema` prints this page.\n\n"
                       "A value counts for all branches below the one that it is set at, unless one of them sets its own:\n"
                       "a target inherits from its pool and then from the site, a pool and a client account from the site.\n"
                       "Paths are `site`, `tier/NAME`, `pool/NAME`, `account/NAME`, `target/NAME` and `window/NAME`.\n\n"
                       "| field | set at | allowed | default | meaning |\n|---|---|---|---|---|\n";
    for (const FieldSchema& field : detail::schema) {
        std::string defaultText = field.required ? "must be set" : field.defaultValue.empty() ? "none"
                                                                                              : "`" + std::string(field.defaultValue) + "`";
        page += "| `" + std::string(field.name) + "` | " + detail::kindsText(field.settableAt) + " | " + allowedText(field) + " | " + defaultText + " | " + std::string(field.doc) + " |\n";
    }
    return page;
}

} // namespace limpetpond
