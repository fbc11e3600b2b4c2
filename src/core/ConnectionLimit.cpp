#include "core/ConnectionLimit.h"

#include <algorithm>

namespace limpetpond {

namespace {

    constexpr std::size_t reserved = 264; ///< For files, listeners, the store, peers and metrics.
    constexpr std::size_t callersPerFour = 3; ///< Of four remaining descriptors; the fourth is for targets.
    constexpr std::size_t minLimit = 16;
    constexpr std::size_t closedPart = 20; ///< This part of the limit is closed at once.

} // namespace

std::size_t callerConnectionLimit(std::size_t maxDescriptors)
{
    std::size_t shared = maxDescriptors - std::min(maxDescriptors, reserved);
    return std::max(shared / 4 * callersPerFour, minLimit);
}

std::size_t idleConnectionsToClose(std::size_t open, std::size_t limit)
{
    return open < limit ? 0 : open - limit + std::max<std::size_t>(limit / closedPart, 1);
}

} // namespace limpetpond
