#include "gateway/CrashChecks.h"

namespace limpetpond {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr Duration checkTimeout = std::chrono::milliseconds(300); ///< A refusal arrives within one round trip.
    constexpr int maxAttempts = 2;
    constexpr Duration timeBetweenAttempts = std::chrono::milliseconds(50);
    constexpr std::size_t maxChecks = 64; ///< At the same time; further losses aren't checked.
    constexpr std::size_t maxSuspectRequests = 64; ///< Of one target; more than it runs at the same time.

} // namespace

CrashChecks::CrashChecks(asio::io_context& context, const Clock& clock, OnCrash onCrash)
    : m_context(context)
    , m_clock(clock)
    , m_onCrash(std::move(onCrash))
{
}

void CrashChecks::recordLoss(const LostTarget& target, const PromptParts& parts)
{
    auto running = m_checks.find(target.crash);
    if (running != m_checks.end()) {
        if (running->second->suspects.size() < maxSuspectRequests)
            running->second->suspects.push_back(parts);
        return;
    }
    if (m_checks.size() >= maxChecks)
        return;
    auto check = std::make_shared<Check>(
        Check { .target = target, .socket = tcp::socket(m_context), .timer = asio::steady_timer(m_context), .startedAt = m_clock.steadyNow(), .suspects = { parts } });
    m_checks[target.crash] = check;
    connect(check);
}

void CrashChecks::connect(const std::shared_ptr<Check>& check)
{
    ++check->attempts;
    check->socket.async_connect(check->target.endpoint, [this, check](boost::system::error_code error) { onConnected(check, error); });
}

void CrashChecks::onConnected(const std::shared_ptr<Check>& check, boost::system::error_code error)
{
    if (!m_checks.contains(check->target.crash))
        return; // It has timed out.
    boost::system::error_code ignored; // The socket is no longer used.
    check->socket.close(ignored);
    if (!error && check->attempts < maxAttempts) {
        check->timer.expires_after(timeBetweenAttempts);
        check->timer.async_wait([this, check](boost::system::error_code failure) {
            if (!failure && m_checks.contains(check->target.crash))
                connect(check);
        });
        return;
    }
    m_checks.erase(check->target.crash);
    if (error == asio::error::connection_refused || error == asio::error::connection_reset)
        m_onCrash(check->target, check->suspects);
}

void CrashChecks::tick(SteadyTime now)
{
    std::erase_if(m_checks, [now](const auto& entry) {
        if (now - entry.second->startedAt < checkTimeout)
            return false;
        boost::system::error_code ignored; // The attempt ends in any case.
        entry.second->socket.close(ignored);
        entry.second->timer.cancel();
        return true;
    });
}

} // namespace limpetpond
