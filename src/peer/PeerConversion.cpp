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
        constexpr auto most = static_cast<std::uint32_t>(std::numeric_limits<std::int32_t>::max());
        return static_cast<std::int32_t>(std::min(tier.level, most));
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

    rpc::PoolNews toThrift(const PoolUpdate& news)
    {
        rpc::PoolNews wire;
        wire.pool = news.pool.value();
        wire.floorLevel = tierToThrift(news.floor);
        wire.wantedFloorLevel = tierToThrift(news.wantedFloor);
        wire.lowestServedLevel = news.lowestServed ? tierToThrift(*news.lowestServed) : noTier;
        for (TokenCount tokens : news.waitingTokensByTier)
            wire.waitingTokensByTier.push_back(tokens.count());
        return wire;
    }

    PoolUpdate fromThrift(const rpc::PoolNews& wire)
    {
        PoolUpdate news { .pool = PoolId { wire.pool },
            .floor = tierFromThrift(wire.floorLevel),
            .wantedFloor = tierFromThrift(wire.wantedFloorLevel) };
        if (wire.lowestServedLevel >= 0)
            news.lowestServed = tierFromThrift(wire.lowestServedLevel);
        for (std::int64_t tokens : wire.waitingTokensByTier)
            news.waitingTokensByTier.emplace_back(std::max<std::int64_t>(tokens, 0));
        return news;
    }

    rpc::TargetNews toThrift(const TargetUpdate& news)
    {
        rpc::TargetNews wire;
        wire.target = news.target.value();
        wire.tokensInProgress = news.tokensInProgress.count();
        wire.requestsInProgress = news.requestsInProgress;
        wire.leavingMarkVersion = static_cast<std::int64_t>(news.leavingMarkVersion.value());
        return wire;
    }

    TargetUpdate fromThrift(const rpc::TargetNews& wire)
    {
        return { .target = TargetId { wire.target },
            .tokensInProgress = TokenCount { std::max<std::int64_t>(wire.tokensInProgress, 0) },
            .requestsInProgress = std::max(wire.requestsInProgress, 0),
            .leavingMarkVersion = SettingsVersion { countFromThrift(wire.leavingMarkVersion) } };
    }

    rpc::MemberNews toThrift(const MemberUpdate& news)
    {
        rpc::MemberNews wire;
        wire.instance = news.instance.value();
        wire.incarnation = static_cast<std::int64_t>(news.incarnation.value());
        wire.state = static_cast<std::int32_t>(news.state);
        wire.sequence = static_cast<std::int64_t>(news.sequence);
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

rpc::Heartbeat toThrift(const Heartbeat& news)
{
    rpc::Heartbeat wire;
    wire.instance = news.instance.value();
    wire.incarnation = static_cast<std::int64_t>(news.incarnation.value());
    wire.sequence = static_cast<std::int64_t>(news.sequence);
    wire.settingsVersion = static_cast<std::int64_t>(news.settingsVersion.value());
    wire.storeConfirmedAgeMs = news.storeConfirmedAge ? std::chrono::ceil<std::chrono::milliseconds>(*news.storeConfirmedAge).count() : noAge;
    wire.leaving = news.leaving;
    for (const PoolUpdate& pool : news.pools)
        wire.pools.push_back(toThrift(pool));
    for (const TargetUpdate& target : news.targets)
        wire.targets.push_back(toThrift(target));
    for (const MemberUpdate& member : news.members)
        wire.members.push_back(toThrift(member));
    return wire;
}

Heartbeat fromThrift(const rpc::Heartbeat& wire)
{
    // An age beyond this would overflow in nanoseconds; none is the safe reading.
    constexpr std::int64_t mostAgeMs = std::chrono::milliseconds(std::chrono::hours(24 * 365)).count();
    Heartbeat news { .instance = InstanceId { wire.instance },
        .incarnation = Incarnation { countFromThrift(wire.incarnation) },
        .sequence = countFromThrift(wire.sequence),
        .settingsVersion = SettingsVersion { countFromThrift(wire.settingsVersion) },
        .leaving = wire.leaving };
    if (wire.storeConfirmedAgeMs >= 0 && wire.storeConfirmedAgeMs <= mostAgeMs)
        news.storeConfirmedAge = std::chrono::milliseconds(wire.storeConfirmedAgeMs);
    for (const rpc::PoolNews& pool : wire.pools)
        news.pools.push_back(fromThrift(pool));
    for (const rpc::TargetNews& target : wire.targets)
        news.targets.push_back(fromThrift(target));
    for (const rpc::MemberNews& member : wire.members)
        news.members.push_back(fromThrift(member));
    return news;
}

} // namespace limpetpond
