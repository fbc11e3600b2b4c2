#pragma once

/// The Thrift server of an instance, for other instances and for operators.

#include "base/ProcessSettings.h"
#include "core/Messages.h"
#include "gen/PeerService.h"
#include "peer/ThriftConnection.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <thrift/TProcessor.h>

namespace apache::thrift {
class TMultiplexedProcessor;
namespace server {
    class TThreadedServer;
}
}

namespace limpetpond {

struct PeerServerOptions {
    Endpoint listen; ///< Port 0 selects a free port.
    std::chrono::milliseconds idleTimeout { 60'000 }; ///< A connection that is idle for longer is closed.
    ByteCount maxMessage { 8LL * 1024 * 1024 };
    int maxConnections { 256 };
};

/// A server with one listener and a thread for each connection. Services must be added before `start`.
///
///     PeerServer server({ .listen = { "127.0.0.1", 9090 } });
///     server.addService(peerServiceName, processor);
class PeerServer {
public:
    explicit PeerServer(PeerServerOptions);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    void addService(const std::string& name, std::shared_ptr<apache::thrift::TProcessor>);

    /// Binds, starts serving and returns the port. Errors: InvalidSetting when the address can't be bound.
    Result<int> start();

    /// Closes all connections and waits for their threads.
    void stop();

    ThriftTraffic& traffic() { return m_traffic; }

private:
    PeerServerOptions m_options;
    ThriftTraffic m_traffic;
    std::shared_ptr<apache::thrift::TMultiplexedProcessor> m_processor;
    std::unique_ptr<apache::thrift::server::TThreadedServer> m_server;
    std::thread m_thread;
};

/// What the peer service needs from the daemon. The functions are called from the connection threads.
struct PeerHandlerOptions {
    Secret secret; ///< If not set, every call is refused.
    std::function<std::optional<Heartbeat>(const Heartbeat&)> heartbeat; ///< No value when the control thread does not answer in time.
    std::function<Result<rpc::SettingsUpdate>(SettingsVersion after)> fetchSettings; ///< Errors: CallError.
    std::function<void(std::uint64_t)> observeLogicalTime;
    std::function<std::uint64_t()> logicalTime;
};

/// Makes the peer service. Refusals are `PeerRefused` with the codes `unauthorized`, `timeout` and `unavailable`.
///
///     server.addService(peerServiceName, makePeerProcessor({ .secret = secret, .heartbeat = answer }));
std::shared_ptr<apache::thrift::TProcessor> makePeerProcessor(PeerHandlerOptions);

} // namespace limpetpond
