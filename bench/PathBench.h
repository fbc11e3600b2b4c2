#pragma once

/// Benchmarks of the gateway's work on each request and each event, without sockets.

namespace limpetpond::bench {

/// Prints how many requests (parse, route, choose a target, write) and events one core handles per second. Returns 0.
///
///     return runPathBench();
int runPathBench();

/// Prints the durations of `chooseTarget` together with taking a request from the queue, with 100 targets and 1,000
/// waiting requests. Returns 0 if the 99th percentile is under its bound, else 1.
///
///     return runTargetSelectionBench();
int runTargetSelectionBench();

} // namespace limpetpond::bench
