#pragma once

/// The gateway: takes callers' requests, decides by the core's functions and carries the decisions out.
///
/// Everything runs in one event loop on one thread.

#include "core/AccountQuota.h"
#include "core/RouteIndex.h"
#include "gateway/EventLog.h"
#include "gateway/Exchange.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/PeerNews.h"
#include "gateway/Pools.h"
#include "platform/BootSettings.h"
#include "traffic/HttpServerConnection.h"
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace limpetpond {

class Gateway final : public RequestHandler, public ExchangeOwner {
public:
    Gateway(boost::asio::io_context&, const Clock&, const platform::BootSettings&, EventLog&);

    /// Takes over settings of a higher version; lower ones are ignored. Tells whether they are in force now.
    bool applySettings(ServingSettings);

    /// The settings in force; null before any.
    const std::shared_ptr<const SettingsInForce>& settings() const { return m_settings; }

    Pools& pools() { return m_pools; }
    GatewayMetrics& metrics() { return m_metrics; }
    std::string metricsText() const { return m_metrics.registry.prometheusText(); }

    /// Looks for waiting requests that can be sent, after a change of the targets.
    void targetsChanged();

    void takePeerNews(const InstanceNews&);
    void peerSilent(const InstanceId&);
    void setNewsInterval(Duration interval) { m_newsInterval = interval; }

    /// What peers are told; the sequence is the sender's to set.
    InstanceNews news() const;

    /// Deadlines, time-outs and idle connections. To be called every few tens of milliseconds.
    void tick();

    /// From now on answers ask callers to close their connections.
    void beginShutdown() { m_isShuttingDown = true; }
    /// From now on idle connections are closed and requests that still come are turned away.
    void stopTakingRequests();
    std::size_t exchangesInProgress() const { return m_exchanges.size(); }
    /// True while a caller still waits for an answer or for its last bytes.
    bool owesAnswers() const;

    void addConnection(const std::shared_ptr<HttpServerConnection>&);

    CallerLimits callerLimits() const override;
    void onRequest(const std::shared_ptr<HttpServerConnection>&, ReceivedRequest&&) override;
    void onCallerDisconnected(HttpServerConnection&) override;
    void onWriteBufferEmpty(HttpServerConnection&) override;
    void onConnectionClosed(HttpServerConnection&) override;

private:
    void onAttemptEnd(Exchange&, AttemptEnd) override;
    bool keepsCallerConnections() const override { return !m_isShuttingDown; }

    struct Refusal {
        int status { 503 };
        std::string_view reason;
        std::optional<Duration> retryAfter;
    };
    std::optional<Refusal> readFacts(const ReceivedRequest&, RequestFacts&);
    std::optional<Refusal> checkAccount(const ReceivedRequest&, RequestFacts&);
    void answerRefusal(HttpServerConnection&, const ReceivedRequest&, std::string_view requestId, const Refusal&);
    void admitOrRefuse(const std::shared_ptr<Exchange>&);
    WaitingRequest waitingRequest(const Exchange&) const;
    PlacementCase placementCase(const PoolState&, const Exchange&, bool avoidsTried, SteadyTime now) const;
    std::optional<std::size_t> placeFor(const PoolState&, Exchange&, SteadyTime now) const;

    int instances() const { return m_pools.peers() + 1; }
    void pump(PoolState&);
    void sendTo(PoolState&, std::size_t place, Exchange&, SteadyTime now);
    void releaseAttempt(Exchange&, std::optional<AttemptEnd>);
    bool trySendAgain(Exchange&, AttemptEnd);
    void finishWithFailure(Exchange&, bool timedOut, std::string_view reason);
    void finish(Exchange&);

    std::vector<std::shared_ptr<HttpServerConnection>> openConnections() const;
    void checkWaiting(SteadyTime now);
    void checkInProgress(SteadyTime now);
    void checkAttempt(Exchange&, SteadyTime now);

    const Clock& m_clock;
    const platform::BootSettings& m_boot;
    EventLog& m_log;
    GatewayMetrics m_metrics;
    Pools m_pools;
    std::shared_ptr<const SettingsInForce> m_settings;
    std::map<ClientAccountId, AccountQuota> m_quotas;
    std::unordered_map<std::uint32_t, ClientAccountId> m_accountOfHash;
    std::unordered_map<WaitTicket, std::shared_ptr<Exchange>> m_exchanges;
    std::unordered_map<const HttpServerConnection*, WaitTicket> m_exchangeOf;
    std::unordered_map<const HttpServerConnection*, std::weak_ptr<HttpServerConnection>> m_connections;
    std::mt19937_64 m_random;
    WaitTicket m_lastTicket { 0 };
    std::uint64_t m_incarnation { 0 };
    Duration m_newsInterval { std::chrono::milliseconds(100) };
    bool m_isShuttingDown { false };
    bool m_takesRequests { true };
    SteadyTime m_idleCheckedAt;
};

} // namespace limpetpond
