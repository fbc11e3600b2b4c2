#pragma once

/// Runs one seed: overlapping faults under load, then a phase without faults in which everything must work again.

#include "test/faultsoak/Fleet.h"
#include "test/faultsoak/OutcomeChecker.h"
#include <string>
#include <vector>

namespace limpetpond::faultsoak {

/// What to run, for how long faults are injected, and the load.
struct RunOptions {
    FleetOptions fleet;
    std::chrono::milliseconds faultTime { 7000 };
    int callersPerGateway { 4 };
};

struct RunResult {
    Counts counts;
    int faults { 0 };
    std::vector<Violation> violations;
};

/// Runs one seed.
///
///     RunResult result = runSeed({ .fleet = { .seed = 7 } });
RunResult runSeed(const RunOptions&);

} // namespace limpetpond::faultsoak
