#include "gateway/Pools.h"

#include "core/Hash.h"
#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace limpetpond {

namespace {

    constexpr std::size_t maxIdleConnections = 8; ///< To each target; a target runs about this many requests at once.

    constexpr Duration assignmentInterval = std::chrono::milliseconds(10); ///< Far below the age of peers' updates, of which hundreds arrive in a second.
    constexpr Duration distanceInterval = std::chrono::milliseconds(500); ///< Shortest time between two computations of all distances.

    bool isSameEntry(const TargetEntry& a, const TargetEntry& b)
    {
        return a.pool == b.pool && a.address == b.address && a.isDraining == b.isDraining && a.slots == b.slots
            && a.startedAt == b.startedAt && a.failureDomain == b.failureDomain && a.version == b.version;
    }

    /// True for an earlier entry of the same incarnation, and for an entry of an earlier incarnation.
    bool isOlder(const TargetEntry& entry, const TargetEntry& known)
    {
        if (entry.startedAt != known.startedAt)
            return entry.startedAt < known.startedAt;
        return entry.sequence < known.sequence;
    }

    /// The entry with the key in a list that is in ascending order of the keys, or where it belongs.
    template <typename List, typename Key, typename Member>
    auto findOrdered(List& list, Key key, Member member)
    {
        return std::lower_bound(list.begin(), list.end(), key, [member](const auto& entry, Key wanted) { return entry.*member < wanted; });
    }

    /// The peers with demand in the pool: their waiting requests and those that arrive within `interval`.
    std::vector<DispatchingInstance> peersWithDemand(const PoolState& pool, Duration interval)
    {
        std::vector<DispatchingInstance> peers;
        for (const PeerDemand& peer : pool.peerDemands) {
            double demand = peer.waiting + toSeconds(interval) * peer.arriving;
            if (demand > 0)
                peers.push_back({ .hash = peer.peer, .failureDomain = peer.failureDomain, .demand = demand });
        }
        return peers;
    }

    /// The slots that requests can occupy; a target with a rate limit occupies few of its own.
    int usableSlots(const PoolState& pool, SteadyTime now)
    {
        int sum = 0;
        for (const TargetState& target : pool.targets) {
            if (!isUsable(target) || isPaused(target, now))
                continue;
            int slots = requestsAllowed(target, 1);
            if (isLimited(target.rateLimit, now))
                slots = std::min(slots, static_cast<int>(std::ceil(*target.rateLimit.stated.perSecond * pool.serviceMilliseconds / 1000)));
            sum += slots;
        }
        return sum;
    }

    /// Divides the slots that are free by the last updates; slots with requests of this instance stay assigned to it.
    void assignSingleSlots(PoolState& pool, double requestsPerSlot, const DispatchingInstance& self, const std::vector<DispatchingInstance>& peers)
    {
        for (std::size_t i = 0; i < pool.targets.size(); ++i) {
            TargetState& target = pool.targets[i];
            int free = std::max(requestsAllowed(target, requestsPerSlot) - target.ownInProgress - target.peersInProgress, 0);
            target.assignedSlots = target.ownInProgress + countAssignedSlots(target.entry.failureDomain, pool.connections[i].hash, free, self, peers);
        }
    }

    /// Orders the instances, differently for each number.
    std::uint64_t orderOf(std::uint64_t instanceHash, std::uint64_t number) { return mixBits(mixBits(instanceHash) ^ number); }

    bool contains(const std::vector<std::uint32_t>& sorted, std::uint32_t hash) { return std::binary_search(sorted.begin(), sorted.end(), hash); }

} // namespace

std::size_t idleConnectionsAllowed(const IdleConnectionLimits& idle)
{
    if (idle.maxConnections <= 0)
        return maxIdleConnections;
    int left = idle.maxConnections / std::max(idle.instances, 1) - idle.inProgress;
    return std::min(static_cast<std::size_t>(std::max(left, 0)), maxIdleConnections);
}

std::uint32_t shortHash(const std::string& id) { return XXH32(id.data(), id.size(), 0); }

Pools::Pools(boost::asio::io_context& context, const Clock& clock, DispatchingInstance self, WindowedRetryBudgetOptions retryBudgetOptions)
    : m_context(context)
    , m_clock(clock)
    , m_retryBudgetOptions(retryBudgetOptions)
    , m_self(std::move(self))
{
}

