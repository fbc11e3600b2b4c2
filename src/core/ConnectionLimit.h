#pragma once

/// Divides the descriptors of an instance, so that callers can't use up those for targets, peers and the store.
///
/// Load pattern: the callers of a whole deployment reach the one instance that is left, each on a connection that it keeps.

#include <cstddef>

namespace limpetpond {

/// How many connections of callers an instance with so many descriptors keeps open.
///
///     std::size_t limit = callerConnectionLimit(boot.maxDescriptors);
std::size_t callerConnectionLimit(std::size_t maxDescriptors);

/// How many idle connections to close before another one is accepted; 0 below the limit. Some more than one, so that a
/// series of new connections needs few searches.
///
///     gateway.closeIdleConnections(idleConnectionsToClose(open, limit));
std::size_t idleConnectionsToClose(std::size_t open, std::size_t limit);

} // namespace limpetpond
