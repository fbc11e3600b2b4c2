#include "core/SettingsReplica.h"

#include "core/Guard.h"
#include "core/Invariant.h"
#include <algorithm>
#include <functional>

namespace limpetpond {

namespace detail {

    namespace {

        constexpr std::chrono::seconds headReadTimeout { 10 };
        constexpr std::chrono::seconds fetchTimeout { 10 };
        constexpr std::chrono::milliseconds fetchRetryPeriod { 200 };

        const SiteSettings defaultSite {};

        const SiteSettings& siteOf(const SettingsReplica& replica)
        {
            return replica.settings ? replica.settings->site : defaultSite;
        }

        bool isListed(const SettingsReplica& replica, const InstanceId& instance, SteadyTime now)
        {
            auto entry = replica.listed.find(instance);
            return entry != replica.listed.end() && (entry->second == replica.listReadAt || now - entry->second <= replica.listLag);
        }

        std::size_t countListed(const SettingsReplica& replica, SteadyTime now)
        {
            return std::ranges::count_if(replica.listed, [&](const auto& entry) { return isListed(replica, entry.first, now); });
        }

        std::size_t majorityOfListed(const SettingsReplica& replica, SteadyTime now)
        {
            return countListed(replica, now) / 2 + 1;
        }

        /// The sending times of the heartbeats that the listed peers accepted by `counts` answered, newest first.
        template <typename Predicate>
        std::vector<SteadyTime> answeredHeartbeatTimes(const SettingsReplica& replica, SteadyTime now, Predicate counts)
        {
            std::vector<SteadyTime> times;
            for (const auto& [instance, peer] : replica.peers) {
                if (peer.heartbeatSentAt && isListed(replica, instance, now) && counts(peer))
                    times.push_back(*peer.heartbeatSentAt);
            }
            std::ranges::sort(times, std::greater());
            return times;
        }

        /// The sending time of the `others`-th newest answered heartbeat; `now` for none needed, empty when fewer were
        /// answered.
        std::optional<SteadyTime> confirmedSince(const std::vector<SteadyTime>& times, std::size_t others, SteadyTime now)
        {
            if (!others)
                return now;
            if (times.size() < others)
                return std::nullopt;
            return times[others - 1];
        }

        std::size_t othersNeeded(const SettingsReplica& replica, bool countsItself, SteadyTime now)
        {
            bool isCounted = countsItself && isListed(replica, replica.self, now);
            return majorityOfListed(replica, now) - (isCounted ? 1 : 0);
        }

        void confirmByQuorum(SettingsReplica& replica, SteadyTime now)
        {
            if (!replica.settings || replica.listed.empty())
                return;
            // A restarted instance has lost its settings, so it does not count itself.
            std::size_t others = othersNeeded(replica, replica.confirmedSinceStart, now);
            if (isGuardDisabled(GuardId::MajorityAsked))
                others = 0;
            std::vector<SteadyTime> times = answeredHeartbeatTimes(replica, now, [&](const PeerSettings& peer) { return !peer.version.isNone() && peer.version <= versionInForce(replica); });
            std::optional<SteadyTime> since = confirmedSince(times, others, now);
            if (since && (!replica.quorumConfirmedAt || *since > *replica.quorumConfirmedAt))
                replica.quorumConfirmedAt = since;
        }

        bool haveContactedPeers(const SettingsReplica& replica, SteadyTime now)
        {
            if (now - replica.startedAt >= siteOf(replica).suspectAfter)
                return true;
            if (replica.listed.empty())
                return false;
            return std::ranges::all_of(replica.listed, [&](const auto& entry) {
                auto peer = replica.peers.find(entry.first);
                return entry.first == replica.self || (peer != replica.peers.end() && peer->second.wasContacted);
            });
        }