PoolState& Pools::pool(const PoolId& id)
{
    auto [found, isNew] = m_pools.try_emplace(id);
    if (isNew) {
        found->second.id = id;
        found->second.hash = shortHash(id.value());
        found->second.retryBudget.options = m_retryBudgetOptions;
    }
    return found->second;
}

void Pools::applySettings(const std::vector<ServingPoolSettings>& settings)
{
    for (const ServingPoolSettings& pool : settings)
        this->pool(pool.id).maxConnections = pool.maxConnections;
}

std::vector<std::uint32_t> Pools::targetHashes(const PoolState& pool)
{
    std::vector<std::uint32_t> hashes;
    hashes.reserve(pool.connections.size());
    for (const TargetConnections& connections : pool.connections)
        hashes.push_back(connections.hash);
    return hashes;
}

TargetState* Pools::findTarget(const TargetId& target)
{
    auto found = m_positions.find(target);
    return found == m_positions.end() ? nullptr : &found->second.pool->targets[found->second.index];
}

bool Pools::putTarget(const TargetEntry& entry)
{
    std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(entry.address);
    if (!endpoint)
        return false;
    if (TargetState* known = findTarget(entry.id)) {
        if (isOlder(entry, known->entry)) {
            // A restored store may show an older entry, which is still one of a target that has not left.
            if (!known->entry.isDraining)
                known->missingSince.reset();
            return false;
        }
        known->missingSince.reset();
        bool isSame = isSameEntry(entry, known->entry);
        bool isSameProcess = entry.pool == known->entry.pool && entry.address == known->entry.address && entry.startedAt == known->entry.startedAt;
        if (isSameProcess) {
            known->entry = entry;
            return !isSame;
        }
        removeTarget(entry.id);
    }
    PoolState& state = pool(entry.pool);
    TargetConnections connections { .hash = shortHash(entry.id.value()), .endpoint = *endpoint };
    TargetState target { .entry = entry, .notice = noticeOf(m_keptNotices, entry.id, entry.startedAt) };
    applyPeers(target, connections.hash);
    state.slotsAssignedAt = {}; // Until its slots are assigned, the new target would receive requests of all instances at once.
    state.targets.push_back(std::move(target));
    state.connections.push_back(std::move(connections));
    recordPosition(state, state.targets.size() - 1);
    m_departures.byTarget.erase(entry.id);
    return true;
}

void Pools::recordPosition(PoolState& pool, std::size_t index)
{
    Position position { .pool = &pool, .index = index };
    m_positions[pool.targets[index].entry.id] = position;
    m_positionsByHash[pool.connections[index].hash] = position;
}

void Pools::removeTarget(const TargetId& target)
{
    auto found = m_positions.find(target);
    if (found == m_positions.end())
        return;
    auto [pool, index] = found->second;
    const TargetState& removed = pool->targets[index];
    keepNotice(m_keptNotices, target, removed.entry.startedAt, removed.notice, m_clock.steadyNow());
    closeIdleConnections(pool->connections[index]);
    m_positionsByHash.erase(pool->connections[index].hash);
    m_positions.erase(found);
    if (index + 1 < pool->targets.size()) {
        pool->targets[index] = std::move(pool->targets.back());
        pool->connections[index] = std::move(pool->connections.back());
        recordPosition(*pool, index);
    }
    pool->targets.pop_back();
    pool->connections.pop_back();
}

void Pools::removeDeparted(const TargetId& target, StoreEpoch epoch)
{
    const TargetState* known = findTarget(target);
    if (!known)
        return;
    recordDeparture(m_departures, known->entry, epoch);
    removeTarget(target);
}

void Pools::closeIdleConnections(TargetConnections& connections)
{
    for (const std::shared_ptr<HttpClientConnection>& connection : connections.idle)
        connection->close();
    connections.idle.clear();
}

