#pragma once

/// Counts the allocations of the whole program.

#include <cstdint>

namespace limpetpond::bench {

/// Calls of `operator new` since the start.
///
///     std::uint64_t before = allocationsSoFar();
std::uint64_t allocationsSoFar();

/// Bytes asked of `operator new` since the start, less those of blocks that were given back.
///
///     std::int64_t before = bytesHeld();
std::int64_t bytesHeld();

} // namespace limpetpond::bench
