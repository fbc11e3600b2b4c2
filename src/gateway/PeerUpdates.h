#pragma once

/// Load updates between instances, sent in one small UDP datagram to each peer several times a second.
///
/// A lost datagram does no harm, since each one carries the whole state of the sender, but for the use of many accounts, which
/// takes several datagrams. Counters run from the sender's start.

#include "core/TableVersion.h"
#include "gateway/RolloutWire.h"
#include "gateway/SuspectWire.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// The state that one instance sends to its peers.
struct InstanceUpdate {
    InstanceId instance;
    FailureDomainId failureDomain;
    std::uint64_t incarnation { 0 };
    std::uint64_t sequence { 0 };
    SettingsVersion settingsVersion;
    std::uint64_t targetsVersion { 0 }; ///< The store's version of the last target change known to the sender; 0 for none.
    std::optional<StoreEpoch> targetsEpoch; ///< Of `targetsVersion`; none from an instance of an earlier release.
    bool readsTargets { false }; ///< The sender follows the targets' table and the store answers it.
    std::optional<Duration> storeCheckAge; ///< Since the store last answered a check by the sender; none without a turn.
    bool isLeaving { false };
    struct TargetWork {
        std::uint32_t target { 0 }; ///< `shortHash` of the id.
        int inProgress { 0 };
    };
    std::vector<TargetWork> targets; ///< Targets at which the sender has requests in progress.
    struct AccountUse {
        std::uint32_t account { 0 }; ///< `shortHash` of the id.
        double admitted { 0 }; ///< Units since the sender's start.
    };
    std::vector<AccountUse> accounts;
    std::vector<std::uint32_t> closedTargets; ///< `shortHash` of the ids of targets that the sender can't reach.
    struct PoolDemand {
        std::uint32_t pool { 0 }; ///< `shortHash` of the id.
        int demand { 0 }; ///< Requests that wait at the sender, weighted by urgency.
        bool operator==(const PoolDemand&) const = default;
    };
    std::vector<PoolDemand> demands; ///< Of the pools with waiting requests.
    std::vector<PoolDemand> arrivals; ///< The same for the requests that arrive in a second.
    struct TargetLimit {
        std::uint32_t target { 0 }; ///< `shortHash` of the id.
        std::optional<double> perSecond; ///< None for the end of a limit.
        Duration age { 0 }; ///< Since the target stated it.
    };
    std::vector<TargetLimit> rateLimits; ///< That targets stated in answers to the sender.
    std::vector<PoolSuspect> suspects; ///< Prompt parts that may crash targets.
    std::vector<RolloutReport> rollouts; ///< Empty where the operator orders none.
};

/// Encodes an update as the bytes of a datagram, and decodes it; nothing for malformed bytes.
///
///     std::optional<InstanceUpdate> update = decodeUpdate(encodeUpdate(own));
std::string encodeUpdate(const InstanceUpdate&);
std::optional<InstanceUpdate> decodeUpdate(std::string_view bytes);

/// Updates that tell the same together and have few accounts each, so that each fits into a datagram. At least one.
///
///     for (const InstanceUpdate& part : splitUpdate(std::move(own)))
///         send(encodeUpdate(part));
std::vector<InstanceUpdate> splitUpdate(InstanceUpdate);

/// The last update received from one instance.
struct ReceivedUpdate {
    std::uint64_t incarnation { 0 }; ///< 0 before the first.
    std::uint64_t earlierIncarnation { 0 }; ///< The previous incarnation; its datagrams may still arrive.
    std::uint64_t sequence { 0 };
    SteadyTime at;
    bool isLive { false };
};

/// True where the update is newer than the last one received. Incarnations are only compared for equality, since the
/// clock that numbers them may have been set back before a restart.
///
///     if (isNewer(received, update)) apply(update);
bool isNewer(const ReceivedUpdate&, const InstanceUpdate&);

/// What the time between two updates depends on.
struct UpdateIntervalInput {
    int livePeers { 0 };
    bool areRequestsWaiting { false }; ///< At this instance or at a peer: outdated counts then cost callers time.
};

/// The time between two updates. It grows with the number of peers, to bound the datagrams that an instance handles.
///
///     updateInterval({ .livePeers = 76, .areRequestsWaiting = true }) < updateInterval({ .livePeers = 76 });
Duration updateInterval(const UpdateIntervalInput&);

struct PeerUpdatesOptions {
    InstanceId self;
    std::string ip;
    int port { 0 }; ///< The same on every instance.
    std::function<void(InstanceUpdate&&, const std::string& ip)> onUpdate; ///< Only called with updates newer than the last one of that peer.
    std::function<void(const InstanceId&)> onPeerTimeout; ///< No update arrived for too long.
};

/// Sends and receives updates, and keeps the list of peers.
class PeerUpdates {
public:
    PeerUpdates(boost::asio::io_context&, const Clock&, PeerUpdatesOptions);

    /// Binds the socket; returns an error text on failure.
    std::optional<std::string> start();

    /// Adds an address that updates are sent to.
    void addPeer(const std::string& ip);

    /// Numbers the update and sends it to all peers.
    void send(InstanceUpdate);

    /// Detects peers that have stopped sending, and drops their addresses after a day. Call it several times a second.
    void tick(SteadyTime now);

    /// The number of peers that have sent updates lately.
    int livePeers() const;

private:
    struct Peer {
        SteadyTime addedAt;
        std::optional<SteadyTime> receivedAt;
        SteadyTime sentAt;
    };

    static SteadyTime lastSeen(const Peer& peer) { return peer.receivedAt.value_or(peer.addedAt); }
    /// Whether an update is due for the peer; silent ones get fewer.
    static bool isDue(const Peer&, SteadyTime now);
    void receive();
    void handleDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint& from);

    const Clock& m_clock;
    PeerUpdatesOptions m_options;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_from;
    std::array<char, 65536> m_buffer {}; ///< Holds the longest datagram.
    std::uint64_t m_sequence { 0 };
    std::map<boost::asio::ip::address, Peer> m_peers;
    std::map<InstanceId, ReceivedUpdate> m_received;
};

} // namespace limpetpond