bool Pools::recordLeaving(const TargetId& target, std::int64_t startedAt, SteadyTime now)
{
    TargetState* known = findTarget(target);
    if (!known || known->entry.startedAt != startedAt)
        return keepNotice(m_keptNotices, target, startedAt, { .isLeaving = true }, now);
    if (known->notice.isLeaving)
        return false;
    known->notice.isLeaving = true;
    auto [pool, index] = m_positions.at(target);
    closeIdleConnections(pool->connections[index]);
    return true;
}

SteadyTime Pools::recordPause(const TargetId& target, std::int64_t startedAt, Duration pause, SteadyTime now)
{
    TargetState* known = findTarget(target);
    if (!known || known->entry.startedAt != startedAt) {
        keepNotice(m_keptNotices, target, startedAt, { .pausedUntil = now + pause }, now);
        return now + pause;
    }
    auto [pool, index] = m_positions.at(target);
    Duration delay = returnDelay(
        { .turn = turnOf(pool->connections[index].hash), .instances = peers() + 1, .slots = known->entry.slots, .serviceTime = fromMilliseconds(pool->serviceMilliseconds) });
    known->notice.pausedUntil = std::max(known->notice.pausedUntil, now + pause + delay);
    return known->notice.pausedUntil;
}

Pools::NoticeCounts Pools::noticeCounts(SteadyTime now) const
{
    NoticeCounts counts;
    for (const auto& [id, pool] : m_pools) {
        for (const TargetState& target : pool.targets) {
            counts.leaving += target.notice.isLeaving;
            counts.paused += isPaused(target, now);
        }
    }
    return counts;
}

void Pools::markMissing(const TargetId& target, SteadyTime now)
{
    TargetState* known = findTarget(target);
    if (known && !known->missingSince)
        known->missingSince = now;
}

int Pools::removeMissing(Duration grace, StoreEpoch epoch, SteadyTime now)
{
    std::vector<TargetId> expired;
    for (const auto& [id, pool] : m_pools) {
        for (const TargetState& target : pool.targets) {
            if (target.missingSince && now - *target.missingSince > grace)
                expired.push_back(target.entry.id);
        }
    }
    for (const TargetId& target : expired)
        removeDeparted(target, epoch);
    return static_cast<int>(expired.size());
}

std::vector<TargetId> Pools::targetIds() const
{
    std::vector<TargetId> ids;
    for (const auto& [target, position] : m_positions)
        ids.push_back(target);
    return ids;
}

std::shared_ptr<HttpClientConnection> Pools::takeConnection(PoolState& pool, std::size_t index, const std::vector<std::shared_ptr<HttpClientConnection>>& avoided, SteadyTime now)
{
    TargetConnections& connections = pool.connections[index];
    std::erase_if(connections.idle, [now](const std::shared_ptr<HttpClientConnection>& connection) {
        if (connection->isReusable(now))
            return false;
        connection->close();
        return true;
    });
    auto isAvoided = [&avoided](const std::shared_ptr<HttpClientConnection>& connection) { return std::find(avoided.begin(), avoided.end(), connection) != avoided.end(); };
    auto newest = std::find_if_not(connections.idle.rbegin(), connections.idle.rend(), isAvoided);
    if (newest == connections.idle.rend())
        return std::make_shared<HttpClientConnection>(m_context, m_clock, connections.endpoint);
    std::shared_ptr<HttpClientConnection> connection = std::move(*newest);
    connections.idle.erase(std::next(newest).base());
    return connection;
}

void Pools::returnConnection(const TargetId& target, const std::shared_ptr<HttpClientConnection>& connection, SteadyTime now)
{
    auto found = m_positions.find(target);
    if (found == m_positions.end() || !connection->isReusable(now)) {
        connection->close();
        return;
    }
    auto [pool, index] = found->second;
    if (pool->targets[index].notice.isLeaving) {
        connection->close();
        return;
    }
    std::size_t allowed = idleConnectionsAllowed(
        { .maxConnections = pool->maxConnections, .instances = peers() + 1, .inProgress = pool->targets[index].ownInProgress });
    std::vector<std::shared_ptr<HttpClientConnection>>& idle = pool->connections[index].idle;
    idle.push_back(connection);
    while (idle.size() > allowed) {
        idle.front()->close();
        idle.erase(idle.begin());
    }
}

