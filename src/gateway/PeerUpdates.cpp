#include "gateway/PeerUpdates.h"

#include "gateway/ThriftBytes.h"
#include "gen/instance_news_types.h"
#include <algorithm>
#include <boost/asio/buffer.hpp>

namespace limpetpond {

namespace asio = boost::asio;

namespace {

    constexpr Duration peerTimeout = std::chrono::milliseconds(1500);
    constexpr Duration silentAddressAge = std::chrono::seconds(60); ///< An address without a datagram for so long may belong to no instance any more.
    constexpr Duration addressTimeout = std::chrono::hours(24);
    constexpr Duration silentAddressInterval = std::chrono::seconds(5); ///< Between updates to such an address: after a long cut nothing else finds its instance again.
    constexpr Duration minInterval = std::chrono::milliseconds(50);
    constexpr Duration intervalPerPeer = std::chrono::milliseconds(4); ///< 250 datagrams a second in each direction.
    constexpr Duration intervalPerPeerWhileWaiting = std::chrono::microseconds(1300); ///< 770 datagrams a second in each direction.
    constexpr Duration maxInterval = std::chrono::milliseconds(500);

    constexpr std::size_t maxAccountsPerUpdate = 1000; ///< Some 10 KB; instances of an earlier release read 16 KB at most.
    constexpr std::int32_t noRateLimit = -1;

    std::int32_t thousandthsOf(double perSecond)
    {
        constexpr double maxThousandths = 2e9; // Far above any rate that a target can serve.
        return static_cast<std::int32_t>(std::min(1000 * perSecond, maxThousandths));
    }

