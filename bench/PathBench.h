#pragma once

/// Benchmarks of the gateway's own work on each request and each event, without sockets.

namespace limpetpond::bench {

/// Prints requests and events a second of one core: parse, route, decide, write. Returns 0.
///
///     return runPathBench();
int runPathBench();

/// Times `chooseTarget` and a turn of the waiting line with 100 targets and 1,000 waiting requests; returns 0 where
/// the 99th percentile of a decision is under its bound.
///
///     return runPlacementBench();
int runPlacementBench();

} // namespace limpetpond::bench
