#pragma once

/// Measures how state, messages and processor time of each role grow, and what they come to at the
/// size that the design is made for.

namespace limpetpond::bench {

/// Prints for each role the measured points, the fitted line with its residual, and the value at the large size; 0.
///
///     return runSlopesBench();
int runSlopesBench();

} // namespace limpetpond::bench
