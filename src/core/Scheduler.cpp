#include "core/Scheduler.h"

#include <algorithm>
#include <limits>

namespace limpetpond {

namespace {

    int requestsAt(const PoolScheduler& pool, const TargetId& target)
    {
        return static_cast<int>(std::count_if(pool.running.begin(), pool.running.end(),
            [&](const auto& entry) { return entry.second.target == target; }));
    }

    const TargetId* leastWork(const PoolScheduler& pool, const QueuedRequest& request)
    {
        const TargetId* best = nullptr;
        int bestRequests = std::numeric_limits<int>::max();
        for (const auto& [id, target] : pool.targets) {
            int requests = requestsAt(pool, id);
            bool isExcluded = request.excludedTarget == id && pool.targets.size() > 1;
            if (target.mark == TargetMark::Leaving || requests >= target.maxRequestsInProgress || isExcluded || requests >= bestRequests)
                continue;
            best = &id;
            bestRequests = requests;
        }
        return best;
    }

} // namespace

PoolScheduler makePoolScheduler(PoolId pool, InstanceId instance, std::uint64_t seed)
{
    PoolScheduler state;
    state.pool = std::move(pool);
    state.instance = std::move(instance);
    state.seed = seed;
    return state;
}

void applySettings(PoolScheduler& pool, const Settings& settings, SteadyTime)
{
    pool.targets.clear();
    auto found = settings.pools.find(pool.pool);
    if (found == settings.pools.end())
        return;
    pool.settings = found->second;
    for (const auto& [id, target] : settings.targets) {
        if (target.pool == pool.pool)
            pool.targets[id] = target;
    }
}

void enqueue(PoolScheduler& pool, QueuedRequest request, SteadyTime)
{
    TierLevel tier = request.tier;
    pool.waiting[tier].push_back(std::move(request));
}

bool removeWaiting(PoolScheduler& pool, const RequestId& request)
{
    for (auto& [tier, queue] : pool.waiting) {
        if (std::erase_if(queue, [&](const QueuedRequest& queued) { return queued.request == request; }))
            return true;
    }
    return false;
}

void answerStarted(PoolScheduler& pool, const RequestId& request, std::optional<TokenCount>, SteadyTime)
{
    auto found = pool.running.find(request);
    if (found != pool.running.end())
        found->second.started = true;
}

void dispatchEnded(PoolScheduler& pool, const RequestId& request, DispatchEnd, TokenCount, SteadyTime)
{
    pool.running.erase(request);
}

bool takeRetry(PoolScheduler&, SteadyTime)
{
    return true;
}

void targetReported(PoolScheduler&, const TargetReported&, SteadyTime)
{
}

void cacheChanged(PoolScheduler&, const CacheChanged&)
{
}

void peerNews(PoolScheduler& pool, const InstanceId& peer, const PoolNews& news, const std::vector<TargetNews>&,
    std::optional<SteadyTime>, SteadyTime)
{
    pool.peers[peer].news = news;
}

void peerListed(PoolScheduler& pool, const InstanceId& peer)
{
    pool.peers[peer] = {};
}

void peerDeparted(PoolScheduler& pool, const InstanceId& peer)
{
    pool.peers.erase(peer);
}

void decide(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
{
    for (auto& [tier, queue] : pool.waiting) {
        while (!queue.empty()) {
            QueuedRequest& head = queue.front();
            if (now >= head.deadline.value_or(head.arrivedAt + pool.settings.maxWait)) {
                decisions.emplace_back(ShedDecision { .request = head.request, .reason = Reason::DeadlineExceeded });
                queue.pop_front();
                continue;
            }
            const TargetId* target = leastWork(pool, head);
            if (!target)
                break;
            decisions.emplace_back(DispatchDecision { .request = head.request, .target = *target });
            RequestId request = head.request;
            pool.running[request] = { .queued = std::move(head), .target = *target, .dispatchedAt = now };
            queue.pop_front();
        }
    }
}

PoolNews poolNews(const PoolScheduler& pool)
{
    return { .pool = pool.pool, .lowestServed = lowestServed(pool) };
}

std::vector<TargetNews> targetNews(const PoolScheduler& pool)
{
    std::vector<TargetNews> news;
    for (const auto& [id, target] : pool.targets) {
        news.push_back({ .target = id,
            .requestsInProgress = requestsAt(pool, id),
            .leavingMarkVersion = target.mark == TargetMark::Leaving ? target.markVersion : SettingsVersion() });
    }
    return news;
}

SchedulerSnapshot snapshot(const PoolScheduler& pool)
{
    SchedulerSnapshot result { .pool = pool.pool };
    for (auto entry = pool.waiting.rbegin(); entry != pool.waiting.rend(); ++entry)
        result.tiers.push_back({ .tier = entry->first, .waiting = static_cast<int>(entry->second.size()) });
    for (const auto& [id, target] : pool.targets)
        result.targets.push_back({ .target = id, .mark = target.mark, .requestsInProgress = requestsAt(pool, id) });
    return result;
}

bool isWaiting(const PoolScheduler& pool, const RequestId& request)
{
    return std::any_of(pool.waiting.begin(), pool.waiting.end(), [&](const auto& entry) {
        return std::any_of(entry.second.begin(), entry.second.end(), [&](const QueuedRequest& queued) { return queued.request == request; });
    });
}

std::optional<TierLevel> lowestServed(const PoolScheduler& pool)
{
    std::optional<TierLevel> lowest;
    auto take = [&](TierLevel tier) { lowest = lowest ? std::min(*lowest, tier) : tier; };
    for (const auto& [tier, queue] : pool.waiting) {
        if (!queue.empty())
            take(tier);
    }
    for (const auto& [id, running] : pool.running)
        take(running.queued.tier);
    return lowest;
}

} // namespace limpetpond
