#include "gateway/Pools.h"

#include <algorithm>
#include <xxhash.h>

namespace limpetpond {

namespace {

    constexpr std::size_t maxIdleConnectionsPerTarget = 8; ///< For each target; a target runs about this many requests at once.

    constexpr Duration distanceInterval = std::chrono::milliseconds(500); ///< All targets are placed among all instances anew.

    bool isSameEntry(const TargetEntry& a, const TargetEntry& b)
    {
        return a.pool == b.pool && a.address == b.address && a.isDraining == b.isDraining && a.slots == b.slots
            && a.startedAt == b.startedAt && a.failureDomain == b.failureDomain;
    }

    /// An entry of an earlier moment of the same incarnation, or of an earlier incarnation.
    bool isOlder(const TargetEntry& entry, const TargetEntry& known)
    {
        if (entry.startedAt != known.startedAt)
            return entry.startedAt < known.startedAt;
        return entry.sequence < known.sequence;
    }

    bool contains(const std::vector<std::uint32_t>& sorted, std::uint32_t hash) { return std::binary_search(sorted.begin(), sorted.end(), hash); }

} // namespace

std::size_t idleConnectionsAllowed(const IdleConnectionCase& idle)
{
    if (idle.maxConnections <= 0)
        return maxIdleConnectionsPerTarget;
    int left = idle.maxConnections / std::max(idle.instances, 1) - idle.inProgress;
    return std::min(static_cast<std::size_t>(std::max(left, 0)), maxIdleConnectionsPerTarget);
}

std::uint32_t shortHash(const std::string& id) { return XXH32(id.data(), id.size(), 0); }

Pools::Pools(boost::asio::io_context& context, const Clock& clock, PlacingInstance here, ResendBudgetOptions resendOptions)
    : m_context(context)
    , m_clock(clock)
    , m_resendOptions(resendOptions)
    , m_here(std::move(here))
{
}

PoolState& Pools::pool(const PoolId& id)
{
    auto [found, isNew] = m_pools.try_emplace(id);
    if (isNew) {
        found->second.id = id;
        found->second.hash = shortHash(id.value());
        found->second.resends.options = m_resendOptions;
    }
    return found->second;
}

void Pools::applySettings(const std::vector<PoolSettings>& settings)
{
    for (const PoolSettings& pool : settings)
        this->pool(pool.id).maxConnections = pool.maxConnections;
}

TargetState* Pools::findTarget(const TargetId& target)
{
    auto found = m_places.find(target);
    return found == m_places.end() ? nullptr : &found->second.pool->targets[found->second.index];
}

bool Pools::putTarget(const TargetEntry& entry)
{
    std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(entry.address);
    if (!endpoint)
        return false;
    if (TargetState* known = findTarget(entry.id)) {
        if (isOlder(entry, known->entry))
            return false;
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
    TargetLink link { .hash = shortHash(entry.id.value()), .endpoint = *endpoint };
    TargetState target { .entry = entry };
    applyPeers(target, link.hash);
    state.hasStaleShares = true;
    state.targets.push_back(std::move(target));
    state.links.push_back(std::move(link));
    notePlace(state, state.targets.size() - 1);
    return true;
}

void Pools::notePlace(PoolState& pool, std::size_t index)
{
    Place place { .pool = &pool, .index = index };
    m_places[pool.targets[index].entry.id] = place;
    m_placesByHash[pool.links[index].hash] = place;
}

void Pools::removeTarget(const TargetId& target)
{
    auto found = m_places.find(target);
    if (found == m_places.end())
        return;
    auto [pool, index] = found->second;
    for (const std::shared_ptr<HttpClientConnection>& connection : pool->links[index].idle)
        connection->close();
    m_placesByHash.erase(pool->links[index].hash);
    m_places.erase(found);
    if (index + 1 < pool->targets.size()) {
        pool->targets[index] = std::move(pool->targets.back());
        pool->links[index] = std::move(pool->links.back());
        notePlace(*pool, index);
    }
    pool->targets.pop_back();
    pool->links.pop_back();
}

void Pools::markMissing(const TargetId& target, SteadyTime now)
{
    TargetState* known = findTarget(target);
    if (known && !known->missingSince)
        known->missingSince = now;
}

int Pools::removeMissing(Duration grace, SteadyTime now)
{
    std::vector<TargetId> gone;
    for (const auto& [id, pool] : m_pools) {
        for (const TargetState& target : pool.targets) {
            if (target.missingSince && now - *target.missingSince > grace)
                gone.push_back(target.entry.id);
        }
    }
    for (const TargetId& target : gone)
        removeTarget(target);
    return static_cast<int>(gone.size());
}

std::vector<TargetId> Pools::targetIds() const
{
    std::vector<TargetId> ids;
    for (const auto& [target, place] : m_places)
        ids.push_back(target);
    return ids;
}

std::shared_ptr<HttpClientConnection> Pools::takeConnection(PoolState& pool, std::size_t place, SteadyTime now)
{
    TargetLink& link = pool.links[place];
    while (!link.idle.empty()) {
        std::shared_ptr<HttpClientConnection> connection = std::move(link.idle.back());
        link.idle.pop_back();
        if (connection->isReusable(now))
            return connection;
        connection->close();
    }
    return std::make_shared<HttpClientConnection>(m_context, m_clock, link.endpoint);
}

void Pools::keepConnection(const TargetId& target, const std::shared_ptr<HttpClientConnection>& connection, SteadyTime now)
{
    auto found = m_places.find(target);
    if (found == m_places.end() || !connection->isReusable(now)) {
        connection->close();
        return;
    }
    auto [pool, index] = found->second;
    std::size_t allowed = idleConnectionsAllowed(
        { .maxConnections = pool->maxConnections, .instances = peers() + 1, .inProgress = pool->targets[index].ownInProgress });
    std::vector<std::shared_ptr<HttpClientConnection>>& idle = pool->links[index].idle;
    idle.push_back(connection);
    while (idle.size() > allowed) {
        idle.front()->close();
        idle.erase(idle.begin());
    }
}

void Pools::setPeer(const InstanceId& peer, PeerView view)
{
    auto [found, isNew] = m_peers.try_emplace(peer);
    PeerView& known = found->second;
    for (auto& [id, pool] : m_pools)
        pool.hasStaleShares = pool.hasStaleShares || !known.demands.empty() || !view.demands.empty();
    addPeer(known, -1);
    addPeer(view, 1);
    known = std::move(view);
    known.hash = shortHash(peer.value());
    m_hasStaleDistances = m_hasStaleDistances || isNew;
}

void Pools::removePeer(const InstanceId& peer)
{
    auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    addPeer(found->second, -1);
    m_peers.erase(found);
    m_hasStaleDistances = true;
}

void Pools::addPeer(const PeerView& peer, int sign)
{
    for (const auto& [hash, count] : peer.work) {
        if (auto found = m_placesByHash.find(hash); found != m_placesByHash.end())
            found->second.pool->targets[found->second.index].peersInProgress += sign * count;
    }
    for (std::uint32_t hash : peer.closedTargets) {
        if (auto found = m_placesByHash.find(hash); found != m_placesByHash.end())
            found->second.pool->targets[found->second.index].closedByPeers += sign;
    }
}

void Pools::applyPeers(TargetState& target, std::uint32_t hash) const
{
    for (const auto& [peer, view] : m_peers) {
        if (auto found = view.work.find(hash); found != view.work.end())
            target.peersInProgress += found->second;
        if (contains(view.closedTargets, hash))
            ++target.closedByPeers;
    }
    target.distance = distanceOf(target.entry.failureDomain, hash, m_here, allInstances());
}

std::vector<PlacingInstance> Pools::allInstances() const
{
    std::vector<PlacingInstance> all { m_here };
    for (const auto& [peer, view] : m_peers)
        all.push_back({ .hash = view.hash, .failureDomain = view.failureDomain });
    return all;
}

void Pools::refreshDistances(SteadyTime now)
{
    if (!m_hasStaleDistances || now - m_distancesAt < distanceInterval)
        return;
    m_hasStaleDistances = false;
    m_distancesAt = now;
    std::vector<PlacingInstance> all = allInstances();
    for (auto& [id, pool] : m_pools) {
        pool.hasStaleShares = true;
        for (std::size_t i = 0; i < pool.targets.size(); ++i)
            pool.targets[i].distance = distanceOf(pool.targets[i].entry.failureDomain, pool.links[i].hash, m_here, all);
    }
}

void Pools::sharePlaces(PoolState& pool, Duration newsInterval)
{
    double demand = waitingDemand(pool);
    if (!pool.hasStaleShares && demand == pool.ownDemand)
        return;
    pool.hasStaleShares = false;
    pool.ownDemand = demand;
    PlacingInstance here = m_here;
    here.demand = demand;
    std::vector<PlacingInstance> waiting;
    for (const auto& [peer, view] : m_peers) {
        if (auto found = view.demands.find(pool.hash); found != view.demands.end())
            waiting.push_back({ .hash = view.hash, .failureDomain = view.failureDomain, .demand = found->second });
    }
    auto serviceTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(pool.serviceMilliseconds));
    bool isSharedOut = canShareOut(pool.targets.size(), waiting.size() + 1, trustInNews(serviceTime, newsInterval));
    for (std::size_t i = 0; i < pool.targets.size(); ++i)
        pool.targets[i].isLeftToOthers = isSharedOut && isLeftToOthers(pool.targets[i].entry.failureDomain, pool.links[i].hash, here, waiting);
}

double waitingDemand(const PoolState& pool)
{
    double demand = 0;
    for (const auto& [level, rank] : pool.line.ranks)
        demand += demandOf(level % ranksInLevel) * static_cast<double>(rank.inTime.size() + rank.late.size());
    return demand;
}

} // namespace limpetpond