    std::int32_t millisecondsOf(Duration age)
    {
        constexpr Duration maxAge = std::chrono::hours(24);
        return static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::min(age, maxAge)).count());
    }

    rpc::InstanceNews toWire(const InstanceUpdate& update)
    {
        rpc::InstanceNews wire;
        wire.instance = update.instance.value();
        wire.incarnation = static_cast<std::int64_t>(update.incarnation);
        wire.sequence = static_cast<std::int64_t>(update.sequence);
        wire.settingsVersion = static_cast<std::int64_t>(update.settingsVersion.value());
        wire.targetsVersion = static_cast<std::int64_t>(update.targetsVersion);
        if (update.targetsEpoch)
            wire.__set_targetsEpoch(static_cast<std::int64_t>(update.targetsEpoch->value()));
        wire.readsTargets = update.readsTargets;
        if (update.storeCheckAge)
            wire.__set_storeCheckAge(millisecondsOf(*update.storeCheckAge));
        wire.leaving = update.isLeaving;
        wire.failureDomain = update.failureDomain.value();
        for (const InstanceUpdate::TargetWork& work : update.targets) {
            wire.targets.push_back(static_cast<std::int32_t>(work.target));
            wire.inProgress.push_back(static_cast<std::int16_t>(work.inProgress));
        }
        wire.closedTargets.assign(update.closedTargets.begin(), update.closedTargets.end());
        for (const InstanceUpdate::PoolDemand& demand : update.demands) {
            wire.waitingPools.push_back(static_cast<std::int32_t>(demand.pool));
            wire.demands.push_back(demand.demand);
        }
        for (const InstanceUpdate::PoolDemand& arriving : update.arrivals) {
            wire.activePools.push_back(static_cast<std::int32_t>(arriving.pool));
            wire.arrivals.push_back(arriving.demand);
        }
        for (const InstanceUpdate::AccountUse& use : update.accounts) {
            wire.accounts.push_back(static_cast<std::int32_t>(use.account));
            wire.admitted.push_back(static_cast<std::int64_t>(use.admitted));
        }
        for (const InstanceUpdate::TargetLimit& limit : update.rateLimits) {
            wire.limitedTargets.push_back(static_cast<std::int32_t>(limit.target));
            wire.rateLimits.push_back(limit.perSecond ? thousandthsOf(*limit.perSecond) : noRateLimit);
            wire.limitAges.push_back(millisecondsOf(limit.age));
        }
        for (const PoolSuspect& suspect : update.suspects)
            wire.suspectParts.push_back(limpetpond::toWire(suspect));
        for (const RolloutReport& report : update.rollouts)
            wire.rollouts.push_back(limpetpond::toWire(report));
        wire.__isset.rollouts = !update.rollouts.empty();
        return wire;
    }

    InstanceUpdate fromWire(const rpc::InstanceNews& wire)
    {
        InstanceUpdate update {
            .instance = InstanceId(wire.instance),
            .failureDomain = FailureDomainId(wire.failureDomain),
            .incarnation = static_cast<std::uint64_t>(wire.incarnation),
            .sequence = static_cast<std::uint64_t>(wire.sequence),
            .settingsVersion = SettingsVersion(static_cast<std::uint64_t>(wire.settingsVersion)),
            .targetsVersion = static_cast<std::uint64_t>(wire.targetsVersion),
            .readsTargets = wire.readsTargets,
            .isLeaving = wire.leaving,
        };
        if (wire.__isset.targetsEpoch)
            update.targetsEpoch = StoreEpoch(static_cast<std::uint64_t>(wire.targetsEpoch));
        if (wire.__isset.storeCheckAge)
            update.storeCheckAge = std::chrono::milliseconds(std::max(wire.storeCheckAge, 0));
        for (std::size_t i = 0; i < std::min(wire.targets.size(), wire.inProgress.size()); ++i)
            update.targets.push_back({ .target = static_cast<std::uint32_t>(wire.targets[i]), .inProgress = wire.inProgress[i] });
        for (std::size_t i = 0; i < std::min(wire.accounts.size(), wire.admitted.size()); ++i)
            update.accounts.push_back({ .account = static_cast<std::uint32_t>(wire.accounts[i]), .admitted = static_cast<double>(wire.admitted[i]) });
        update.closedTargets.assign(wire.closedTargets.begin(), wire.closedTargets.end());
        for (std::size_t i = 0; i < std::min(wire.waitingPools.size(), wire.demands.size()); ++i)
            update.demands.push_back({ .pool = static_cast<std::uint32_t>(wire.waitingPools[i]), .demand = wire.demands[i] });
        for (std::size_t i = 0; i < std::min(wire.activePools.size(), wire.arrivals.size()); ++i)
            update.arrivals.push_back({ .pool = static_cast<std::uint32_t>(wire.activePools[i]), .demand = wire.arrivals[i] });
        for (std::size_t i = 0; i < std::min({ wire.limitedTargets.size(), wire.rateLimits.size(), wire.limitAges.size() }); ++i) {
            std::optional<double> perSecond = wire.rateLimits[i] < 0 ? std::nullopt : std::optional(wire.rateLimits[i] / 1000.0);
            update.rateLimits.push_back({ .target = static_cast<std::uint32_t>(wire.limitedTargets[i]), .perSecond = perSecond, .age = std::chrono::milliseconds(std::max(wire.limitAges[i], 0)) });
        }
        for (const rpc::SuspectPart& suspect : wire.suspectParts)
            update.suspects.push_back(limpetpond::fromWire(suspect));
        for (const rpc::RolloutNews& rollout : wire.rollouts) {
            if (std::optional<RolloutReport> report = limpetpond::fromWire(rollout))
                update.rollouts.push_back(std::move(*report));
        }
        return update;
    }

} // namespace

std::string encodeUpdate(const InstanceUpdate& update)
{
    return compactBytes(toWire(update));
}

std::optional<InstanceUpdate> decodeUpdate(std::string_view bytes)
{
    std::optional<rpc::InstanceNews> wire = fromCompactBytes<rpc::InstanceNews>(bytes);
    if (!wire)
        return std::nullopt;
    return fromWire(*wire);
}

std::vector<InstanceUpdate> splitUpdate(InstanceUpdate update)
{
    std::vector<InstanceUpdate::AccountUse> accounts = std::move(update.accounts);
    std::vector<InstanceUpdate> parts;
    std::size_t begin = 0;
    do {
        std::size_t end = std::min(begin + maxAccountsPerUpdate, accounts.size());
        update.accounts.assign(accounts.begin() + static_cast<std::ptrdiff_t>(begin), accounts.begin() + static_cast<std::ptrdiff_t>(end));
        parts.push_back(update);
        begin = end;
    } while (begin < accounts.size());
    return parts;
}

