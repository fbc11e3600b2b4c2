#include "gateway/SuspectWire.h"

#include "core/Hash.h"
#include "gateway/ThriftBytes.h"
#include "gen/instance_news_types.h"
#include <algorithm>
#include <charconv>
#include <limits>

namespace limpetpond {

namespace {

    using std::chrono::milliseconds;

    std::int32_t clampedMilliseconds(Duration age)
    {
        std::int64_t count = std::chrono::duration_cast<milliseconds>(age).count();
        return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::int32_t>::max()));
    }

    std::int64_t unixMilliseconds(SystemTime time) { return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count(); }

} // namespace

rpc::SuspectPart toWire(const PoolSuspect& suspect)
{
    rpc::SuspectPart wire;
    wire.pool = static_cast<std::int32_t>(suspect.pool);
    wire.part = static_cast<std::int64_t>(suspect.report.part.value());
    wire.clearings = static_cast<std::int32_t>(suspect.report.clearings);
    wire.otherAnswers = static_cast<std::int16_t>(suspect.report.otherAnswers);
    wire.quarantined = suspect.report.isQuarantined;
    for (const SuspectReport::Crash& crash : suspect.report.crashes) {
        wire.crashes.push_back(static_cast<std::int32_t>(crash.id.value()));
        wire.ages.push_back(clampedMilliseconds(crash.age));
    }
    return wire;
}

PoolSuspect fromWire(const rpc::SuspectPart& wire)
{
    PoolSuspect suspect { .pool = static_cast<std::uint32_t>(wire.pool) };
    suspect.report = {
        .part = PromptPart(static_cast<std::uint64_t>(wire.part)),
        .clearings = static_cast<std::uint32_t>(wire.clearings),
        .otherAnswers = wire.otherAnswers,
        .isQuarantined = wire.quarantined,
    };
    for (std::size_t i = 0; i < std::min(wire.crashes.size(), wire.ages.size()); ++i)
        suspect.report.crashes.push_back({ .id = CrashId(static_cast<std::uint32_t>(wire.crashes[i])), .age = milliseconds(wire.ages[i]) });
    return suspect;
}

std::string suspectRowKey(std::uint32_t pool, PromptPart part)
{
    return promptPartText(PromptPart(pool)) + "-" + promptPartText(part);
}

std::string encodeSuspectRow(const PoolSuspect& suspect, SystemTime now)
{
    rpc::StoredSuspectPart wire;
    wire.suspect = toWire(suspect);
    wire.writtenAt = unixMilliseconds(now);
    return compactBytes(wire);
}

std::optional<PoolSuspect> decodeSuspectRow(std::string_view bytes, SystemTime now)
{
    std::optional<rpc::StoredSuspectPart> wire = fromCompactBytes<rpc::StoredSuspectPart>(bytes);
    if (!wire)
        return std::nullopt;
    // The clocks of instances differ, and may have been set back since.
    constexpr std::int64_t maxAge = std::numeric_limits<std::int32_t>::max();
    milliseconds passed { std::clamp<std::int64_t>(unixMilliseconds(now) - wire->writtenAt, 0, maxAge) };
    PoolSuspect suspect = fromWire(wire->suspect);
    for (SuspectReport::Crash& crash : suspect.report.crashes)
        crash.age += passed;
    return suspect;
}

PromptPart promptPartOf(std::string_view id)
{
    constexpr std::size_t maxDigits = 16;
    std::uint64_t number = 0;
    auto parsed = std::from_chars(id.data(), id.data() + id.size(), number, 16);
    bool isNumber = id.size() <= maxDigits && parsed.ec == std::errc() && parsed.ptr == id.data() + id.size();
    return PromptPart(isNumber ? number : stableHash(id));
}

std::string promptPartText(PromptPart part)
{
    char digits[20];
    auto end = std::to_chars(digits, digits + sizeof digits, part.value(), 16);
    return { digits, end.ptr };
}

} // namespace limpetpond
