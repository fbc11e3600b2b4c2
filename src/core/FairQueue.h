#pragma once

/// Fair queue of the daemon: the waiting requests of one tier, shared between client accounts.
/// The gateway's `RankedQueue` orders by rank and latency objective instead.
///
/// Load pattern: one account sends far more requests than the others. Start-time fair queueing
/// keeps its requests from delaying theirs: each account has a first-in, first-out list and a virtual
/// time that grows by cost over weight with each dispatch, and the account with the lowest
/// virtual time is served next. An idle account accumulates no credit.

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

/// A request as the scheduler sees it.
struct QueuedRequest {
    RequestId request;
    ClientAccountId account;
    TierLevel tier;
    TokenCount promptTokens; ///< Estimate; 0 for a plain service.
    TokenCount answerTokens; ///< Estimate; 0 for a plain service.
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's blocks, first block first.
    std::optional<SteadyTime> deadline;
    SteadyTime arrivedAt;
    int dispatchesSoFar { 0 };
    std::optional<TargetId> excludedTarget; ///< Failed this request before; selected only if no other target accepts work.
    std::uint64_t knownPrefixBlock { 0 }; ///< Set by `enqueue`: the last prefix block that an earlier prompt had; 0 if none.
    TokenCount knownPrefixTokens; ///< Set by `enqueue`: prompt tokens up to and including that block.
    bool cancellable { true }; ///< False for non-idempotent calls, which are never cancelled once dispatched.
};

/// The tokens that a request occupies at its target while in progress; 1 for a call of a plain service.
///
///     TokenCount tokens = tokensOf(request);
TokenCount tokensOf(const QueuedRequest&);

/// The slot of a waiting request in its store.
using WaitingIndex = std::uint32_t;

constexpr WaitingIndex noWaitingIndex = std::numeric_limits<WaitingIndex>::max();

/// Targets that are worth waiting for because of their prefix caches.
struct WarmTargets {
    std::array<std::uint32_t, 2> targets {};
    std::uint32_t count { 0 };
    double savedSeconds { 0 }; ///< Prompt time that they save compared with a target without the prefix.
    SteadyTime checkedAt;
};

/// A slot of a waiting request, linked into its account's list.
struct WaitingRequest {
    QueuedRequest queued;
    SteadyTime expiresAt; ///< The earlier of the deadline and the end of the pool's longest wait.
    WarmTargets warm;
    std::optional<Reason> shedReason; ///< Set when the request is marked for shedding.
    std::uint32_t account { 0 }; ///< Index in `FairQueue::accounts`.
    std::uint32_t generation { 0 }; ///< Number of requests that have used this slot.
    WaitingIndex previous { noWaitingIndex };
    WaitingIndex next { noWaitingIndex };
    bool inUse { false };
};

/// All waiting requests of a pool. Slots are reused, so a queue of steady length allocates no slots.
struct WaitingStore {
    std::vector<WaitingRequest> slots;
    std::vector<WaitingIndex> freeSlots;
    boost::unordered_flat_map<RequestId, WaitingIndex, std::hash<RequestId>> byId; ///< Looked up, never iterated.
};

/// The fair-share weight and the waiting limit of one account.
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

/// When a waiting request expires; obsolete once the slot's generation differs.
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
    std::vector<WaitingIndex> pendingShed; ///< Requests that are marked for shedding.
    double virtualTime { 0 };
    int waiting { 0 }; ///< Includes the requests that are marked for shedding.
    TokenCount waitingTokens;
    double meanWait { 0 }; ///< Moving average over dispatched requests, in seconds.
};

/// Appends a request to its account's list and returns its index.
///
///     WaitingIndex index = push(store, queue, std::move(request), share, expiresAt);
///     store.slots[index].queued.request;
WaitingIndex push(WaitingStore&, FairQueue&, QueuedRequest, const AccountShare&, SteadyTime expiresAt);

/// The first request of the account with the lowest virtual time; `noWaitingIndex` if there is none.
/// Skips the accounts whose indexes are in `skippedAccounts`.
///
///     WaitingIndex next = selectNext(queue, {});
///     if (next != noWaitingIndex) dispatch(store.slots[next].queued);
WaitingIndex selectNext(const FairQueue&, const std::vector<std::uint32_t>& skippedAccounts);

/// The newest request of the account with the most waiting requests; `noWaitingIndex` if there is none.
///
///     WaitingIndex last = newestOfLargestAccount(queue);
///     if (last != noWaitingIndex) shed(last);
WaitingIndex newestOfLargestAccount(const FairQueue&);

/// Adds the request's cost over its account's weight to the account's virtual time.
///
///     charge(queue, store.slots[index]);
///     QueuedRequest request = removeRequest(store, queue, index);
void charge(FairQueue&, const WaitingRequest&);

/// Removes a request from the store and the queue and returns it.
///
///     QueuedRequest request = removeRequest(store, queue, index);
QueuedRequest removeRequest(WaitingStore&, FairQueue&, WaitingIndex);

/// Marks a request for shedding: it is no longer selected, but counts as waiting until it is shed.
///
///     markForShedding(store, queue, index, Reason::DeadlineExceeded);
void markForShedding(WaitingStore&, FairQueue&, WaitingIndex, Reason);

/// The earliest expiry of a request of the queue that isn't marked for shedding; none if there is none.
///
///     std::optional<Expiry> next = nextExpiry(store, queue);
///     if (next && next->at <= now) markForShedding(store, queue, next->index, Reason::Overloaded);
std::optional<Expiry> nextExpiry(const WaitingStore&, FairQueue&);

} // namespace limpetpond