void Pools::setPeer(const InstanceId& peer, PeerLoadReport report)
{
    auto [found, isNew] = m_peers.try_emplace(peer);
    report.hash = isNew ? shortHash(peer.value()) : found->second.hash;
    replaceReport(found->second, report);
    recordDemands(report, m_clock.steadyNow());
    found->second = std::move(report);
    m_hasStaleDistances = m_hasStaleDistances || isNew;
}

void Pools::removePeer(const InstanceId& peer)
{
    auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    replaceReport(found->second, {});
    for (auto& [id, pool] : m_pools)
        std::erase_if(pool.peerDemands, [hash = found->second.hash](const PeerDemand& demand) { return demand.peer == hash; });
    m_peers.erase(found);
    m_hasStaleDistances = true;
}

void Pools::addWork(std::uint32_t target, int change)
{
    if (auto found = m_positionsByHash.find(target); found != m_positionsByHash.end())
        found->second.pool->targets[found->second.index].peersInProgress += change;
}

void Pools::addClosedTargets(const std::vector<std::uint32_t>& closed, int sign)
{
    for (std::uint32_t hash : closed) {
        if (auto found = m_positionsByHash.find(hash); found != m_positionsByHash.end())
            found->second.pool->targets[found->second.index].ejectedByPeers += sign;
    }
}

void Pools::replaceReport(const PeerLoadReport& known, const PeerLoadReport& report)
{
    auto before = known.work.begin();
    auto after = report.work.begin();
    while (before != known.work.end() || after != report.work.end()) {
        if (after == report.work.end() || (before != known.work.end() && before->target < after->target)) {
            addWork(before->target, -before->inProgress);
            ++before;
            continue;
        }
        int earlier = before != known.work.end() && before->target == after->target ? (before++)->inProgress : 0;
        if (after->inProgress != earlier)
            addWork(after->target, after->inProgress - earlier);
        ++after;
    }
    if (known.closedTargets == report.closedTargets)
        return;
    addClosedTargets(known.closedTargets, -1);
    addClosedTargets(report.closedTargets, 1);
}

void Pools::recordDemands(const PeerLoadReport& report, SteadyTime now)
{
    for (auto& [id, pool] : m_pools) {
        auto reported = findOrdered(report.demands, pool.hash, &PeerLoadReport::Demand::pool);
        bool hasDemand = reported != report.demands.end() && reported->pool == pool.hash;
        auto known = findOrdered(pool.peerDemands, report.hash, &PeerDemand::peer);
        if (known == pool.peerDemands.end() || known->peer != report.hash) {
            if (!hasDemand)
                continue;
            known = pool.peerDemands.insert(known, { .peer = report.hash, .failureDomain = report.failureDomain });
        }
        known->waiting = hasDemand ? reported->waiting : 0;
        known->arriving = hasDemand ? reported->arriving : 0;
        if (hasDemand)
            known->lastDemandAt = now;
    }
}

void Pools::applyPeers(TargetState& target, std::uint32_t hash) const
{
    for (const auto& [peer, report] : m_peers) {
        if (auto found = findOrdered(report.work, hash, &PeerLoadReport::Work::target); found != report.work.end() && found->target == hash)
            target.peersInProgress += found->inProgress;
        if (contains(report.closedTargets, hash))
            ++target.ejectedByPeers;
    }
    target.distance = rendezvousDistance(target.entry.failureDomain, hash, m_self, allInstances());
}

std::vector<DispatchingInstance> Pools::allInstances() const
{
    std::vector<DispatchingInstance> all { m_self };
    for (const auto& [peer, report] : m_peers)
        all.push_back({ .hash = report.hash, .failureDomain = report.failureDomain });
    return all;
}

void Pools::refreshDistances(SteadyTime now)
{
    if (!m_hasStaleDistances || now - m_distancesAt < distanceInterval)
        return;
    m_hasStaleDistances = false;
    m_distancesAt = now;
    std::vector<DispatchingInstance> all = allInstances();
    for (auto& [id, pool] : m_pools) {
        for (std::size_t i = 0; i < pool.targets.size(); ++i)
            pool.targets[i].distance = rendezvousDistance(pool.targets[i].entry.failureDomain, pool.connections[i].hash, m_self, all);
    }
}

