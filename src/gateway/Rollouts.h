#pragma once

/// The rollouts of all pools as this instance knows them: applies orders, keeps the counts, asks the decision logic of
/// core/ which targets get requests and what comes next, and writes the rows of the store.
///
/// Without `BootSettings::followsRollouts` every call returns at once, and all versions get requests.

#include "core/RolloutEvidence.h"
#include "core/RolloutHolder.h"
#include "core/RolloutShare.h"
#include "core/TargetVersions.h"
#include "gateway/ConditionalWriter.h"
#include "gateway/Exchange.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/PeerUpdates.h"
#include "gateway/Pools.h"
#include "gateway/RateLimitedLog.h"
#include "platform/BootSettings.h"
#include "platform/OperatorDocument.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpetpond {

struct RolloutsOptions {
    InstanceId self;
    std::uint64_t incarnation { 0 };
    boost::asio::ip::tcp::endpoint store;
    bool isEnabled { false };
    RolloutLimits limits;
};

class Rollouts {
public:
    Rollouts(boost::asio::io_context&, const Clock&, Pools&, GatewayMetrics&, RateLimitedLog&, RolloutsOptions);

    /// Applies a row of the operator's table that holds an order. Only for a row that was just changed is it known when the order was given.
    void applyOrderRow(const platform::Row&, StoreEpoch, bool wasJustChanged, const ServingSettings&);

    /// Whether the row with the key in the table of instances holds a rollout or the versions of a pool's targets.
    static bool isOwnRow(std::string_view key);

    /// Applies a whole read of the table of instances; other rows are ignored. Known final states and versions that the store
    /// has lost are written again.
    void applyStoredRows(const std::vector<platform::Row>&);

    /// Marks all rows as unknown: a store that was restored from a copy may hold others than those that were read.
    void onStoreRestored();

    /// Whether the versions of targets are known, so that requests can be sent.
    bool isReady() const { return !m_options.isEnabled || m_hasReadRows; }

    void applyPeerUpdate(const InstanceUpdate&);
    void addReports(InstanceUpdate&, ReportScope) const;

    /// Applies changed entries of targets. Call it before requests are sent.
    void onTargetsChanged();

    /// Whether requests may be sent to the pool at all.
    bool mayUsePool(const PoolState&) const;

    /// Whether the pool's next request goes to a sample target of the new version where one has a free slot.
    bool triesSamplesFirst(const PoolState&, const Exchange&) const;

    /// Records an attempt that is about to be sent.
    void recordSend(const Exchange&, const PoolState&, const TargetState&);

    /// Records the end of the exchange's attempt. The end is empty for an abandoned one.
    void recordEnd(const Exchange&, std::optional<AttemptEnd>, bool asksForPause);

    /// Moves rollouts on. Call it several times a second.
    void tick(bool isStoreReachable);

private:
    /// An order that another one has replaced.
    struct EndedOrder {
        RolloutOrder order;
        bool wasFinal { false };
    };
    struct Member {
        SteadyTime heardAt;
        RolloutPosition position;
        int oldInProgress { 0 };
        bool isLeaving { false };
    };
    /// The latest order of one pool.
    struct Current {
        Rollout rollout;
        RolloutShare share;
        RolloutCounts counts;
        RolloutEvidence evidence;
        RolloutJudgement judgement; ///< Of the evidence at `judgedAt`.
        SteadyTime judgedAt;
        std::map<std::uint32_t, Member> members;
        std::uint64_t ownGeneration { 0 }; ///< Of the last row that this instance wrote.
        bool isTimeKnown { false }; ///< This instance learned of the order when it was given.
        bool isFinalApplied { false };
        SteadyTime endedAt;
        std::optional<SteadyTime> rewriteAt; ///< When the final state is written again.
        RolloutStep loggedStep;
    };
    struct Version {
        TargetVersions known;
        std::uint64_t rowVersion { 0 };
        bool isProvisional { true }; ///< No row has confirmed them.
        bool isRestored { false }; ///< The store was restored and its row may be outdated: the known versions take precedence.
        bool isWriting { false };
        std::optional<SteadyTime> changedAt; ///< When they last changed, until the row is written.
    };
    struct PoolRollouts {
        PoolState* pool { nullptr };
        Version versions;
        std::map<TargetVersion, int> inProgress; ///< Attempts of this instance that are in progress.
        std::optional<Current> current;
        std::vector<EndedOrder> ended; ///< The latest ones, the oldest first; bounded.
        std::uint64_t rowVersion { 0 };
        bool isRowKnown { true }; ///< False after the store was restored, until the row is read.
        bool isWriting { false };
        bool isHeld { false }; ///< The instance may not use the pool, as logged last.
    };
    struct SentAttempt {
        std::uint32_t pool { 0 };
        std::uint32_t target { 0 }; ///< `shortHash` of the id.
        TargetVersion version;
        SteadyTime sentAt;
    };

