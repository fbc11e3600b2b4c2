#pragma once

/// What the benchmarks measure time with.

#include <vector>

namespace limpetpond::bench {

/// Processor time of the calling thread, in microseconds: leaves out the time in which other programs had the processor.
///
///     double start = processorMicroseconds();
///     double used = processorMicroseconds() - start;
double processorMicroseconds();

/// The value below which the share (0 to 1) of the values lies; sorts them.
///
///     double p99 = quantileOf(microseconds, 0.99);
double quantileOf(std::vector<double>& values, double share);

} // namespace limpetpond::bench
