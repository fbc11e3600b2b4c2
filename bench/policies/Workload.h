#pragma once

/// The requests of a measurement: open loop, with bursts, lengths spread a hundredfold,
/// shared prefixes, skewed accounts and three tiers.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <string>
#include <vector>

namespace limpetpond::bench {

constexpr int tierCount = 3;

/// A deployment and the requests that it gets.
struct Mix {
    std::string name;
    int engines { 20 };
    int documents { 300 }; ///< Shared prefixes; a few of them are asked about often.
    int shortestDocument { 100 }; ///< Tokens.
    int longestDocument { 1'200 };
    int shortestQuestion { 30 }; ///< Tokens behind the shared prefix.
    int longestQuestion { 3'000 };
    int shortestAnswer { 15 };
    int longestAnswer { 500 };
    double documentShare { 0.7 }; ///< Requests that start with a shared prefix.
};

/// Many short questions and answers on 20 engines.
///
///     Mix mix = tortugaMix();
Mix tortugaMix();

/// Long movement logs that are asked about again and again, on 10 engines.
///
///     Mix mix = rodopaMix();
Mix rodopaMix();

/// A part of a run with one rate of arrivals.
struct Phase {
    Duration length { 0 };
    double load { 0.6 }; ///< Of the engines' capacity.
};

struct Arrival {
    Duration at { 0 };
    int tier { 0 }; ///< 0 is the lowest.
    int account { 0 };
    int promptTokens { 0 };
    int answerTokens { 0 };
    int estimatedAnswer { 0 };
    std::vector<std::uint64_t> blocks;
    Duration useful { 0 }; ///< After this time an answer is of no use.
};

/// Requests a second that the engines can complete, with half of the shared prefixes cached.
///
///     double rate = capacityOf(rodopaMix(), 10);
double capacityOf(const Mix&, double totalSpeed);

/// The arrivals of one run, in order; `onlyTier` of -1 makes all tiers.
///
///     std::vector<Arrival> arrivals = makeArrivals(mix, phases, capacity, 1, -1);
std::vector<Arrival> makeArrivals(const Mix&, const std::vector<Phase>&, double capacity, std::uint64_t seed, int onlyTier);

} // namespace limpetpond::bench
