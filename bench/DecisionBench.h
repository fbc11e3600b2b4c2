#pragma once

/// Benchmark of the daemon's `decide`: its duration and its heap allocations.

namespace limpetpond::bench {

/// Prints the durations of decisions with 100 targets and 1,000 waiting requests. Returns 0 if the 99th percentile is
/// under its bound, else 1.
///
///     return runDecisionBench();
int runDecisionBench();

} // namespace limpetpond::bench
