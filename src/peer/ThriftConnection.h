#pragma once

/// Connections to the Thrift server of an instance. They use the framed transport and the compact protocol.
/// One listener serves all services, which are distinguished by name.

#include "base/ProcessSettings.h"
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thrift/protocol/TProtocol.h>
#include <thrift/transport/TSocket.h>
#include <thrift/transport/TTransport.h>

namespace limpetpond {

/// The names of the services on the wire.
inline constexpr const char* peerServiceName = "peer";
inline constexpr const char* operatorServiceName = "operator";

struct ThriftLimits {
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds callTimeout { 500 }; ///< The timeout of each socket read and write during a call.
    ByteCount maxMessage { 8LL * 1024 * 1024 };
};

/// Counts of the messages sent and of the bytes sent and received.
struct ThriftTraffic {
    std::atomic<std::int64_t> messages { 0 };
    std::atomic<std::int64_t> bytes { 0 };
};

/// An open connection, with the protocol for a generated client.
struct ThriftConnection {
    std::shared_ptr<apache::thrift::transport::TTransport> transport;
    std::shared_ptr<apache::thrift::protocol::TProtocol> protocol; ///< Adds the service name to each call.
    std::shared_ptr<apache::thrift::transport::TSocket> socket;
};

/// Connects to a service of an instance. Errors: CallError NotSent.
///
///     BOOST_LEAF_AUTO(connection, connectThrift({ "127.0.0.1", 9090 }, operatorServiceName, {}));
///     rpc::OperatorServiceClient client(connection.protocol);
Result<ThriftConnection> connectThrift(const Endpoint&, const std::string& service, const ThriftLimits&, ThriftTraffic* = nullptr);

namespace detail {

    /// Wraps a transport and counts its bytes and flushed messages. Returns the transport itself when `traffic` is null.
    std::shared_ptr<apache::thrift::transport::TTransport> countingTransport(std::shared_ptr<apache::thrift::transport::TTransport>, ThriftTraffic* traffic);

} // namespace detail

} // namespace limpetpond
