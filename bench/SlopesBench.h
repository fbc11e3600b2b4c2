#pragma once

/// Measures how state, messages and processor time of each role grow with the size of the deployment, and extrapolates
/// them to the largest supported size.

namespace limpetpond::bench {

/// Prints for each role the measured points, the linear fit with its residual and the value at the large size. Returns 0.
///
///     return runSlopesBench();
int runSlopesBench();

} // namespace limpetpond::bench