bool isNewer(const ReceivedUpdate& received, const InstanceUpdate& update)
{
    if (update.incarnation == received.incarnation)
        return update.sequence > received.sequence;
    return update.incarnation != received.earlierIncarnation;
}

PeerUpdates::PeerUpdates(asio::io_context& context, const Clock& clock, PeerUpdatesOptions options)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_socket(context)
{
}

std::optional<std::string> PeerUpdates::start()
{
    boost::system::error_code error;
    asio::ip::address ip = asio::ip::make_address(m_options.ip, error);
    if (error)
        return error.message();
    m_socket.open(asio::ip::udp::v4(), error);
    if (!error)
        m_socket.bind({ ip, static_cast<unsigned short>(m_options.port) }, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return error.message();
    receive();
    return std::nullopt;
}

void PeerUpdates::addPeer(const std::string& ip)
{
    boost::system::error_code error;
    asio::ip::address address = asio::ip::make_address(ip, error);
    if (error || ip == m_options.ip)
        return;
    m_peers.try_emplace(address, Peer { .addedAt = m_clock.steadyNow() });
}

void PeerUpdates::send(InstanceUpdate update)
{
    std::vector<InstanceUpdate> parts = splitUpdate(std::move(update));
    std::vector<std::string> datagrams;
    datagrams.reserve(parts.size());
    for (InstanceUpdate& part : parts) {
        part.sequence = ++m_sequence;
        datagrams.push_back(encodeUpdate(part));
    }
    SteadyTime now = m_clock.steadyNow();
    for (auto& [address, peer] : m_peers) {
        if (!isDue(peer, now))
            continue;
        peer.sentAt = now;
        for (const std::string& bytes : datagrams) {
            boost::system::error_code ignored; // A datagram that can't be sent now counts as lost.
            m_socket.send_to(asio::buffer(bytes), { address, static_cast<unsigned short>(m_options.port) }, 0, ignored);
        }
    }
}

bool PeerUpdates::isDue(const Peer& peer, SteadyTime now)
{
    bool isSilent = now - lastSeen(peer) > silentAddressAge;
    return !isSilent || now - peer.sentAt >= silentAddressInterval;
}

void PeerUpdates::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_from, [this](boost::system::error_code error, std::size_t count) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            handleDatagram({ m_buffer.data(), count }, m_from);
        receive();
    });
}

void PeerUpdates::handleDatagram(std::string_view bytes, const asio::ip::udp::endpoint& from)
{
    std::optional<InstanceUpdate> update = decodeUpdate(bytes);
    if (!update || update->instance == m_options.self)
        return;
    SteadyTime now = m_clock.steadyNow();
    m_peers.try_emplace(from.address(), Peer { .addedAt = now }).first->second.receivedAt = now;
    ReceivedUpdate& received = m_received[update->instance];
    if (!isNewer(received, *update))
        return;
    std::uint64_t earlier = update->incarnation == received.incarnation ? received.earlierIncarnation : received.incarnation;
    received = { .incarnation = update->incarnation, .earlierIncarnation = earlier, .sequence = update->sequence, .at = now, .isLive = true };
    m_options.onUpdate(std::move(*update), from.address().to_string());
}

void PeerUpdates::tick(SteadyTime now)
{
    for (auto& [instance, received] : m_received) {
        if (!received.isLive || now - received.at < peerTimeout)
            continue;
        received.isLive = false;
        m_options.onPeerTimeout(instance);
    }
    std::erase_if(m_peers, [now](const auto& entry) { return now - lastSeen(entry.second) > addressTimeout; });
}

int PeerUpdates::livePeers() const
{
    return static_cast<int>(std::count_if(m_received.begin(), m_received.end(), [](const auto& entry) { return entry.second.isLive; }));
}

Duration updateInterval(const UpdateIntervalInput& input)
{
    Duration perPeer = input.areRequestsWaiting ? intervalPerPeerWhileWaiting : intervalPerPeer;
    return std::clamp<Duration>(perPeer * input.livePeers, minInterval, maxInterval);
}

} // namespace limpetpond
