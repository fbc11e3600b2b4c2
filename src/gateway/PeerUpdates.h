#pragma once

/// Load update between instances: one small datagram to each peer several times a second.
///
/// A lost datagram does no harm: each one carries the whole state, and counts since the sender's start.

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

/// What one instance tells the others.
struct InstanceUpdate {
    InstanceId instance;
    FailureDomainId failureDomain;
    std::uint64_t incarnation { 0 };
    std::uint64_t sequence { 0 };
    SettingsVersion settingsVersion;
    std::uint64_t targetsVersion { 0 }; ///< The store's version of the last change of a target known to the sender; 0 for none.
    bool readsTargets { false }; ///< The sender follows the targets' table, and the store answers it.
    bool isLeaving { false };
    struct TargetWork {
        std::uint32_t target { 0 }; ///< `shortHash` of the id.
        int inProgress { 0 };
    };
    std::vector<TargetWork> targets; ///< Those with work of the sender.
    struct AccountUse {
        std::uint32_t account { 0 }; ///< `shortHash` of the id.
        double admitted { 0 }; ///< Units since the sender's start.
    };
    std::vector<AccountUse> accounts;
    std::vector<std::uint32_t> closedTargets; ///< `shortHash` of the ids of targets that the sender can't reach.
    struct PoolDemand {
        std::uint32_t pool { 0 }; ///< `shortHash` of the id.
        int demand { 0 }; ///< Requests that wait at the sender, the urgent ones counted several times.
        bool operator==(const PoolDemand&) const = default;
    };
    std::vector<PoolDemand> demands;
};

/// The bytes of one datagram and back; nothing where they can't be read.
///
///     std::optional<InstanceUpdate> update = decodeUpdate(encodeUpdate(own));
std::string encodeUpdate(const InstanceUpdate&);
std::optional<InstanceUpdate> decodeUpdate(std::string_view bytes);

/// What was taken in of one instance.
struct ReceivedUpdate {
    std::uint64_t incarnation { 0 }; ///< 0 before any.
    std::uint64_t earlierIncarnation { 0 }; ///< The one before; its datagrams may still be on their way.
    std::uint64_t sequence { 0 };
    SteadyTime at;
    bool isLive { false };
};

/// True where the update are newer than what was taken in. Incarnations are compared for being the same only: the
/// clock that names them may have been set back before a restart.
///
///     if (isNewer(received, update)) takeIn(update);
bool isNewer(const ReceivedUpdate&, const InstanceUpdate&);

struct PeerUpdatesOptions {
    InstanceId self;
    std::string ip;
    int port { 0 }; ///< The same on every instance.
    std::function<void(InstanceUpdate&&, const std::string& ip)> onUpdate; ///< Newer than what came from that peer before.
    std::function<void(const InstanceId&)> onPeerTimeout; ///< The peer sends nothing any more.
};

/// The socket, and who is known to be there.
class PeerUpdates {
public:
    PeerUpdates(boost::asio::io_context&, const Clock&, PeerUpdatesOptions);

    /// Binds the socket; an error text where that fails.
    std::optional<std::string> start();

    /// Adds an address to send to.
    void addPeer(const std::string& ip);

    void send(const InstanceUpdate&);

    /// Finds peers that fell silent.
    void tick(SteadyTime now);

    /// Peers received from lately.
    int livePeers() const;

    /// How often update should be sent, so that many instances don't spend much on each other.
    Duration interval() const;

private:
    void receive();
    void handleDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint& from);

    struct Peer {
        SteadyTime addedAt;
        std::optional<SteadyTime> receivedAt;
    };

    const Clock& m_clock;
    PeerUpdatesOptions m_options;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_from;
    std::array<char, 16384> m_buffer {};
    std::map<boost::asio::ip::address, Peer> m_peers;
    std::map<InstanceId, ReceivedUpdate> m_received;
};

} // namespace limpetpond
