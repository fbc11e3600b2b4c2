#pragma once

/// The plain structs that hold a pool's state at one instance.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Settings.h"
#include "limpetpond/Units.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace limpetpond {

/// A request as the queue holds it.
struct QueuedRequest {
    RequestId request;
    ClientAccountId account;
    TierLevel tier;
    TokenCount promptTokens; ///< An estimate; 0 for a plain service.
    TokenCount answerTokens; ///< An estimate; 0 for a plain service.
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's blocks, first block first.
    std::optional<SteadyTime> deadline;
    SteadyTime arrivedAt;
    int dispatchesSoFar { 0 };
    std::optional<TargetId> excludedTarget; ///< Failed this request before; taken only where no other is left.
    bool cancellable { true }; ///< False for non-idempotent calls: they are never cancelled once dispatched.
};

namespace detail {

    struct RunningRequest {
        QueuedRequest queued;
        TargetId target;
        SteadyTime dispatchedAt;
        bool started { false };
        bool cancelling { false };
    };

    struct PeerState {
        bool heard { false };
        PoolNews news;
        std::map<TargetId, TargetNews> targets;
        std::optional<SteadyTime> confirmedAt;
    };

} // namespace detail

/// The state of one pool at one instance. Only the functions of `core/Scheduler.h` change it.
struct PoolScheduler {
    PoolId pool;
    InstanceId instance;
    std::uint64_t seed { 0 };
    PoolSettings settings;
    std::map<TargetId, TargetSettings> targets;
    std::map<TierLevel, std::deque<QueuedRequest>, std::greater<>> waiting;
    std::map<RequestId, detail::RunningRequest> running;
    std::map<InstanceId, detail::PeerState> peers;
};

} // namespace limpetpond
