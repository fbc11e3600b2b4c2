#include "test/faultsoak/OutcomeChecker.h"

namespace limpetpond::faultsoak {

void OutcomeChecker::recordSent()
{
    std::lock_guard lock(m_mutex);
    ++m_counts.sent;
}

void OutcomeChecker::recordRun(const std::string& request, bool mayRunAgain, const std::string& target)
{
    std::lock_guard lock(m_mutex);
    Request& known = m_requests[request];
    ++known.runs;
    if (known.runs > 1 && !mayRunAgain)
        recordViolationLocked("at most once", request + " ran again, at " + target);
    if (known.isRejected)
        recordViolationLocked("a refusal is true", request + " ran at " + target + " after its caller had received a refusal");
}

void OutcomeChecker::recordRejected(const std::string& request, int status, bool hasRetryAfter)
{
    std::lock_guard lock(m_mutex);
    ++m_counts.rejected;
    Request& known = m_requests[request];
    known.isRejected = true;
    if (known.runs)
        recordViolationLocked("a refusal is true", request + " got " + std::to_string(status) + " although it had run");
    if (!hasRetryAfter)
        recordViolationLocked("a refusal says when to come back", request + " got " + std::to_string(status) + " without Retry-After");
}

void OutcomeChecker::recordServed(const std::string& request)
{
    std::lock_guard lock(m_mutex);
    ++m_counts.served;
    if (!m_requests[request].runs)
        recordViolationLocked("answers are the target's", request + " got a success although no target ran it");
}

void OutcomeChecker::recordFailed(bool isIncomplete)
{
    std::lock_guard lock(m_mutex);
    ++(isIncomplete ? m_counts.incomplete : m_counts.failed);
}

void OutcomeChecker::recordViolation(std::string guarantee, std::string detail)
{
    std::lock_guard lock(m_mutex);
    recordViolationLocked(std::move(guarantee), std::move(detail));
}

void OutcomeChecker::recordViolationLocked(std::string guarantee, std::string detail)
{
    m_violations.push_back({ .guarantee = std::move(guarantee), .detail = std::move(detail) });
}

std::vector<Violation> OutcomeChecker::violations() const
{
    std::lock_guard lock(m_mutex);
    return m_violations;
}

Counts OutcomeChecker::counts() const
{
    std::lock_guard lock(m_mutex);
    return m_counts;
}

} // namespace limpetpond::faultsoak
