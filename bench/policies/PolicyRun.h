#pragma once

/// One run of a routing policy in the decision core on a fake clock. Instances exchange updates with a delay; engine
/// fakes send delayed load reports, and some of their cache events are lost.

#include "bench/policies/EngineFake.h"
#include "bench/policies/Workload.h"
#include "limpetpond/Clock.h"
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace limpetpond::bench {

enum class Fault {
    None,
    SlowEngine, ///< One engine runs at a quarter of its speed.
    DomainLost, ///< The engines of one of three failure domains go down.
    Cleaning, ///< Engines are drained one after another and return with an empty cache.
    InstanceRestart, ///< One instance restarts without state.
};

struct RunOptions {
    std::string policy { "limpetpond" }; ///< A policy name of the settings, or `oracle`, which knows the exact state of every engine.
    Mix mix;
    std::vector<Phase> phases;
    Fault fault { Fault::None };
    Duration faultAt { std::chrono::seconds(20) };
    bool clientsRetry { false }; ///< Callers retry a shed request after the advised time, up to three times.
    int onlyTier { -1 }; ///< Makes only the arrivals of this tier; -1 for all tiers.
    int instances { 4 };
    std::uint64_t seed { 1 };
};

/// Counts of durations in buckets whose bounds grow by a factor of 2^(1/12).
struct TimeHistogram {
    static constexpr std::size_t size = 320;
    std::array<std::uint64_t, size> buckets {};
    std::uint64_t count { 0 };
};

/// Adds a duration; returns a quantile in seconds, 0 without samples.
///
///     add(histogram, std::chrono::milliseconds(40));
///     double p95 = quantile(histogram, 0.95);
void add(TimeHistogram&, Duration);
double quantile(const TimeHistogram&, double share);

struct TierResult {
    int arrived { 0 };
    int useful { 0 }; ///< Completed before the answer expired.
    int late { 0 }; ///< Completed after the answer expired.
    int shed { 0 };
    int failed { 0 }; ///< Cancelled, lost or refused by a target.
    TimeHistogram firstToken; ///< From the arrival to the first token, for completed answers.
    TimeHistogram betweenTokens;
};

struct RunResult {
    std::array<TierResult, tierCount> tiers;
    std::int64_t computedPrefill { 0 }; ///< Tokens.
    std::int64_t repeatedPrefill { 0 }; ///< Tokens of blocks that any engine had computed before.
    std::int64_t discardedPrefill { 0 }; ///< Tokens computed for requests that were cancelled or lost.
    int inversions { 0 }; ///< Requests shed while a lower tier's request was in progress.
    std::uint64_t decisions { 0 };
};

/// The share of a mix's capacity that is lost when one failure domain goes down.
///
///     double share = lostCapacityShare(tortugaMix());
double lostCapacityShare(const Mix&);

/// Runs until no event is left. The same options give the same result.
///
///     RunResult result = runPolicy({ .mix = rodopaMix(), .phases = { { std::chrono::seconds(30), 0.6 } } });
///     result.tiers[2].useful;
RunResult runPolicy(const RunOptions&);

} // namespace limpetpond::bench
