#pragma once

/// The requests of one tier that wait, shared fairly between client accounts.
///
/// Start-time fair queueing: each account has its own first-in, first-out list and a virtual
/// time that grows by cost over weight with each request taken; the account that is furthest
/// behind goes next. An idle account saves up nothing.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Outcome.h"
#include "limpetpond/Units.h"
#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace limpetpond {

/// A request as the queue holds it.
struct QueuedRequest {
    RequestId request;
    ClientAccountId account;
    TierLevel tier;
    TokenCount promptTokens; ///< An estimate; 0 for a plain service.
    TokenCount answerTokens; ///< An estimate; 0 for a plain service.
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's blocks, first block first.
    std::optional<SteadyTime> deadline;
    SteadyTime arrivedAt;
    int dispatchesSoFar { 0 };
    std::optional<TargetId> excludedTarget; ///< Failed this request before; taken only where no other is left.
    std::uint64_t knownPrefixBlock { 0 }; ///< Set by `enqueue`: the last block that was asked for before; 0 for none.
    TokenCount knownPrefixTokens; ///< Set by `enqueue`: prompt tokens up to that block.
    bool cancellable { true }; ///< False for non-idempotent calls: they are never cancelled once dispatched.
};

/// The tokens that a request holds at its target while in progress; one for a plain service's call.
///
///     TokenCount held = tokensOf(request);
TokenCount tokensOf(const QueuedRequest&);

/// The index of a waiting request in its store.
using WaitingIndex = std::uint32_t;

constexpr WaitingIndex noWaitingIndex = std::numeric_limits<WaitingIndex>::max();

/// The targets whose caches make them the ones to wait for.
struct WarmTargets {
    std::array<std::uint32_t, 2> targets {};
    std::uint32_t count { 0 };
    double savedSeconds { 0 }; ///< Prompt time that they save over a target without the prefix.
    SteadyTime checkedAt;
};

/// A waiting request with its place in its account's list.
struct WaitingRequest {
    QueuedRequest queued;
    SteadyTime expiresAt; ///< The deadline, or the end of the longest wait.
    WarmTargets warm;
    std::optional<Reason> shedReason; ///< Set once it is only waiting to be shed.
    std::uint32_t account { 0 };
    std::uint32_t generation { 0 }; ///< Counts the uses of this slot.
    WaitingIndex previous { noWaitingIndex };
    WaitingIndex next { noWaitingIndex };
    bool inUse { false };
};

/// All waiting requests of a pool; slots are reused, so a steady queue allocates nothing.
struct WaitingStore {
    std::vector<WaitingRequest> slots;
    std::vector<WaitingIndex> freeSlots;
    boost::unordered_flat_map<RequestId, WaitingIndex, std::hash<RequestId>> byId; ///< Looked up, never iterated.
};

/// The limits and share of one account.
struct AccountShare {
    double weight { 1 };
    int maxWaiting { 256 };
};

/// The waiting requests of one account in one tier.
struct AccountQueue {
    ClientAccountId id;
    AccountShare share;
    double virtualTime { 0 };
    WaitingIndex first { noWaitingIndex };
    WaitingIndex last { noWaitingIndex };
    int waiting { 0 };
};

/// When a waiting request is to be given up.
struct Expiry {
    SteadyTime at;
    WaitingIndex index { 0 };
    std::uint32_t generation { 0 };
};

/// The queue of one tier.
struct FairQueue {
    std::vector<AccountQueue> accounts;
    boost::unordered_flat_map<ClientAccountId, std::uint32_t, std::hash<ClientAccountId>> accountIndex; ///< Never iterated.
    std::vector<std::uint32_t> active; ///< Accounts with waiting requests.
    std::vector<Expiry> expiries; ///< A heap, earliest first.
    std::vector<WaitingIndex> pendingShed; ///< Waits only for leave to be shed.
    double virtualTime { 0 };
    int waiting { 0 }; ///< Includes those given up.
    TokenCount waitingTokens;
    double meanWait { 0 }; ///< Seconds, of those dispatched lately.
};

/// Queues a request behind its account's others and returns its index.
///
///     WaitingIndex index = push(store, queue, std::move(request), share, expiresAt);
///     store.slots[index].queued.request;
WaitingIndex push(WaitingStore&, FairQueue&, QueuedRequest, const AccountShare&, SteadyTime expiresAt);

/// The first request of the account that is furthest behind its share; none where nothing waits.
/// `skipped` accounts, by position in `active`, were found to be blocked and are passed over.
///
///     WaitingIndex next = selectNext(queue, {});
///     if (next != noWaitingIndex) dispatch(store.slots[next].queued);
WaitingIndex selectNext(const FairQueue&, const std::vector<std::uint32_t>& skippedAccounts);

/// The newest request of the account that has the most waiting; none where nothing waits.
///
///     WaitingIndex last = newestOfLargestAccount(queue);
///     if (last != noWaitingIndex) shed(last);
WaitingIndex newestOfLargestAccount(const FairQueue&);

/// Counts the request's cost against its account's share.
///
///     charge(queue, store.slots[index]);
///     QueuedRequest request = removeRequest(store, queue, index);
void charge(FairQueue&, const WaitingRequest&);

/// Removes a request from store and queue and returns it.
///
///     QueuedRequest request = removeRequest(store, queue, index);
QueuedRequest removeRequest(WaitingStore&, FairQueue&, WaitingIndex);

/// Takes a request out of its account's turn; it then waits only for leave to be shed.
///
///     markForShedding(store, queue, index, Reason::DeadlineExceeded);
void markForShedding(WaitingStore&, FairQueue&, WaitingIndex, Reason);

/// The earliest time at which a request of the queue is to be given up; none where nothing waits.
///
///     std::optional<Expiry> next = nextExpiry(store, queue);
///     if (next && next->at <= now) markForShedding(store, queue, next->index, Reason::Overloaded);
std::optional<Expiry> nextExpiry(const WaitingStore&, FairQueue&);

} // namespace limpetpond
