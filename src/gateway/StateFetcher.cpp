#include "gateway/StateFetcher.h"

namespace limpetpond {

namespace {

    constexpr Duration storeGoesFirst = std::chrono::milliseconds(700); ///< A store that answers is read by then.
    constexpr Duration betweenAsks = std::chrono::milliseconds(300);
    constexpr Duration askTime = std::chrono::milliseconds(1000);

} // namespace

StateFetcher::StateFetcher(boost::asio::io_context& context, const Clock& clock, StateFetcherOptions options)
    : m_options(std::move(options))
    , m_call(context, clock, [this](const SmallCallEnd& end) { onCallEnd(end); })
    , m_nextAskAt(clock.steadyNow() + storeGoesFirst)
{
}

void StateFetcher::tick(SteadyTime now, bool isWanted)
{
    m_call.tick(now);
    if (isWanted && !m_call.isInProgress() && now >= m_nextAskAt)
        askNext(now);
}

void StateFetcher::askNext(SteadyTime now)
{
    m_nextAskAt = now + betweenAsks;
    std::vector<std::string> addresses = m_options.addresses();
    if (addresses.empty())
        return;
    const std::string& address = addresses[m_asked++ % addresses.size()];
    std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(address + ":" + std::to_string(m_options.peerPort));
    if (endpoint)
        m_call.start(*endpoint, getText(statePath, address), askTime);
}

void StateFetcher::onCallEnd(const SmallCallEnd& end)
{
    if (!end.isOk())
        return; // The next one is asked soon: a peer may be starting itself.
    if (std::optional<StateCopy> state = decodeState(end.body))
        m_options.onState(*state);
}

} // namespace limpetpond
