#pragma once

/// Generated requests of a benchmark: open loop, with bursts, lengths that vary by a factor of 100, shared prefixes,
/// a skewed distribution over accounts and three tiers.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <string>
#include <vector>

namespace limpetpond::bench {

constexpr int tierCount = 3;

/// A deployment and the distribution of its requests.
struct Mix {
    std::string name;
    int engines { 20 };
    int documents { 300 }; ///< Number of shared prefixes, with a Zipf distribution of use.
    int shortestDocument { 100 }; ///< Tokens.
    int longestDocument { 1'200 };
    int shortestQuestion { 30 }; ///< Tokens after the shared prefix.
    int longestQuestion { 3'000 };
    int shortestAnswer { 15 };
    int longestAnswer { 500 };
    double documentShare { 0.7 }; ///< Share of requests that start with a shared prefix.
};

/// Many short questions and answers on 20 engines.
///
///     Mix mix = tortugaMix();
Mix tortugaMix();

/// Repeated questions about the same long movement logs, on 10 engines.
///
///     Mix mix = rodopaMix();
Mix rodopaMix();

/// A part of a run with a constant arrival rate.
struct Phase {
    Duration length { 0 };
    double load { 0.6 }; ///< Arrival rate as a share of the engines' capacity.
};

struct Arrival {
    Duration at { 0 };
    int tier { 0 }; ///< 0 is the lowest.
    int account { 0 };
    int promptTokens { 0 };
    int answerTokens { 0 };
    int estimatedAnswer { 0 }; ///< Tokens.
    std::vector<std::uint64_t> blocks;
    Duration usefulFor { 0 }; ///< Time from the arrival until the answer expires.
};

/// Requests per second that the engines can complete when half of the shared prefixes are cached.
///
///     double rate = capacityOf(rodopaMix(), 10);
double capacityOf(const Mix&, double totalSpeed);

/// The arrivals of one run, sorted by time. `onlyTier` selects one tier; -1 selects all.
///
///     std::vector<Arrival> arrivals = makeArrivals(mix, phases, capacity, 1, -1);
std::vector<Arrival> makeArrivals(const Mix&, const std::vector<Phase>&, double capacity, std::uint64_t seed, int onlyTier);

} // namespace limpetpond::bench
