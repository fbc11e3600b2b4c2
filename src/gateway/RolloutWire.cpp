#include "gateway/RolloutWire.h"

#include "gateway/ThriftBytes.h"
#include "gen/instance_news_types.h"
#include <algorithm>

namespace limpetpond {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds maxTime = std::chrono::hours(24 * 365); ///< Of times on the wire, so that sums of them fit.

    std::int64_t millisecondsOf(Duration time) { return std::clamp(std::chrono::duration_cast<milliseconds>(time), milliseconds(0), maxTime).count(); }

    Duration timeOf(std::int64_t count) { return milliseconds(std::clamp<std::int64_t>(count, 0, maxTime.count())); }

    std::int64_t unixMilliseconds(SystemTime time) { return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count(); }

    std::optional<RolloutPosition> positionOf(std::int64_t generation, std::int32_t phase, bool isStopped)
    {
        if (generation < 0 || phase < 0 || phase > static_cast<std::int32_t>(RolloutPhase::RolledBack))
            return std::nullopt;
        return RolloutPosition { .generation = static_cast<std::uint64_t>(generation), .phase = static_cast<RolloutPhase>(phase), .isStopped = isStopped };
    }

    TableVersion orderOf(std::int64_t epoch, std::int64_t number)
    {
        return { .epoch = StoreEpoch(static_cast<std::uint64_t>(epoch)), .number = static_cast<std::uint64_t>(number) };
    }

    std::vector<std::string> textsOf(const std::set<TargetVersion>& versions)
    {
        std::vector<std::string> texts;
        texts.reserve(versions.size());
        for (const TargetVersion& version : versions)
            texts.push_back(version.value());
        return texts;
    }

    std::set<TargetVersion> versionsOf(const std::vector<std::string>& texts)
    {
        std::set<TargetVersion> versions;
        for (const std::string& text : texts)
            versions.insert(TargetVersion(text));
        return versions;
    }

} // namespace

rpc::RolloutNews toWire(const RolloutReport& report)
{
    rpc::RolloutNews wire;
    wire.pool = static_cast<std::int32_t>(report.pool);
    wire.orderEpoch = static_cast<std::int64_t>(report.order.epoch.value());
    wire.orderNumber = static_cast<std::int64_t>(report.order.number);
    wire.to = report.to.value();
    wire.orderTime = millisecondsOf(report.time);
    wire.orderAge = millisecondsOf(report.orderAge);
    wire.generation = static_cast<std::int64_t>(report.position.generation);
    wire.phase = static_cast<std::int32_t>(report.position.phase);
    wire.stopped = report.position.isStopped;
    wire.beatGeneration = static_cast<std::int64_t>(report.beatGeneration);
    wire.beat = static_cast<std::int64_t>(report.beat);
    wire.beatAge = millisecondsOf(report.beatAge);
    wire.oldInProgress = report.oldInProgress;
    for (const RolloutCount& count : report.counts) {
        rpc::RolloutAnswers& answers = wire.answers.emplace_back();
        answers.route = static_cast<std::int32_t>(count.route);
        answers.target = static_cast<std::int32_t>(count.target);
        answers.answers = static_cast<std::int32_t>(count.answers);
        answers.failures = static_cast<std::int32_t>(count.failures);
        answers.slow = static_cast<std::int32_t>(count.slow);
        answers.verySlow = static_cast<std::int32_t>(count.verySlow);
    }
    return wire;
}

std::optional<RolloutReport> fromWire(const rpc::RolloutNews& wire)
{
    std::optional<RolloutPosition> position = positionOf(wire.generation, wire.phase, wire.stopped);
    if (!position || wire.to.empty() || wire.orderTime <= 0)
        return std::nullopt;
    RolloutReport report {
        .pool = static_cast<std::uint32_t>(wire.pool),
        .order = orderOf(wire.orderEpoch, wire.orderNumber),
        .to = TargetVersion(wire.to),
        .time = timeOf(wire.orderTime),
        .orderAge = timeOf(wire.orderAge),
        .position = *position,
        .beatGeneration = static_cast<std::uint64_t>(std::max<std::int64_t>(wire.beatGeneration, 0)),
        .beat = static_cast<std::uint64_t>(std::max<std::int64_t>(wire.beat, 0)),
        .beatAge = timeOf(wire.beatAge),
        .oldInProgress = std::max(wire.oldInProgress, 0),
    };
    for (const rpc::RolloutAnswers& answers : wire.answers) {
        report.counts.push_back({
            .route = static_cast<std::uint32_t>(answers.route),
            .target = static_cast<std::uint32_t>(answers.target),
            .answers = static_cast<std::uint32_t>(std::max(answers.answers, 0)),
            .failures = static_cast<std::uint32_t>(std::max(answers.failures, 0)),
            .slow = static_cast<std::uint32_t>(std::max(answers.slow, 0)),
            .verySlow = static_cast<std::uint32_t>(std::max(answers.verySlow, 0)),
        });
    }
    return report;
}

std::string encodeRolloutRow(const RolloutRow& row, SystemTime now)
{
    rpc::StoredRollout wire;
    wire.orderEpoch = static_cast<std::int64_t>(row.order.epoch.value());
    wire.orderNumber = static_cast<std::int64_t>(row.order.number);
    wire.to = row.to.value();
    wire.orderTime = millisecondsOf(row.time);
    wire.orderedAt = unixMilliseconds(now) - millisecondsOf(row.orderAge);
    wire.generation = static_cast<std::int64_t>(row.position.generation);
    wire.phase = static_cast<std::int32_t>(row.position.phase);
    wire.stopped = row.position.isStopped;
    wire.holder = row.holder.value();
    wire.holderIncarnation = static_cast<std::int64_t>(row.holderIncarnation);
    return compactBytes(wire);
}

std::optional<RolloutRow> decodeRolloutRow(std::string_view bytes, SystemTime now)
{
    std::optional<rpc::StoredRollout> wire = fromCompactBytes<rpc::StoredRollout>(bytes);
    std::optional<RolloutPosition> position = wire ? positionOf(wire->generation, wire->phase, wire->stopped) : std::nullopt;
    if (!position || wire->to.empty() || wire->orderTime <= 0)
        return std::nullopt;
    std::int64_t nowCount = unixMilliseconds(now);
    // The clocks of instances differ, and may have been set back since.
    std::int64_t orderedAt = std::clamp<std::int64_t>(wire->orderedAt, 0, nowCount);
    return RolloutRow {
        .order = orderOf(wire->orderEpoch, wire->orderNumber),
        .to = TargetVersion(wire->to),
        .time = timeOf(wire->orderTime),
        .orderAge = timeOf(nowCount - orderedAt),
        .position = *position,
        .holder = InstanceId(wire->holder),
        .holderIncarnation = static_cast<std::uint64_t>(wire->holderIncarnation),
    };
}

std::string encodeVersionsRow(const TargetVersions& versions)
{
    rpc::StoredVersions wire;
    wire.established = textsOf(versions.established);
    wire.excluded = textsOf(versions.excluded);
    return compactBytes(wire);
}

std::optional<TargetVersions> decodeVersionsRow(std::string_view bytes)
{
    std::optional<rpc::StoredVersions> wire = fromCompactBytes<rpc::StoredVersions>(bytes);
    if (!wire || wire->established.empty())
        return std::nullopt;
    return TargetVersions { .established = versionsOf(wire->established), .excluded = versionsOf(wire->excluded) };
}

} // namespace limpetpond