void Pools::assignFreeSlots(PoolState& pool, Duration updateInterval)
{
    // Nothing is sent, so the assignment doesn't matter; updates of peers arrive hundreds of times a second.
    if (pool.queue.requests.empty())
        return;
    SteadyTime now = m_clock.steadyNow();
    if (now - pool.slotsAssignedAt < assignmentInterval)
        return;
    pool.slotsAssignedAt = now;
    pool.ownRequestsAllowed.reset();
    for (TargetState& target : pool.targets)
        target.assignedSlots.reset();
    std::vector<DispatchingInstance> waitingPeers = peersWithDemand(pool, Duration::zero());
    if (waitingPeers.empty())
        return;
    DispatchingInstance self = m_self;
    self.demand = waitingDemand(pool);
    Duration serviceTime = fromMilliseconds(pool.serviceMilliseconds);
    SlotDivision division = slotDivision(pool.targets.size(), waitingPeers.size() + 1, peerUpdateWeight(serviceTime, updateInterval));
    if (division == SlotDivision::WholeTargets) {
        for (std::size_t i = 0; i < pool.targets.size(); ++i) {
            if (isAssignedToPeer(pool.targets[i].entry.failureDomain, pool.connections[i].hash, self, waitingPeers))
                pool.targets[i].assignedSlots = 0;
        }
        return;
    }
    self.demand += toSeconds(updateInterval) * arrivingDemand(pool.arrivals, now);
    std::vector<DispatchingInstance> peers = peersWithDemand(pool, updateInterval);
    if (division == SlotDivision::ShareOfPool)
        pool.ownRequestsAllowed = countAllowedRequests(usableSlots(pool, now), self, peers);
    else
        assignSingleSlots(pool, requestsPerSlot(serviceTime, updateInterval), self, peers);
}

int Pools::turnOf(std::uint64_t number) const
{
    std::uint64_t own = orderOf(m_self.hash, number);
    return static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) { return orderOf(peer.second.hash, number) < own; }));
}

void Pools::divideRateLimits(PoolState& pool, SteadyTime now)
{
    double ownDemand = waitingDemand(pool) + std::floor(arrivingDemand(pool.arrivals, now));
    if (ownDemand > 0)
        pool.lastDemandAt = now;
    for (std::size_t i = 0; i < pool.targets.size(); ++i) {
        TargetRateLimit& limit = pool.targets[i].rateLimit;
        if (!isLimited(limit, now))
            continue;
        std::uint32_t target = pool.connections[i].hash;
        std::vector<LimitSharer> sharers;
        for (const PeerDemand& peer : pool.peerDemands)
            sharers.push_back({ .order = orderOf(peer.peer, target), .demand = sharedDemand(peer.waiting + peer.arriving, peer.lastDemandAt, now) });
        LimitSharer self { .order = orderOf(m_self.hash, target), .demand = sharedDemand(ownDemand, pool.lastDemandAt, now) };
        setShare(limit, shareOfLimit(*limit.stated.perSecond, self, sharers), now);
    }
}

std::optional<TargetId> Pools::mergeRateLimit(std::uint32_t targetHash, const StatedRateLimit& stated)
{
    auto found = m_positionsByHash.find(targetHash);
    if (found == m_positionsByHash.end())
        return std::nullopt;
    TargetState& target = found->second.pool->targets[found->second.index];
    return mergeStatement(target.rateLimit, stated) ? std::optional(target.entry.id) : std::nullopt;
}

bool Pools::areRequestsWaiting() const
{
    bool isWaitingHere = std::any_of(m_pools.begin(), m_pools.end(), [](const auto& pool) { return !pool.second.queue.requests.empty(); });
    auto waits = [](const PeerDemand& peer) { return peer.waiting > 0; };
    return isWaitingHere || std::any_of(m_pools.begin(), m_pools.end(), [&](const auto& pool) { return std::any_of(pool.second.peerDemands.begin(), pool.second.peerDemands.end(), waits); });
}

double waitingDemand(const PoolState& pool)
{
    double demand = 0;
    for (const auto& [level, rank] : pool.queue.ranks)
        demand += demandOf(level % routeRanksPerAccountRank) * static_cast<double>(rank.inTime.size() + rank.late.size());
    return demand;
}

} // namespace limpetpond