    PoolRollouts& stateOf(PoolState&);
    const PoolRollouts* findState(std::uint32_t pool) const;
    PoolState* findPool(std::uint32_t hash);
    /// How this instance has learned of an order.
    struct OrderSource {
        std::string_view name; ///< For the log.
        Duration age { 0 }; ///< Since the order was given, as far as the source knows.
        bool isTimeKnown { false };
    };
    /// Begins the order if it is later than the known one.
    void applyOrder(PoolRollouts&, const RolloutOrder&, const OrderSource&);
    void beginOrder(PoolRollouts&, const RolloutOrder&, const OrderSource&);
    /// Applies the success of an order that another one has replaced meanwhile: the old targets have stopped.
    void applyEarlierSuccess(PoolRollouts&, const RolloutOrder&);
    void applyPosition(PoolRollouts&, const RolloutPosition&, std::string_view source);
    void applyFinal(PoolRollouts&);
    void applyRolloutRow(PoolRollouts&, const RolloutRow&, std::uint64_t version);
    void applyVersionsRow(PoolRollouts&, const TargetVersions&, std::uint64_t version);
    void applyReport(PoolRollouts&, const RolloutReport&, const InstanceUpdate&, SteadyTime now);
    void logVersions(const PoolRollouts&, std::string_view source);

    /// Updates the established versions by the entries, and which targets may be used.
    void checkVersions(PoolRollouts&, SteadyTime now);
    void updateTargets(PoolRollouts&);
    bool isOnlyEstablished(const PoolRollouts&) const;
    int oldInProgress(const PoolRollouts&) const;
    /// When each other instance was last heard.
    static std::vector<SteadyTime> membersHeardAt(const Current&);

    void moveOn(PoolRollouts&, bool isStoreReachable, SteadyTime now);
    RolloutHolderInput holderInput(const PoolRollouts&, const RolloutJudgement&, bool isStoreReachable, SteadyTime now) const;
    void logStep(PoolRollouts&, const RolloutStep&, const RolloutHolderInput&, const RolloutJudgement&);
    void carryOut(PoolRollouts&, RolloutAction, SteadyTime now);
    /// Writes the known final state again when its time has come.
    void rewriteFinal(PoolRollouts&, bool isStoreReachable, SteadyTime now);
    void writeRow(PoolRollouts&, const RolloutPosition&, SteadyTime now);
    void onRowWritten(std::uint32_t pool, const RolloutRow&, const ConditionalWriteResult&);
    void readRow(PoolRollouts&);
    void applyReadRow(PoolRollouts&, const platform::Row&);
    void writeVersions(PoolRollouts&, bool isStoreReachable, SteadyTime now);
    void onVersionsWritten(std::uint32_t pool, const TargetVersions& written, const ConditionalWriteResult&);
    void recordWrite(const PoolRollouts&, std::string_view key, const ConditionalWriteResult&);
    /// How long this instance waits before it writes a row that several instances would write. Nothing where it leaves the row to others:
    /// only the first few in turn write.
    std::optional<Duration> writeDelay(const PoolRollouts&) const;

    const Clock& m_clock;
    Pools& m_pools;
    GatewayMetrics& m_metrics;
    RateLimitedLog& m_log;
    RolloutsOptions m_options;
    std::uint32_t m_selfHash { 0 };
    ConditionalWriter m_writer;
    std::unordered_map<std::uint32_t, PoolRollouts> m_states; ///< By the hash of the pool's id.
    std::unordered_map<WaitTicket, SentAttempt> m_attempts;
    std::map<std::uint32_t, Member> m_heard; ///< The last updates of all peers.
    bool m_hasReadRows { false };
    std::optional<SteadyTime> m_targetsKnownAt;
    std::optional<SteadyTime> m_writeFailedAt;
    SteadyTime m_startedAt;
    SteadyTime m_checkedAt;
};

} // namespace limpetpond
