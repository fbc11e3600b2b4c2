#pragma once

/// Counts the heap allocations of the whole program.

#include <cstdint>

namespace limpetpond::bench {

/// Calls of `operator new` since the start.
///
///     std::uint64_t before = allocationsSoFar();
std::uint64_t allocationsSoFar();

/// Bytes allocated by `operator new` and not yet freed, as the usable size of each block.
///
///     std::int64_t before = bytesHeld();
std::int64_t bytesHeld();

} // namespace limpetpond::bench
