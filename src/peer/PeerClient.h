#pragma once

/// Calls to other instances over pooled Thrift connections.

#include "base/ProcessSettings.h"
#include "core/Messages.h"
#include "gen/PeerService.h"
#include "peer/ThriftConnection.h"
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace limpetpond {

/// The addresses of the other instances. Thread-safe.
class PeerDirectory {
public:
    void replace(std::map<InstanceId, Endpoint>);
    std::optional<Endpoint> find(const InstanceId&) const;

private:
    mutable std::mutex m_mutex;
    std::map<InstanceId, Endpoint> m_endpoints;
};

struct PeerClientOptions {
    Secret secret;
    ThriftLimits limits;
};

/// A thread-safe client of all peers.
///
///     PeerClient client({ .secret = secret }, directory);
///     Result<rpc::Heartbeat> answer = client.heartbeat(peer, toThrift(update));
class PeerClient {
public:
    PeerClient(PeerClientOptions, const PeerDirectory&);
    ~PeerClient();

    /// Sends a heartbeat and returns the peer's own. Errors: CallError; NotSent also when the directory has no address of the peer.
    Result<rpc::Heartbeat> heartbeat(const InstanceId&, const rpc::Heartbeat&);

    /// Requests the settings after a version. Errors: CallError.
    Result<rpc::SettingsUpdate> fetchSettings(const InstanceId&, SettingsVersion after);

    ThriftTraffic& traffic() { return m_traffic; }

private:
    struct Connection;
    std::unique_ptr<Connection> acquireIdle(const Endpoint&);
    Result<std::unique_ptr<Connection>> open(const Endpoint&);
    void release(std::unique_ptr<Connection>);
    template <typename Call>
    Result<void> call(const InstanceId&, Call&&);

    PeerClientOptions m_options;
    const PeerDirectory& m_directory;
    ThriftTraffic m_traffic;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Connection>> m_idle;
};

} // namespace limpetpond
