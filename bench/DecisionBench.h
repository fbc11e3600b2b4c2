#pragma once

/// Times `decide` and counts what it allocates.

namespace limpetpond::bench {

/// Prints the times of decisions with 100 targets and 1,000 waiting requests; 1 where the bound is not met.
///
///     return runDecisionBench();
int runDecisionBench();

} // namespace limpetpond::bench
