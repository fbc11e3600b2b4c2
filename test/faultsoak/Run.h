#pragma once

/// One seed: a time of overlapping faults under load, then a calm time in which everything must work again.

#include "test/faultsoak/Fleet.h"
#include "test/faultsoak/OutcomeChecker.h"
#include <string>
#include <vector>

namespace limpetpond::faultsoak {

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

/// Plays one seed.
///
///     RunResult result = runSeed({ .fleet = { .seed = 7 } });
RunResult runSeed(const RunOptions&);

} // namespace limpetpond::faultsoak
