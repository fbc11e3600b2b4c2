#pragma once

/// Accepts callers' requests, admits or refuses them, dispatches them to targets and passes the answers back.
///
/// The decisions are made by functions of core/. Everything runs in one event loop on one thread.

#include "core/AccountQuota.h"
#include "core/QuotaShare.h"
#include "core/RouteIndex.h"
#include "gateway/CrashChecks.h"
#include "gateway/Exchange.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/PeerUpdates.h"
#include "gateway/Pools.h"
#include "gateway/RateLimitedLog.h"
#include "gateway/Rollouts.h"
#include "platform/BootSettings.h"
#include "traffic/HttpServerConnection.h"
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace limpetpond {

inline constexpr Duration retryAfterShutdown = std::chrono::milliseconds(100); ///< The next connection reaches another instance.

/// A change of a row of suspected prompt parts.
struct PoolRowChange {
    PoolSuspect suspect;
    bool isCleared { false }; ///< The row is to be deleted.
};

class Gateway final : public RequestHandler, public ExchangeOwner {
public:
    Gateway(boost::asio::io_context&, const Clock&, const platform::BootSettings&, RateLimitedLog&);

    /// Applies settings of a higher version than the ones in force; ignores others. True where they were applied.
    bool applySettings(ServingSettings);

    /// The settings in force; null before the first ones are applied.
    const std::shared_ptr<const IndexedSettings>& settings() const { return m_settings; }

    Pools& pools() { return m_pools; }
    Rollouts& rollouts() { return m_rollouts; }
    const Rollouts& rollouts() const { return m_rollouts; }
    GatewayMetrics& metrics() { return m_metrics; }
    std::string metricsText() const { return m_metrics.registry.prometheusText(); }

    /// Dispatches waiting requests after the targets have changed.
    void onTargetsChanged();

    /// Sets the number of peers whose addresses are known at the start. If it is above 0, others may already use the quotas.
    void expectPeers(int count) { m_quotaFleet.expectedPeers = count; }
    /// Counts the other instances that the store lists among those that share the quotas.
    void applyListedInstances(const std::vector<InstanceId>&);
    void applyPeerUpdate(const InstanceUpdate&);
    void removePeer(const InstanceId&);
    /// Sets how often instances send each other updates.
    void setUpdateInterval(Duration interval) { m_updateInterval = interval; }

    /// The update for peers. The caller sets the version of the targets.
    InstanceUpdate ownUpdate(ReportScope);

    /// Changes of the rows of suspected prompt parts in the store; each is returned once.
    std::vector<PoolRowChange> takeSuspectRowChanges();
    /// Applies a row that was read from the store.
    void applyStoredSuspect(const PoolSuspect&);
    /// Records which rows the store holds, by their keys, after it was restored: those that it has lost are written again.
    void recordStoredSuspects(const std::set<std::string>& keys);

    /// Whether requests wait for a target here or, by the last updates, at a peer.
    bool areRequestsWaiting() const { return m_pools.areRequestsWaiting(); }

    /// Enforces deadlines and timeouts and closes idle connections. Call it every few tens of milliseconds.
    void tick();

    /// From now on answers carry `Connection: close`.
    void beginShutdown() { m_isShuttingDown = true; }
    /// From now on requests that arrive are refused.
    void stopAcceptingRequests() { m_acceptsRequests = false; }
    /// Answers all requests in progress at once, as the instance is about to end.
    void endRequests();
    std::size_t exchangesInProgress() const { return m_exchanges.size(); }
    /// True while a request is in progress or has arrived in part, or a caller hasn't taken all of an answer.
    bool hasUnfinishedRequests() const;
    /// Callers that have not sent all of a request, or not taken all of an answer.
    std::size_t unfinishedCallers() const;

    void addConnection(const std::shared_ptr<HttpServerConnection>&);
    std::size_t callerConnections() const { return m_connections.size(); }
    /// Closes up to so many connections that are idle, the longest idle ones first. Returns how many it closed.
    std::size_t closeIdleConnections(std::size_t count);

    CallerLimits callerLimits() const override;
    std::shared_ptr<BufferAccount> requestBodies() const override { return m_requestBodies; }
    std::shared_ptr<BufferAccount> unwrittenAnswers() const override { return m_unwrittenAnswers; }
    void refuseStalledBodies() override;
    std::string refuseBody(const ReceivedRequest&) override;
    void onRequest(const std::shared_ptr<HttpServerConnection>&, ReceivedRequest&&) override;
    void onCallerDisconnected(HttpServerConnection&, const boost::system::error_code&) override;
    void onCallerTimedOut(const TimedOutCaller&) override;
    void onAnswerLost(const LostAnswer&) override;
    void onWriteBufferEmpty(HttpServerConnection&) override;
    void onConnectionClosed(HttpServerConnection&) override;

private:
    void onAnswerHead(const Exchange&, const Attempt&, const HttpAnswerHead&) override;
    void onAttemptEnd(Exchange&, AttemptEnd) override;
    bool keepsCallerConnections() const override { return !m_isShuttingDown; }
    const std::shared_ptr<BufferAccount>& answerBuffers() const override { return m_answerBuffers; }
    const std::shared_ptr<BufferAccount>& unwrittenBuffers() const override { return m_unwrittenAnswers; }
    bool mayReadMore(const Exchange&) const override;
    /// Closes the connections of callers that take nothing of their answers, those with the most memory first, until the other answers have room.
    void closeStalledCallers(SteadyTime now);
    /// Ends the attempts with the largest answers: sound ones are small.
    void onAnswerBuffersExceeded() override;

    struct Refusal {
        int status { 503 };
        std::string_view reason;
        std::optional<Duration> retryAfter;
    };
    /// Why a request has no answer to pass on.
    struct RequestFailure {
        std::string_view reason;
        bool timedOut { false };
        bool isQuarantined { false }; ///< One of its prompt parts is.
        std::optional<Duration> retryAfter; ///< If it has not run; none for the time that the queue needs.
    };
    std::optional<Refusal> readFacts(const ReceivedRequest&, RequestFacts&);
    std::optional<Refusal> checkAccount(const ReceivedRequest&, RequestFacts&);
    void answerRefusal(HttpServerConnection&, const ReceivedRequest&, std::string_view requestId, const Refusal&);
    void admitOrRefuse(const std::shared_ptr<Exchange>&);
    /// Refuses the requests that wait for a pool whose targets all leave, or are paused for longer than they may wait.
    void refuseUnsendable(PoolState&, SteadyTime now);
    /// Refuses the waiting requests of a pool that this instance may not use, but for those with a part of an answer.
    void refuseHeld(PoolState&);
    RankedRequest waitingRequest(const Exchange&) const;
    TargetSelectionInput targetSelectionInput(const PoolState&, const Exchange&, const std::vector<TargetId>* avoid, SteadyTime now) const;
    std::optional<std::size_t> chooseTarget(const PoolState&, Exchange&, SteadyTime now) const;

    /// A prompt part and the pool that has quarantined it.
    struct QuarantinedPart {
        PoolState* pool { nullptr };
        PromptPart part;
    };
    /// The part that keeps the request from being sent to the pool's targets.
    std::optional<QuarantinedPart> findQuarantinedPart(PoolState&, const RequestFacts&);
    /// The time until the request may be sent, if one of its prompt parts is quarantined and no trial is due.
    std::optional<Duration> quarantineTime(PoolState&, const RequestFacts&, SteadyTime now);
    void refuseQuarantined(Exchange&, Duration quarantineTime);
    /// Whether the request may be sent although one of its prompt parts may be the one that crashes the pool's targets.
    ProbePermission probePermissionOf(PoolState&, const RequestFacts&, SteadyTime now);
    /// Like `chooseTarget()`, for a request that may only be sent to one target.
    std::optional<std::size_t> chooseProbeTarget(const PoolState&, const Exchange&, int position, SteadyTime now) const;
    /// The waiting requests to examine for a dispatch, in the order in which they are tried.
    std::vector<WaitTicket> dispatchCandidates(PoolState&, SteadyTime now);
    /// Learns from the end of an attempt whether the request's prompt parts crash targets.
    void recordPromptOutcome(const Exchange&, const Attempt&, AttemptEnd, SteadyTime now);
    void onTargetCrash(const LostTarget&, const std::vector<PromptParts>& suspects);
    void checkQuarantines(PoolState&, SteadyTime now);
    /// Records whether the target leaves or asks for a pause.
    void recordNotices(const Exchange&, const Attempt&, const HttpAnswerHead&);
    void logRateLimit(const TargetId&, std::optional<double> perSecond, std::string_view request);
    PoolState* findPool(std::uint32_t hash);

    int instances() const { return m_pools.peers() + 1; }
    void dispatchWaiting(PoolState&);
    void dispatch(PoolState&, std::size_t index, Exchange&, SteadyTime now);
    /// Removes the attempt in progress from the target's counts; the end is empty for an abandoned attempt.
    void releaseAttempt(Exchange&, std::optional<AttemptEnd>);
    void logAttemptEnd(const Exchange&, AttemptEnd, SteadyTime now);
    /// Whether the request's time, its kind and its route allow a retry after a send with this progress.
    bool mayRetryExchange(const Exchange&, SendProgress, SteadyTime now) const;
    /// Enqueues the request again where a retry is allowed.
    bool tryRetry(Exchange&, AttemptEnd);
    bool isStalled(const Exchange&, SteadyTime now) const;
    /// Gives up an attempt that is stalled, if nothing of an answer would be lost; otherwise it goes on until a further target has a
    /// free slot.
    void checkStalled(Exchange&, SteadyTime now);
    /// Sends requests with stalled attempts to further targets that have free slots.
    void replaceStalledAttempts(PoolState&, SteadyTime now);
    /// Gives up the request's stalled attempt for one at another target; false where the attempt is kept.
    bool giveUpStalledAttempt(PoolState&, Exchange&, SteadyTime now);
    /// Answers with an error status, or cuts off an answer that has begun.
    void finishWithFailure(Exchange&, const RequestFailure&);
    Duration timeToReturn(const PoolState&, int rank, SteadyTime now);
    void finish(Exchange&);

    /// Applies the share of the quotas that this instance and those that it hears may use now.
    void applyQuotaShare(SteadyTime now);

    std::vector<std::shared_ptr<HttpServerConnection>> openConnections() const;
    void checkWaiting(SteadyTime now);
    void checkInProgress(SteadyTime now);
    void checkAttempt(Exchange&, SteadyTime now);

    const Clock& m_clock;
    const platform::BootSettings& m_boot;
    RateLimitedLog& m_log;
    GatewayMetrics m_metrics;
    Pools m_pools;
    CrashChecks m_crashChecks;
    std::shared_ptr<BufferAccount> m_answerBuffers;
    std::shared_ptr<BufferAccount> m_requestBodies;
    std::shared_ptr<BufferAccount> m_unwrittenAnswers;
    std::shared_ptr<const IndexedSettings> m_settings;
    std::map<ClientAccountId, AccountQuota> m_quotas;
    std::unordered_map<std::uint32_t, AccountQuota*> m_quotaByHash; ///< Of the accounts in the settings, by `shortHash` of the id; elements of `m_quotas`.
    QuotaFleet m_quotaFleet;
    std::optional<SteadyTime> m_quotaReducedAt; ///< Since when the share is below 1.
    PeerNumbers m_peerNumbers;
    std::unordered_map<WaitTicket, std::shared_ptr<Exchange>> m_exchanges;
    std::unordered_map<const HttpServerConnection*, WaitTicket> m_ticketByCaller;
    std::unordered_map<const HttpServerConnection*, std::weak_ptr<HttpServerConnection>> m_connections;
    std::mt19937_64 m_random;
    WaitTicket m_lastTicket { 0 };
    std::uint64_t m_incarnation { 0 };
    Rollouts m_rollouts;
    Duration m_updateInterval { std::chrono::milliseconds(100) };
    bool m_isShuttingDown { false };
    bool m_acceptsRequests { true };
    SteadyTime m_idleCheckedAt;
};

} // namespace limpetpond
