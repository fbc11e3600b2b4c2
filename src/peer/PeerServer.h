#pragma once

/// The Thrift listener of an instance, for other instances and for operators.

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
    Endpoint listen; ///< Port 0 takes a free one.
    std::chrono::milliseconds idleTimeout { 60'000 }; ///< A connection without a message for so long is closed.
    ByteCount maxMessage { 8LL * 1024 * 1024 };
    int maxConnections { 256 };
};

/// One listener, a thread for each connection. Services are added before the start.
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

    /// Binds and serves; the port. Errors: InvalidSetting when the address can't be had.
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

/// What the peers' service needs from the daemon.
struct PeerHandlerOptions {
    Secret secret; ///< Not set: every call is refused.
    std::function<std::optional<Heartbeat>(const Heartbeat&)> heartbeat; ///< None when the control thread did not answer in time.
    std::function<Result<rpc::SettingsUpdate>(SettingsVersion after)> fetchSettings; ///< Errors: CallError.
    std::function<void(std::uint64_t)> observeLogicalTime;
    std::function<std::uint64_t()> logicalTime;
};

/// The peers' service. Refusals are `PeerRefused` with the codes `unauthorized`, `timeout` and `unavailable`.
///
///     server.addService(peerServiceName, makePeerProcessor({ .secret = secret, .heartbeat = answer }));
std::shared_ptr<apache::thrift::TProcessor> makePeerProcessor(PeerHandlerOptions);

} // namespace limpetpond
