#include "core/FairQueue.h"

#include <algorithm>

namespace limpetpond {

namespace {

    // Heap order with the earliest expiry on top; equal times are ordered by slot.
    bool isLater(const Expiry& a, const Expiry& b)
    {
        return a.at != b.at ? a.at > b.at : a.index > b.index;
    }

    std::uint32_t findOrAddAccount(FairQueue& queue, const ClientAccountId& id)
    {
        auto found = queue.accountIndex.find(id);
        if (found != queue.accountIndex.end())
            return found->second;
        auto index = static_cast<std::uint32_t>(queue.accounts.size());
        queue.accounts.push_back({ .id = id });
        queue.accountIndex.emplace(id, index);
        return index;
    }

    WaitingIndex acquireSlot(WaitingStore& store)
    {
        if (store.freeSlots.empty()) {
            store.slots.emplace_back();
            return static_cast<WaitingIndex>(store.slots.size() - 1);
        }
        WaitingIndex index = store.freeSlots.back();
        store.freeSlots.pop_back();
        return index;
    }

    void unlink(WaitingStore& store, FairQueue& queue, WaitingIndex index)
    {
        WaitingRequest& waiting = store.slots[index];
        AccountQueue& account = queue.accounts[waiting.account];
        (waiting.previous == noWaitingIndex ? account.first : store.slots[waiting.previous].next) = waiting.next;
        (waiting.next == noWaitingIndex ? account.last : store.slots[waiting.next].previous) = waiting.previous;
        waiting.previous = noWaitingIndex;
        waiting.next = noWaitingIndex;
        account.waiting -= 1;
        if (!account.waiting)
            std::erase(queue.active, waiting.account);
    }

    bool isServedBefore(const AccountQueue& a, const AccountQueue& b)
    {
        return a.virtualTime != b.virtualTime ? a.virtualTime < b.virtualTime : a.id < b.id;
    }

} // namespace

TokenCount tokensOf(const QueuedRequest& request)
{
    return std::max(request.promptTokens + request.answerTokens, TokenCount(1));
}

WaitingIndex push(WaitingStore& store, FairQueue& queue, QueuedRequest request, const AccountShare& share, SteadyTime expiresAt)
{
    WaitingIndex index = acquireSlot(store);
    WaitingRequest& waiting = store.slots[index];
    waiting.queued = std::move(request);
    waiting.expiresAt = expiresAt;
    waiting.shedReason.reset();
    waiting.warm = {};
    waiting.generation += 1;
    waiting.inUse = true;
    waiting.account = findOrAddAccount(queue, waiting.queued.account);
    AccountQueue& account = queue.accounts[waiting.account];
    account.share = share;
    waiting.previous = account.last;
    waiting.next = noWaitingIndex;
    (account.last == noWaitingIndex ? account.first : store.slots[account.last].next) = index;
    account.last = index;
    if (!account.waiting) {
        account.virtualTime = std::max(account.virtualTime, queue.virtualTime);
        queue.active.push_back(waiting.account);
    }
    account.waiting += 1;
    queue.waiting += 1;
    queue.waitingTokens += tokensOf(waiting.queued);
    store.byId.emplace(waiting.queued.request, index);
    queue.expiries.push_back({ .at = expiresAt, .index = index, .generation = waiting.generation });
    std::push_heap(queue.expiries.begin(), queue.expiries.end(), isLater);
    return index;
}

WaitingIndex selectNext(const FairQueue& queue, const std::vector<std::uint32_t>& skippedAccounts)
{
    const AccountQueue* best = nullptr;
    for (std::uint32_t index : queue.active) {
        const AccountQueue& account = queue.accounts[index];
        if (best && !isServedBefore(account, *best))
            continue;
        if (std::find(skippedAccounts.begin(), skippedAccounts.end(), index) == skippedAccounts.end())
            best = &account;
    }
    return best ? best->first : noWaitingIndex;
}

WaitingIndex newestOfLargestAccount(const FairQueue& queue)
{
    const AccountQueue* largest = nullptr;
    for (std::uint32_t index : queue.active) {
        const AccountQueue& account = queue.accounts[index];
        bool isLarger = !largest || account.waiting > largest->waiting
            || (account.waiting == largest->waiting && account.id < largest->id);
        if (isLarger)
            largest = &account;
    }
    return largest ? largest->last : noWaitingIndex;
}

void charge(FairQueue& queue, const WaitingRequest& waiting)
{
    AccountQueue& account = queue.accounts[waiting.account];
    queue.virtualTime = std::max(queue.virtualTime, account.virtualTime);
    account.virtualTime += static_cast<double>(tokensOf(waiting.queued).count()) / account.share.weight;
}

QueuedRequest removeRequest(WaitingStore& store, FairQueue& queue, WaitingIndex index)
{
    WaitingRequest& waiting = store.slots[index];
    if (waiting.shedReason)
        std::erase(queue.pendingShed, index);
    else
        unlink(store, queue, index);
    queue.waiting -= 1;
    queue.waitingTokens -= tokensOf(waiting.queued);
    waiting.inUse = false;
    store.byId.erase(waiting.queued.request);
    store.freeSlots.push_back(index);
    return std::move(waiting.queued);
}

void markForShedding(WaitingStore& store, FairQueue& queue, WaitingIndex index, Reason reason)
{
    if (store.slots[index].shedReason)
        return;
    unlink(store, queue, index);
    store.slots[index].shedReason = reason;
    queue.pendingShed.push_back(index);
}

std::optional<Expiry> nextExpiry(const WaitingStore& store, FairQueue& queue)
{
    while (!queue.expiries.empty()) {
        const Expiry& top = queue.expiries.front();
        const WaitingRequest& waiting = store.slots[top.index];
        if (waiting.inUse && waiting.generation == top.generation && !waiting.shedReason)
            return top;
        std::pop_heap(queue.expiries.begin(), queue.expiries.end(), isLater);
        queue.expiries.pop_back();
    }
    return std::nullopt;
}

} // namespace limpetpond
