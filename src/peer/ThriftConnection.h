#pragma once

/// Connections to an instance's Thrift listener: framed transport, compact protocol,
/// one listener for all services, told apart by name.

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

/// The service names on the wire.
inline constexpr const char* peerServiceName = "peer";
inline constexpr const char* operatorServiceName = "operator";

struct ThriftLimits {
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds callTimeout { 500 }; ///< Between two pieces of a message.
    ByteCount maxMessage { 8LL * 1024 * 1024 };
};

/// Messages and bytes that went over connections, both ways.
struct ThriftTraffic {
    std::atomic<std::int64_t> messages { 0 };
    std::atomic<std::int64_t> bytes { 0 };
};

/// An open connection and the protocol to make a generated client of.
struct ThriftConnection {
    std::shared_ptr<apache::thrift::transport::TTransport> transport;
    std::shared_ptr<apache::thrift::protocol::TProtocol> protocol; ///< Names the service in each call.
    std::shared_ptr<apache::thrift::transport::TSocket> socket;
};

/// Connects. Errors: CallError NotSent.
///
///     BOOST_LEAF_AUTO(connection, connectThrift({ "127.0.0.1", 9090 }, operatorServiceName, {}));
///     rpc::OperatorServiceClient client(connection.protocol);
Result<ThriftConnection> connectThrift(const Endpoint&, const std::string& service, const ThriftLimits&, ThriftTraffic* = nullptr);

namespace detail {

    /// Wraps a transport, counting its bytes and flushed messages. `traffic` may be null.
    std::shared_ptr<apache::thrift::transport::TTransport> countedTransport(std::shared_ptr<apache::thrift::transport::TTransport>, ThriftTraffic* traffic);

} // namespace detail

} // namespace limpetpond
