#pragma once

/// One run of a routing policy over the decision core on a fake clock: entry instances that
/// exchange news with a delay, engine fakes with lagging reports and gappy cache events.

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
    SlowEngine, ///< One engine at a quarter of its speed.
    DomainLost, ///< The engines of one of three failure domains go down.
    Cleaning, ///< Engines leave one after another, are emptied, and return cold.
    InstanceRestart, ///< One entry instance restarts with no knowledge.
};

struct RunOptions {
    std::string policy { "limpetpond" }; ///< As in the settings, or `oracle`.
    Mix mix;
    std::vector<Phase> phases;
    Fault fault { Fault::None };
    Duration faultAt { std::chrono::seconds(20) };
    bool clientsRetry { false }; ///< Callers that were shed come back when told to, up to three times.
    int onlyTier { -1 };
    int instances { 4 };
    std::uint64_t seed { 1 };
};

/// Counts of times in buckets of a twelfth of a doubling.
struct TimeHistogram {
    static constexpr std::size_t size = 320;
    std::array<std::uint64_t, size> buckets {};
    std::uint64_t count { 0 };
};

/// Adds a time; reads a quantile in seconds, 0 without samples.
///
///     add(histogram, std::chrono::milliseconds(40));
///     double p95 = quantile(histogram, 0.95);
void add(TimeHistogram&, Duration);
double quantile(const TimeHistogram&, double share);

struct TierResult {
    int arrived { 0 };
    int useful { 0 }; ///< Completed while of use.
    int late { 0 };
    int shed { 0 };
    int failed { 0 }; ///< Cancelled, lost or refused by a target.
    TimeHistogram firstToken; ///< From the arrival, of answers that were completed.
    TimeHistogram betweenTokens;
};

struct RunResult {
    std::array<TierResult, tierCount> tiers;
    std::int64_t computedPrefill { 0 }; ///< Tokens.
    std::int64_t repeatedPrefill { 0 }; ///< Tokens of blocks that some engine had computed before.
    std::int64_t discardedPrefill { 0 }; ///< Tokens computed for requests that were cancelled or lost.
    int inversions { 0 }; ///< Requests shed while a lower tier's request was in progress.
    std::uint64_t decisions { 0 };
};

/// The part of a mix's capacity that is lost with one failure domain.
///
///     double share = lostShare(tortugaMix());
double lostShare(const Mix&);

/// Runs to the end of the last answer; the same options give the same result.
///
///     RunResult result = runPolicy({ .mix = rodopaMix(), .phases = { { std::chrono::seconds(30), 0.6 } } });
///     result.tiers[2].useful;
RunResult runPolicy(const RunOptions&);

} // namespace limpetpond::bench
