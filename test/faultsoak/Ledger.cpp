#include "test/faultsoak/Ledger.h"

namespace limpetpond::faultsoak {

void Ledger::noteSent()
{
    std::lock_guard lock(m_mutex);
    ++m_counts.sent;
}

void Ledger::noteRun(const std::string& request, bool mayRunAgain, const std::string& target)
{
    std::lock_guard lock(m_mutex);
    Request& known = m_requests[request];
    ++known.runs;
    if (known.runs > 1 && !mayRunAgain)
        violateLocked("at most once", request + " ran again, at " + target);
    if (known.isRefused)
        violateLocked("a refusal is true", request + " ran at " + target + " after its caller was told that it would not");
}

void Ledger::noteRefused(const std::string& request, int status, bool hasRetryAfter)
{
    std::lock_guard lock(m_mutex);
    ++m_counts.refused;
    Request& known = m_requests[request];
    known.isRefused = true;
    if (known.runs)
        violateLocked("a refusal is true", request + " got " + std::to_string(status) + " though it had run");
    if (!hasRetryAfter)
        violateLocked("a refusal says when to come back", request + " got " + std::to_string(status) + " without Retry-After");
}

void Ledger::noteServed(const std::string& request)
{
    std::lock_guard lock(m_mutex);
    ++m_counts.served;
    if (!m_requests[request].runs)
        violateLocked("answers are the target's", request + " got a success though no target ran it");
}

void Ledger::noteFailed(bool wasCut)
{
    std::lock_guard lock(m_mutex);
    ++(wasCut ? m_counts.cut : m_counts.failed);
}

void Ledger::violate(std::string promise, std::string detail)
{
    std::lock_guard lock(m_mutex);
    violateLocked(std::move(promise), std::move(detail));
}

void Ledger::violateLocked(std::string promise, std::string detail)
{
    m_violations.push_back({ .promise = std::move(promise), .detail = std::move(detail) });
}

std::vector<Violation> Ledger::violations() const
{
    std::lock_guard lock(m_mutex);
    return m_violations;
}

Counts Ledger::counts() const
{
    std::lock_guard lock(m_mutex);
    return m_counts;
}

} // namespace limpetpond::faultsoak
