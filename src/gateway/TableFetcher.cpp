#include "gateway/TableFetcher.h"

namespace limpetpond {

namespace {

    constexpr Duration requestInterval = std::chrono::milliseconds(200);
    constexpr Duration requestTimeout = std::chrono::milliseconds(800);

} // namespace

TableFetcher::TableFetcher(boost::asio::io_context& context, const Clock& clock, TableFetcherOptions options)
    : m_options(std::move(options))
    , m_call(context, clock, [this](const TimedHttpCallResult& result) { onCallDone(result); })
    , m_nextRequestAt(clock.steadyNow())
{
}

void TableFetcher::tick(const TableVersion& ownVersion, Duration maxLag, SteadyTime now)
{
    m_call.tick(now);
    recordOwnVersion(m_versionLag, ownVersion);
    if (m_call.isInProgress() || now < m_nextRequestAt || !limpetpond::isBehind(m_versionLag, now, maxLag))
        return;
    m_nextRequestAt = now + requestInterval;
    std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(m_versionLag.aheadPeer + ":" + std::to_string(m_options.peerPort));
    if (endpoint)
        m_call.start(*endpoint, getRequestText(m_options.path + "/" + versionText(ownVersion), m_versionLag.aheadPeer), requestTimeout);
}

void TableFetcher::onCallDone(const TimedHttpCallResult& result)
{
    if (!result.isOk())
        return; // A later tick requests the rows again.
    if (std::optional<TableDelta> delta = decodeDelta(result.body, m_versionLag.own.epoch))
        m_options.onDelta(*delta);
}

} // namespace limpetpond