        /// Records that the version was confirmed since the start. A confirmation by the table service alone counts
        /// only after all peers were contacted or `suspectAfter` has passed, because a peer may know a higher version
        /// than a restored table.
        void updateConfirmedSinceStart(SettingsReplica& replica, SteadyTime now)
        {
            if (replica.confirmedSinceStart || !replica.settings)
                return;
            bool isNewest = replica.highestKnown == versionInForce(replica);
            bool byStore = replica.storeConfirmedAt && isNewest && haveContactedPeers(replica, now);
            replica.confirmedSinceStart = byStore || replica.quorumConfirmedAt.has_value();
        }

        void update(SettingsReplica& replica, SteadyTime now)
        {
            confirmByQuorum(replica, now);
            updateConfirmedSinceStart(replica, now);
        }

        void confirmByStore(SettingsReplica& replica, SteadyTime readStartedAt)
        {
            if (!replica.storeConfirmedAt || readStartedAt > *replica.storeConfirmedAt)
                replica.storeConfirmedAt = readStartedAt;
        }

        void raiseAlarm(ControlActions& out, AlarmKind kind, std::string subject)
        {
            out.push_back(RaiseAlarm { .kind = kind, .subject = std::move(subject) });
        }

        std::uint64_t stableHash(const std::string& text)
        {
            std::uint64_t hash = 0xcbf29ce484222325;
            for (unsigned char c : text)
                hash = (hash ^ c) * 0x100000001b3;
            return hash;
        }

        /// The peer to fetch from; empty for the table service. Each failed fetch selects the next source.
        InstanceId fetchSource(const SettingsReplica& replica)
        {
            std::vector<InstanceId> sources;
            for (const auto& [instance, peer] : replica.peers) {
                if (!peer.version.isNone() && peer.version >= replica.highestKnown)
                    sources.push_back(instance);
            }
            sources.emplace_back();
            std::size_t first = sources.size() > 1 ? stableHash(replica.self.value()) % (sources.size() - 1) : 0;
            return sources[(first + replica.fetchesFailed) % sources.size()];
        }

        void readHeadWhenDue(SettingsReplica& replica, SteadyTime now, ControlActions& out)
        {
            bool isInFlight = replica.headReadSentAt && now - *replica.headReadSentAt < headReadTimeout;
            bool isDue = !replica.lastHeadReadAt || now - *replica.lastHeadReadAt >= siteOf(replica).headReadPeriod;
            if (isInFlight || !isDue)
                return;
            replica.headReadSentAt = now;
            replica.lastHeadReadAt = now;
            out.push_back(ReadSettingsHead {});
        }

        void fetchWhenDue(SettingsReplica& replica, SteadyTime now, ControlActions& out)
        {
            bool isBehind = replica.highestKnown > versionInForce(replica);
            bool isEmpty = !replica.settings && (replica.storeReachable || !replica.highestKnown.isNone());
            bool isInFlight = replica.fetchSentAt && now - *replica.fetchSentAt < fetchTimeout;
            bool isTooSoon = replica.fetchFailedAt && now - *replica.fetchFailedAt < fetchRetryPeriod;
            if ((!isBehind && !isEmpty) || isInFlight || isTooSoon)
                return;
            replica.fetchSentAt = now;
            out.push_back(FetchSettings { .version = replica.highestKnown, .peer = fetchSource(replica) });
        }

        void alarmWhenStoreIsUnavailable(SettingsReplica& replica, SteadyTime now, ControlActions& out)
        {
            SteadyTime answeredAt = replica.storeAnsweredAt.value_or(replica.startedAt);
            bool isUnavailable = now - answeredAt > siteOf(replica).viewAgeLimit;
            if (isUnavailable && !replica.storeAlarmRaised)
                raiseAlarm(out, AlarmKind::StoreUnavailable, "settings");
            replica.storeAlarmRaised = isUnavailable;
        }

