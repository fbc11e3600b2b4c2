#pragma once

/// Options of the gateway's TCP sockets, and what the kernel states about the bytes that were written to them.

#include "core/PeerProgress.h"
#include <boost/asio/ip/tcp.hpp>
#include <optional>

namespace limpetpond {

/// Lets the kernel detect an unreachable peer by keep-alive probes and by a timeout for unacknowledged bytes, and limits the
/// bytes that it holds unsent.
void setLivenessOptions(boost::asio::ip::tcp::socket&);

/// Switches the kernel's timeout for unacknowledged bytes off, since it also ends connections to peers that acknowledge but
/// keep their receive window closed. From now on the process has to look for silent peers, by `transmitFacts()`. True where it
/// did: the kernel is known to state the times that this needs, by earlier calls of `transmitFacts()`.
bool disableUnacknowledgedTimeout(boost::asio::ip::tcp::socket&);

/// What the kernel states about the bytes that were written; nothing if it doesn't tell.
std::optional<TransmitFacts> transmitFacts(boost::asio::ip::tcp::socket&);

/// The bytes that were written and that the peer hasn't acknowledged.
std::size_t queuedBytes(boost::asio::ip::tcp::socket&);

/// Closes the socket and drops what the peer hasn't taken, which the kernel would otherwise keep for minutes.
void closeWithReset(boost::asio::ip::tcp::socket&);

} // namespace limpetpond
