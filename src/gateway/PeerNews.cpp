#include "gateway/PeerNews.h"

#include "gateway/ThriftBytes.h"
#include "gen/instance_news_types.h"
#include <algorithm>
#include <boost/asio/buffer.hpp>

namespace limpetpond {

namespace asio = boost::asio;

namespace {

    constexpr Duration silentAfter = std::chrono::milliseconds(1500);
    constexpr Duration forgottenAfter = std::chrono::seconds(60); ///< An address that says nothing gets no news any more.
    constexpr Duration shortestInterval = std::chrono::milliseconds(50);
    constexpr Duration intervalForEachPeer = std::chrono::milliseconds(4);
    constexpr Duration longestInterval = std::chrono::milliseconds(500);

    rpc::InstanceNews toWire(const InstanceNews& news)
    {
        rpc::InstanceNews wire;
        wire.instance = news.instance.value();
        wire.incarnation = static_cast<std::int64_t>(news.incarnation);
        wire.sequence = static_cast<std::int64_t>(news.sequence);
        wire.settingsVersion = static_cast<std::int64_t>(news.settingsVersion.value());
        wire.targetsVersion = static_cast<std::int64_t>(news.targetsVersion);
        wire.readsTargets = news.readsTargets;
        wire.leaving = news.isLeaving;
        wire.failureDomain = news.failureDomain.value();
        for (const InstanceNews::TargetWork& work : news.targets) {
            wire.targets.push_back(static_cast<std::int32_t>(work.target));
            wire.inProgress.push_back(static_cast<std::int16_t>(work.inProgress));
        }
        wire.closedTargets.assign(news.closedTargets.begin(), news.closedTargets.end());
        for (const InstanceNews::PoolDemand& demand : news.demands) {
            wire.waitingPools.push_back(static_cast<std::int32_t>(demand.pool));
            wire.demands.push_back(demand.demand);
        }
        for (const InstanceNews::AccountUse& use : news.accounts) {
            wire.accounts.push_back(static_cast<std::int32_t>(use.account));
            wire.admitted.push_back(static_cast<std::int64_t>(use.admitted));
        }
        return wire;
    }

    InstanceNews fromWire(const rpc::InstanceNews& wire)
    {
        InstanceNews news {
            .instance = InstanceId(wire.instance),
            .failureDomain = FailureDomainId(wire.failureDomain),
            .incarnation = static_cast<std::uint64_t>(wire.incarnation),
            .sequence = static_cast<std::uint64_t>(wire.sequence),
            .settingsVersion = SettingsVersion(static_cast<std::uint64_t>(wire.settingsVersion)),
            .targetsVersion = static_cast<std::uint64_t>(wire.targetsVersion),
            .readsTargets = wire.readsTargets,
            .isLeaving = wire.leaving,
        };
        for (std::size_t i = 0; i < std::min(wire.targets.size(), wire.inProgress.size()); ++i)
            news.targets.push_back({ .target = static_cast<std::uint32_t>(wire.targets[i]), .inProgress = wire.inProgress[i] });
        for (std::size_t i = 0; i < std::min(wire.accounts.size(), wire.admitted.size()); ++i)
            news.accounts.push_back({ .account = static_cast<std::uint32_t>(wire.accounts[i]), .admitted = static_cast<double>(wire.admitted[i]) });
        news.closedTargets.assign(wire.closedTargets.begin(), wire.closedTargets.end());
        for (std::size_t i = 0; i < std::min(wire.waitingPools.size(), wire.demands.size()); ++i)
            news.demands.push_back({ .pool = static_cast<std::uint32_t>(wire.waitingPools[i]), .demand = wire.demands[i] });
        return news;
    }

} // namespace

std::string encodeNews(const InstanceNews& news)
{
    return compactBytes(toWire(news));
}

std::optional<InstanceNews> decodeNews(std::string_view bytes)
{
    std::optional<rpc::InstanceNews> wire = fromCompactBytes<rpc::InstanceNews>(bytes);
    if (!wire)
        return std::nullopt;
    return fromWire(*wire);
}

bool isNewer(const HeardNews& heard, const InstanceNews& news)
{
    if (news.incarnation == heard.incarnation)
        return news.sequence > heard.sequence;
    return news.incarnation != heard.earlierIncarnation;
}

PeerNews::PeerNews(asio::io_context& context, const Clock& clock, PeerNewsOptions options)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_socket(context)
{
}

std::optional<std::string> PeerNews::start()
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

void PeerNews::addPeer(const std::string& ip)
{
    boost::system::error_code error;
    asio::ip::address address = asio::ip::make_address(ip, error);
    if (error || ip == m_options.ip)
        return;
    m_peers.try_emplace(address, Peer { .addedAt = m_clock.steadyNow() });
}

void PeerNews::send(const InstanceNews& news)
{
    std::string bytes = encodeNews(news);
    for (const auto& [address, peer] : m_peers) {
        boost::system::error_code ignored; // A datagram that can't leave now is lost like one on the way.
        m_socket.send_to(asio::buffer(bytes), { address, static_cast<unsigned short>(m_options.port) }, 0, ignored);
    }
}

void PeerNews::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_from, [this](boost::system::error_code error, std::size_t count) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            take({ m_buffer.data(), count }, m_from);
        receive();
    });
}

void PeerNews::take(std::string_view bytes, const asio::ip::udp::endpoint& from)
{
    std::optional<InstanceNews> news = decodeNews(bytes);
    if (!news || news->instance == m_options.self)
        return;
    SteadyTime now = m_clock.steadyNow();
    m_peers.try_emplace(from.address(), Peer { .addedAt = now }).first->second.heardAt = now;
    HeardNews& heard = m_heard[news->instance];
    if (!isNewer(heard, *news))
        return;
    std::uint64_t earlier = news->incarnation == heard.incarnation ? heard.earlierIncarnation : heard.incarnation;
    heard = { .incarnation = news->incarnation, .earlierIncarnation = earlier, .sequence = news->sequence, .at = now, .isLive = true };
    m_options.onNews(std::move(*news), from.address().to_string());
}

void PeerNews::tick(SteadyTime now)
{
    for (auto& [instance, heard] : m_heard) {
        if (!heard.isLive || now - heard.at < silentAfter)
            continue;
        heard.isLive = false;
        m_options.onSilent(instance);
    }
    std::erase_if(m_peers, [now](const auto& entry) { return now - entry.second.heardAt.value_or(entry.second.addedAt) > forgottenAfter; });
}

int PeerNews::livePeers() const
{
    return static_cast<int>(std::count_if(m_heard.begin(), m_heard.end(), [](const auto& entry) { return entry.second.isLive; }));
}

Duration PeerNews::interval() const
{
    return std::clamp(intervalForEachPeer * livePeers(), shortestInterval, longestInterval);
}

} // namespace limpetpond