        void alarmWhenCutOff(SettingsReplica& replica, SteadyTime now, ControlActions& out)
        {
            bool isCutOff = replica.confirmedSinceStart && !mayDispatch(replica, now);
            if (isCutOff && !replica.cutOffAlarmRaised)
                raiseAlarm(out, AlarmKind::CutOff, "settings/" + std::to_string(versionInForce(replica).value()));
            replica.cutOffAlarmRaised = isCutOff;
        }

    } // namespace

} // namespace detail

SettingsReplica makeSettingsReplica(InstanceId self, SteadyTime now)
{
    return { .self = std::move(self), .startedAt = now };
}

SettingsVersion versionInForce(const SettingsReplica& replica)
{
    return replica.settings ? replica.settings->version : SettingsVersion();
}

SettingsVersion versionToReport(const SettingsReplica& replica)
{
    return replica.confirmedSinceStart ? versionInForce(replica) : SettingsVersion();
}

std::optional<Duration> storeConfirmedAge(const SettingsReplica& replica, SteadyTime now)
{
    if (!replica.storeConfirmedAt || replica.highestKnown > versionInForce(replica))
        return std::nullopt;
    return now - *replica.storeConfirmedAt;
}

std::optional<Duration> confirmedAge(const SettingsReplica& replica, SteadyTime now)
{
    std::optional<SteadyTime> confirmedAt = std::max(replica.storeConfirmedAt, replica.quorumConfirmedAt);
    if (!confirmedAt)
        return std::nullopt;
    return now - *confirmedAt;
}

std::optional<SteadyTime> confirmedUntil(const SettingsReplica& replica)
{
    std::optional<SteadyTime> confirmedAt = std::max(replica.storeConfirmedAt, replica.quorumConfirmedAt);
    if (!replica.confirmedSinceStart || !confirmedAt)
        return std::nullopt;
    return *confirmedAt + detail::siteOf(replica).viewAgeLimit;
}

bool mayDispatch(const SettingsReplica& replica, SteadyTime now)
{
    if (isGuardDisabled(GuardId::ViewAgeChecked))
        return replica.settings != nullptr;
    std::optional<SteadyTime> until = confirmedUntil(replica);
    return until && now < *until;
}

bool reachesMajority(const SettingsReplica& replica, SteadyTime now)
{
    if (replica.listed.empty())
        return false;
    std::size_t others = detail::othersNeeded(replica, true, now);
    std::vector<SteadyTime> times = detail::answeredHeartbeatTimes(replica, now, [](const PeerSettings&) { return true; });
    std::optional<SteadyTime> since = detail::confirmedSince(times, others, now);
    return since && now - *since <= detail::siteOf(replica).viewAgeLimit;
}

SettingsVersion majorityVersion(const SettingsReplica& replica, SteadyTime now)
{
    if (replica.listed.empty())
        return {};
    SettingsVersion own = versionToReport(replica);
    std::size_t others = detail::othersNeeded(replica, true, now);
    if (!others || isGuardDisabled(GuardId::AcceptWaitsForMajority))
        return own;
    std::vector<SettingsVersion> versions;
    for (const auto& [instance, peer] : replica.peers) {
        if (peer.heartbeatSentAt && detail::isListed(replica, instance, now))
            versions.push_back(peer.version);
    }
    if (versions.size() < others)
        return {};
    std::ranges::sort(versions, std::greater());
    return std::min(own, versions[others - 1]);
}

ControlActions handleHeadRead(SettingsReplica& replica, const SettingsHeadRead& read, SteadyTime now)
{
    ControlActions out;
    replica.headReadSentAt.reset();
    replica.storeReachable = read.answered;
    if (!read.answered) {
        detail::update(replica, now);
        return out;
    }
    replica.storeAnsweredAt = now;
    replica.highestKnown = std::max(replica.highestKnown, read.version);
    // A read that started before the version in force arrived may correctly return an older one.
    bool hasRegressed = replica.settings && read.version < versionInForce(replica) && read.readStartedAt >= replica.adoptedAt;
    if (hasRegressed && !replica.storeRegressed)
        detail::raiseAlarm(out, AlarmKind::SettingsRolledBack, "version " + std::to_string(read.version.value()) + " below " + std::to_string(versionInForce(replica).value()));
    replica.storeRegressed = hasRegressed;
    if (replica.settings && !hasRegressed && replica.highestKnown == versionInForce(replica))
        detail::confirmByStore(replica, read.readStartedAt);
    detail::update(replica, now);
    detail::fetchWhenDue(replica, now, out);
    return out;
}

ControlActions handleSettingsArrived(SettingsReplica& replica, const SettingsArrived& arrived, SteadyTime now)
{
    ControlActions out;
    replica.fetchSentAt.reset();
    if (!arrived.settings) {
        replica.fetchFailedAt = now;
        ++replica.fetchesFailed;
        return out;
    }
    SettingsVersion version = arrived.settings->version;
    replica.highestKnown = std::max(replica.highestKnown, version);
    bool isLower = replica.settings && version <= versionInForce(replica);
    if (isLower && !isGuardDisabled(GuardId::LowerVersionRefused)) {
        // A source without the requested version counts as failed.
        replica.fetchFailedAt = now;
        ++replica.fetchesFailed;
        return out;
    }
    checkInvariant(version >= versionInForce(replica), InvariantId::SettingsNeverGoBack);
    replica.settings = arrived.settings;
    replica.adoptedAt = now;
    replica.fetchesFailed = 0;
    replica.fetchFailedAt.reset();
    detail::update(replica, now);
    detail::fetchWhenDue(replica, now, out);
    return out;
}

ControlActions handleHeartbeatAnswered(SettingsReplica& replica, const HeartbeatAnswered& answer, SteadyTime now)
{
    ControlActions out;
    const Heartbeat& heartbeat = answer.heartbeat;
    PeerSettings& peer = replica.peers[heartbeat.instance];
    peer.wasContacted = true;
    if (peer.heartbeatSentAt && answer.sentAt < *peer.heartbeatSentAt)
        return out;
    peer.heartbeatSentAt = answer.sentAt;
    peer.version = heartbeat.settingsVersion;
    replica.highestKnown = std::max(replica.highestKnown, heartbeat.settingsVersion);
    bool isSameVersion = replica.settings && !heartbeat.settingsVersion.isNone() && heartbeat.settingsVersion == versionInForce(replica);
    if (isSameVersion && replica.highestKnown == heartbeat.settingsVersion && heartbeat.storeConfirmedAge)
        detail::confirmByStore(replica, answer.sentAt - *heartbeat.storeConfirmedAge);
    detail::update(replica, now);
    detail::fetchWhenDue(replica, now, out);
    return out;
}

ControlActions handleHeartbeatReceived(SettingsReplica& replica, const HeartbeatReceived& received, SteadyTime now)
{
    ControlActions out;
    replica.highestKnown = std::max(replica.highestKnown, received.heartbeat.settingsVersion);
    PeerSettings& peer = replica.peers[received.heartbeat.instance];
    // The version only serves to choose a fetch source. Answers confirm, because the time of their request is known.
    if (!peer.heartbeatSentAt)
        peer.version = received.heartbeat.settingsVersion;
    detail::fetchWhenDue(replica, now, out);
    return out;
}

void handleHeartbeatLost(SettingsReplica& replica, const HeartbeatLost& lost)
{
    replica.peers[lost.instance].wasContacted = true;
}

void handleInstanceListRead(SettingsReplica& replica, const InstanceListRead& read, SteadyTime now)
{
    replica.listReadAt = now;
    for (const ListedInstance& entry : read.instances)
        replica.listed[entry.instance] = now;
    std::erase_if(replica.listed, [&](const auto& entry) { return !detail::isListed(replica, entry.first, now); });
    std::erase_if(replica.peers, [&](const auto& entry) {
        return !replica.listed.contains(entry.first) && (!entry.second.heartbeatSentAt || now - *entry.second.heartbeatSentAt > replica.listLag);
    });
    detail::update(replica, now);
}

ControlActions tick(SettingsReplica& replica, SteadyTime now)
{
    ControlActions out;
    detail::update(replica, now);
    detail::readHeadWhenDue(replica, now, out);
    detail::fetchWhenDue(replica, now, out);
    detail::alarmWhenStoreIsUnavailable(replica, now, out);
    detail::alarmWhenCutOff(replica, now, out);
    return out;
}

} // namespace limpetpond
