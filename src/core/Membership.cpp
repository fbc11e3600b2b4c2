#include "core/Membership.h"

#include <algorithm>
#include <utility>

namespace limpetpond {

// Upper bounds of the encoded sizes, in bytes.
constexpr std::size_t heartbeatBaseSize = 64;
constexpr std::size_t poolUpdateBaseSize = 32;
constexpr std::size_t countSize = 10;
constexpr std::size_t targetUpdateBaseSize = 32;
constexpr std::size_t memberUpdateBaseSize = 24;

static bool probesAll(const Membership& membership)
{
    return std::cmp_less_equal(membership.members.size(), membership.options.probeAllUpTo);
}

static void setState(Membership& membership, Member& member, MemberState state, SteadyTime now)
{
    if (member.state == state)
        return;
    member.state = state;
    member.stateSince = now;
    member.transmissionsLeft = membership.options.transmissionsPerUpdate;
}

static Member& findOrAddMember(Membership& membership, const InstanceId& instance, SteadyTime now)
{
    auto [found, isNew] = membership.members.try_emplace(instance);
    if (isNew) {
        found->second.instance = instance;
        found->second.stateSince = now;
    }
    return found->second;
}

/// Whether the incarnation and sequence are newer than the newest known of the member.
static bool isNewer(const Member& member, Incarnation incarnation, std::uint64_t sequence)
{
    return std::pair(incarnation, sequence) > std::pair(member.incarnation, member.sequence);
}

static void recordAlive(Membership& membership, Member& member, Incarnation incarnation, std::uint64_t sequence, SteadyTime now)
{
    member.incarnation = incarnation;
    member.sequence = sequence;
    member.lastSeenAt = now;
    member.probesLost = 0;
    setState(membership, member, MemberState::Live, now);
}

static void applyMemberUpdate(Membership& membership, const MemberUpdate& update, SteadyTime now)
{
    auto found = membership.members.find(update.instance);
    if (found == membership.members.end() || update.incarnation < found->second.incarnation)
        return;
    Member& member = found->second;
    if (update.state == MemberState::Live && isNewer(member, update.incarnation, update.sequence)) {
        recordAlive(membership, member, update.incarnation, update.sequence, now);
        return;
    }
    bool isCurrentSuspicion = update.state == MemberState::Suspected && update.sequence >= member.sequence;
    if (isCurrentSuspicion && member.state == MemberState::Live && !probesAll(membership))
        setState(membership, member, MemberState::Suspected, now);
}

static bool mergeHeartbeat(Membership& membership, const Heartbeat& heartbeat, SteadyTime now)
{
    if (heartbeat.instance == membership.options.self)
        return false;
    Member& member = findOrAddMember(membership, heartbeat.instance, now);
    if (heartbeat.incarnation < member.incarnation)
        return false;
    ++membership.counters.heartbeatsReceived;
    if (isNewer(member, heartbeat.incarnation, heartbeat.sequence)) {
        recordAlive(membership, member, heartbeat.incarnation, heartbeat.sequence, now);
        member.settingsVersion = heartbeat.settingsVersion;
        member.isLeaving = heartbeat.leaving;
    }
    for (const MemberUpdate& entry : heartbeat.members)
        applyMemberUpdate(membership, entry, now);
    return true;
}

Membership makeMembership(MembershipOptions options, SteadyTime now)
{
    Membership membership;
    membership.options = std::move(options);
    membership.nextProbeAt = now;
    membership.random.seed(membership.options.seed);
    return membership;
}

void handleInstanceListRead(Membership& membership, const InstanceListRead& list, SteadyTime now)
{
    membership.listReadAt = now;
    for (auto& [instance, member] : membership.members)
        member.isOnList = false;
    for (const ListedInstance& entry : list.instances) {
        if (entry.instance == membership.options.self)
            continue;
        Member& member = findOrAddMember(membership, entry.instance, now);
        member.host = entry.host;
        member.port = entry.port;
        member.failureDomain = entry.failureDomain;
        member.isOnList = true;
        member.isLeaving = member.isLeaving || entry.leaving;
        member.lastListedAt = now;
        if (member.state == MemberState::Departed)
            setState(membership, member, MemberState::Suspected, now);
    }
}

void applyHeartbeat(Membership& membership, const Heartbeat& heartbeat, SteadyTime now)
{
    mergeHeartbeat(membership, heartbeat, now);
}

void applyHeartbeatAnswer(Membership& membership, const Heartbeat& heartbeat, SteadyTime sentAt, SteadyTime now)
{
    if (!mergeHeartbeat(membership, heartbeat, now))
        return;
    Member& member = membership.members.at(heartbeat.instance);
    member.probesLost = 0;
    if (!member.lastAnsweredAt || *member.lastAnsweredAt < sentAt)
        member.lastAnsweredAt = sentAt;
}

void handleHeartbeatLost(Membership& membership, const HeartbeatLost& lost)
{
    auto found = membership.members.find(lost.instance);
    if (found != membership.members.end())
        ++found->second.probesLost;
}

static bool isUnresponsive(const Membership& membership, const Member& member, const SiteSettings& site, SteadyTime now)
{
    if (!probesAll(membership))
        return member.state != MemberState::Live || member.probesLost >= membership.options.probesLostToSuspect;
    return !member.lastSeenAt || now - *member.lastSeenAt >= site.suspectAfter;
}

static bool isOffList(const Membership& membership, const Member& member, SteadyTime now)
{
    if (member.isOnList)
        return false;
    if (member.isLeaving || !member.lastListedAt)
        return true;
    return now - *member.lastListedAt >= membership.options.listLag;
}

static MemberState assessState(const Membership& membership, const Member& member, const SiteSettings& site, SteadyTime now)
{
    if (!isUnresponsive(membership, member, site, now))
        return MemberState::Live;
    return isOffList(membership, member, now) ? MemberState::Departed : MemberState::Suspected;
}

std::vector<InstanceId> updateMembership(Membership& membership, const SiteSettings& site, SteadyTime now)
{
    std::vector<InstanceId> changed;
    for (auto& [instance, member] : membership.members) {
        MemberState state = assessState(membership, member, site, now);
        if (state == member.state)
            continue;
        setState(membership, member, state, now);
        changed.push_back(instance);
    }
    std::erase_if(membership.members, [&](const auto& entry) {
        const Member& member = entry.second;
        return member.state == MemberState::Departed && now - member.stateSince >= membership.options.forgetAfter;
    });
    return changed;
}

static bool isProbed(const Member& member)
{
    return member.state != MemberState::Departed && member.isOnList;
}

/// Chooses live members with a lost probe first, to confirm their silence, and then random ones.
static std::vector<InstanceId> chooseSubset(Membership& membership, const std::vector<InstanceId>& candidates)
{
    std::vector<InstanceId> chosen;
    std::size_t limit = std::min<std::size_t>(membership.options.probesPerPeriod, candidates.size());
    for (const InstanceId& candidate : candidates) {
        const Member& member = membership.members.at(candidate);
        bool isUnconfirmed = member.probesLost && member.state == MemberState::Live;
        if (isUnconfirmed && chosen.size() < limit)
            chosen.push_back(candidate);
    }
    while (chosen.size() < limit) {
        const InstanceId& candidate = candidates[membership.random(static_cast<std::uint32_t>(candidates.size()))];
        if (std::find(chosen.begin(), chosen.end(), candidate) == chosen.end())
            chosen.push_back(candidate);
    }
    return chosen;
}

std::vector<InstanceId> chooseProbes(Membership& membership, const SiteSettings& site, SteadyTime now)
{
    if (now < membership.nextProbeAt)
        return {};
    membership.nextProbeAt = now + site.heartbeatPeriod;
    std::vector<InstanceId> candidates;
    for (const auto& [instance, member] : membership.members) {
        if (isProbed(member))
            candidates.push_back(instance);
    }
    if (probesAll(membership))
        return candidates;
    return chooseSubset(membership, candidates);
}

void fillHeartbeat(Membership& membership, Heartbeat& heartbeat)
{
    heartbeat.instance = membership.options.self;
    heartbeat.incarnation = membership.options.incarnation;
    heartbeat.sequence = ++membership.sequence;
    heartbeat.members.clear();
    for (auto& [instance, member] : membership.members) {
        if (std::cmp_greater_equal(heartbeat.members.size(), membership.options.updatesPerHeartbeat))
            return;
        if (!member.transmissionsLeft)
            continue;
        --member.transmissionsLeft;
        heartbeat.members.push_back({ instance, member.incarnation, member.state, member.sequence });
    }
}

void countSent(Membership& membership, const Heartbeat& heartbeat)
{
    ++membership.counters.heartbeatsSent;
    membership.counters.bytesSent += static_cast<std::uint64_t>(heartbeatSize(heartbeat).count());
}

ByteCount heartbeatSize(const Heartbeat& heartbeat)
{
    std::size_t size = heartbeatBaseSize + heartbeat.instance.value().size();
    for (const PoolUpdate& pool : heartbeat.pools)
        size += poolUpdateBaseSize + pool.pool.value().size() + countSize * pool.waitingTokensByTier.size();
    for (const TargetUpdate& target : heartbeat.targets)
        size += targetUpdateBaseSize + target.target.value().size();
    for (const MemberUpdate& member : heartbeat.members)
        size += memberUpdateBaseSize + member.instance.value().size();
    return ByteCount { static_cast<std::int64_t>(size) };
}

bool isCounted(const Membership& membership, const Member& member, SteadyTime now)
{
    if (member.state == MemberState::Departed)
        return false;
    bool wasListedLately = member.lastListedAt && now - *member.lastListedAt < membership.options.listLag;
    return member.isOnList || wasListedLately || member.state == MemberState::Live;
}

int countedInstances(const Membership& membership, SteadyTime now)
{
    int counted = 1;
    for (const auto& [instance, member] : membership.members)
        counted += isCounted(membership, member, now);
    return counted;
}

int majorityOf(int counted)
{
    return counted / 2 + 1;
}

bool majorityAnsweredSince(const Membership& membership, SteadyTime since, SteadyTime now)
{
    int answered = 1;
    for (const auto& [instance, member] : membership.members)
        answered += isCounted(membership, member, now) && member.lastAnsweredAt && *member.lastAnsweredAt >= since;
    return answered >= majorityOf(countedInstances(membership, now));
}

std::vector<InstanceId> liveMembers(const Membership& membership)
{
    std::vector<InstanceId> live;
    for (const auto& [instance, member] : membership.members) {
        if (member.state == MemberState::Live)
            live.push_back(instance);
    }
    return live;
}

} // namespace limpetpond
