#pragma once

/// Clock and quantiles for the benchmarks.

#include <vector>

namespace limpetpond::bench {

/// Processor time of the calling thread, in microseconds. Excludes time in which the thread didn't run.
///
///     double start = processorMicroseconds();
///     double used = processorMicroseconds() - start;
double processorMicroseconds();

/// The quantile of the values for a share from 0 to 1. Sorts the values, which must not be empty.
///
///     double p99 = quantileOf(microseconds, 0.99);
double quantileOf(std::vector<double>& values, double share);

} // namespace limpetpond::bench
