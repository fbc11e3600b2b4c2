#include "peer/PeerConversion.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace limpetpond {

namespace {

    constexpr std::int32_t noTier = -1;
    constexpr std::int64_t noAge = -1;

    std::int32_t tierToThrift(TierLevel tier)
    {
        constexpr auto maxLevel = static_cast<std::uint32_t>(std::numeric_limits<std::int32_t>::max());
        return static_cast<std::int32_t>(std::min(tier.level, maxLevel));
    }

    TierLevel tierFromThrift(std::int32_t level)
    {
        return TierLevel { static_cast<std::uint32_t>(std::max(level, 0)) };
    }

    std::uint64_t countFromThrift(std::int64_t count)
    {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
    }

    MemberState stateFromThrift(std::int32_t state)
    {
        if (state == static_cast<std::int32_t>(MemberState::Live))
            return MemberState::Live;
        if (state == static_cast<std::int32_t>(MemberState::Departed))
            return MemberState::Departed;
        return MemberState::Suspected;
    }

    rpc::PoolNews toThrift(const PoolUpdate& update)
    {
        rpc::PoolNews wire;
        wire.pool = update.pool.value();
        wire.floorLevel = tierToThrift(update.floor);
        wire.wantedFloorLevel = tierToThrift(update.wantedFloor);
        wire.lowestServedLevel = update.lowestServed ? tierToThrift(*update.lowestServed) : noTier;
        for (TokenCount tokens : update.waitingTokensByTier)
            wire.waitingTokensByTier.push_back(tokens.count());
        return wire;
    }

    PoolUpdate fromThrift(const rpc::PoolNews& wire)
    {
        PoolUpdate update { .pool = PoolId { wire.pool },
            .floor = tierFromThrift(wire.floorLevel),
            .wantedFloor = tierFromThrift(wire.wantedFloorLevel) };
        if (wire.lowestServedLevel >= 0)
            update.lowestServed = tierFromThrift(wire.lowestServedLevel);
        for (std::int64_t tokens : wire.waitingTokensByTier)
            update.waitingTokensByTier.emplace_back(std::max<std::int64_t>(tokens, 0));
        return update;
    }

    rpc::TargetNews toThrift(const TargetUpdate& update)
    {
        rpc::TargetNews wire;
        wire.target = update.target.value();
        wire.tokensInProgress = update.tokensInProgress.count();
        wire.requestsInProgress = update.requestsInProgress;
        wire.leavingMarkVersion = static_cast<std::int64_t>(update.leavingMarkVersion.value());
        return wire;
    }

    TargetUpdate fromThrift(const rpc::TargetNews& wire)
    {
        return { .target = TargetId { wire.target },
            .tokensInProgress = TokenCount { std::max<std::int64_t>(wire.tokensInProgress, 0) },
            .requestsInProgress = std::max(wire.requestsInProgress, 0),
            .leavingMarkVersion = SettingsVersion { countFromThrift(wire.leavingMarkVersion) } };
    }

    rpc::MemberNews toThrift(const MemberUpdate& update)
    {
        rpc::MemberNews wire;
        wire.instance = update.instance.value();
        wire.incarnation = static_cast<std::int64_t>(update.incarnation.value());
        wire.state = static_cast<std::int32_t>(update.state);
        wire.sequence = static_cast<std::int64_t>(update.sequence);
        return wire;
    }

    MemberUpdate fromThrift(const rpc::MemberNews& wire)
    {
        return { .instance = InstanceId { wire.instance },
            .incarnation = Incarnation { countFromThrift(wire.incarnation) },
            .state = stateFromThrift(wire.state),
            .sequence = countFromThrift(wire.sequence) };
    }

} // namespace

rpc::Heartbeat toThrift(const Heartbeat& heartbeat)
{
    rpc::Heartbeat wire;
    wire.instance = heartbeat.instance.value();
    wire.incarnation = static_cast<std::int64_t>(heartbeat.incarnation.value());
    wire.sequence = static_cast<std::int64_t>(heartbeat.sequence);
    wire.settingsVersion = static_cast<std::int64_t>(heartbeat.settingsVersion.value());
    wire.storeConfirmedAgeMs = heartbeat.storeConfirmedAge ? std::chrono::ceil<std::chrono::milliseconds>(*heartbeat.storeConfirmedAge).count() : noAge;
    wire.leaving = heartbeat.leaving;
    for (const PoolUpdate& pool : heartbeat.pools)
        wire.pools.push_back(toThrift(pool));
    for (const TargetUpdate& target : heartbeat.targets)
        wire.targets.push_back(toThrift(target));
    for (const MemberUpdate& member : heartbeat.members)
        wire.members.push_back(toThrift(member));
    return wire;
}

Heartbeat fromThrift(const rpc::Heartbeat& wire)
{
    // A larger age could overflow when it is converted to nanoseconds, so it counts as none, which is the safe choice.
    constexpr std::int64_t maxAgeMs = std::chrono::milliseconds(std::chrono::hours(24 * 365)).count();
    Heartbeat heartbeat { .instance = InstanceId { wire.instance },
        .incarnation = Incarnation { countFromThrift(wire.incarnation) },
        .sequence = countFromThrift(wire.sequence),
        .settingsVersion = SettingsVersion { countFromThrift(wire.settingsVersion) },
        .leaving = wire.leaving };
    if (wire.storeConfirmedAgeMs >= 0 && wire.storeConfirmedAgeMs <= maxAgeMs)
        heartbeat.storeConfirmedAge = std::chrono::milliseconds(wire.storeConfirmedAgeMs);
    for (const rpc::PoolNews& pool : wire.pools)
        heartbeat.pools.push_back(fromThrift(pool));
    for (const rpc::TargetNews& target : wire.targets)
        heartbeat.targets.push_back(fromThrift(target));
    for (const rpc::MemberNews& member : wire.members)
        heartbeat.members.push_back(fromThrift(member));
    return heartbeat;
}

} // namespace limpetpond
