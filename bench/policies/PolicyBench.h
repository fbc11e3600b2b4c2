#pragma once

/// Runs every policy through every scenario, and computes the ratios that are promised.

#include "bench/policies/PolicyRun.h"
#include <string>
#include <vector>

namespace limpetpond::bench {

struct PolicyBenchOptions {
    int seeds { 10 };
    int threads { 2 };
    std::string mix; ///< Empty for all.
    std::string scenario; ///< Empty for all.
    std::string jsonFile; ///< Empty for none.
    std::string plotFile; ///< A gnuplot script; empty for none.
};

/// The runs that the options ask for; 0 where no mix or scenario has the given name.
///
///     if (!countRuns(options)) return usageError;
std::size_t countRuns(const PolicyBenchOptions&);

/// Prints medians and spreads, and each promised ratio with its bound; returns how many bounds are not met.
///
///     int missed = runPolicyBench({ .seeds = 10 });
///     return missed ? 1 : 0;
int runPolicyBench(const PolicyBenchOptions&);

} // namespace limpetpond::bench
