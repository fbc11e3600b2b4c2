#pragma once

/// Runs every routing policy in every scenario and checks the ratios between them against their bounds.

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

/// The number of runs that the options select; 0 if no mix or scenario has the given name.
///
///     if (!countRuns(options)) return usageError;
std::size_t countRuns(const PolicyBenchOptions&);

/// Prints the medians, and each ratio with its spread and bound. Returns the number of bounds that are not met.
///
///     int missed = runPolicyBench({ .seeds = 10 });
///     return missed ? 1 : 0;
int runPolicyBench(const PolicyBenchOptions&);

} // namespace limpetpond::bench
