#include "test/soak/Oracle.h"

#include <algorithm>

namespace limpetpond::soak {

/// Time from the acceptance of a change until no instance may act on the previous settings.
constexpr Duration changePropagationLimit = std::chrono::seconds(5);

void Oracle::addViolation(std::string promise, std::string detail, SteadyTime now)
{
    m_violations.push_back({ now, std::move(promise), std::move(detail) });
}

const RequestRecord* Oracle::find(const RequestId& request) const
{
    auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second;
}

KeyRecord& Oracle::keyRecordOf(const RequestArrived& arrival)
{
    return m_keys[{ arrival.account, arrival.key }];
}

void Oracle::requestSent(const RequestArrived& arrival, int instance, std::uint64_t epoch)
{
    m_requests[arrival.request] = { arrival, instance, epoch };
}

void Oracle::requestLost(const RequestId& request)
{
    auto found = m_requests.find(request);
    if (found != m_requests.end())
        found->second.isLost = true;
}

void Oracle::dispatchStarted(const RunningDispatch& dispatch, SettingsVersion used, SteadyTime now)
{
    ++runs;
    RequestRecord& record = m_requests[dispatch.request];
    m_running[dispatch.attempt] = dispatch;
    if (++record.runs > 1)
        addViolation("at_most_once", dispatch.request.value() + " was dispatched twice", now);
    if (record.answers && record.outcome == Outcome::NotRun)
        addViolation("not_run", dispatch.request.value() + " ran after it was answered as not run", now);
    if (!record.arrival.idempotent) {
        KeyRecord& key = keyRecordOf(record.arrival);
        if (++key.runs > 1)
            addViolation("non_idempotent_once", record.arrival.key.value() + " ran twice", now);
        if (key.notRunToken > record.arrival.retryToken)
            addViolation("not_run", record.arrival.key.value() + " ran after it was answered as not run", now);
        key.ranToken = record.arrival.retryToken;
        key.ranBody = std::to_string(record.arrival.bodyHash);
    }
    if (now < m_storeStaleUntil)
        return;
    const TargetRecord& target = m_targets[dispatch.target];
    if (target.isLeaving && now > target.acceptedAt + changePropagationLimit)
        addViolation("leaving", dispatch.request.value() + " was dispatched to leaving " + dispatch.target.value(), now);
    if (target.isReportedEmpty)
        addViolation("leaving", dispatch.request.value() + " was dispatched to empty " + dispatch.target.value(), now);
    auto last = std::find_if(m_acceptedVersions.rbegin(), m_acceptedVersions.rend(), [&](const auto& entry) { return now > entry.second + changePropagationLimit; });
    if (last != m_acceptedVersions.rend() && used < last->first)
        addViolation("settings", dispatch.request.value() + " was dispatched on an old version", now);
}

void Oracle::dispatchEnded(const AttemptId& attempt)
{
    m_running.erase(attempt);
}

void Oracle::callerAnswered(const FinalAnswer& answer, SteadyTime now)
{
    RequestRecord& record = m_requests[answer.request];
    if (++record.answers > 1)
        addViolation("one_answer", answer.request.value() + " was answered twice", now);
    record.outcome = answer.outcome;
    record.reason = answer.reason;
    completed += answer.outcome == Outcome::Completed;
    notRun += answer.outcome == Outcome::NotRun;
    unknown += answer.outcome == Outcome::Unknown;
    bool isOwnAnswer = answer.storedAnswer.empty() || answer.storedAnswer == std::to_string(record.arrival.bodyHash);
    if (!isOwnAnswer)
        addViolation("whole_answer", answer.request.value() + " got the answer of another body", now);
    if (answer.outcome == Outcome::Completed && answer.storedAnswer.empty() && !record.runs)
        addViolation("whole_answer", answer.request.value() + " counts as completed and never ran", now);
    if (answer.outcome != Outcome::NotRun)
        return;
    if (record.runs)
        addViolation("not_run", answer.request.value() + " ran and was answered as not run", now);
    if (record.arrival.idempotent || answer.reason == Reason::KeyReused)
        return;
    KeyRecord& key = keyRecordOf(record.arrival);
    if (key.runs && key.ranToken < answer.retryToken)
        addViolation("not_run", record.arrival.key.value() + " ran and was answered as not run", now);
    key.notRunToken = std::max(key.notRunToken, answer.retryToken);
}

void Oracle::versionApplied(int instance, std::uint64_t epoch, SettingsVersion version, SteadyTime now)
{
    SettingsVersion& last = m_versions[{ instance, epoch }];
    if (version < last)
        addViolation("settings", "instance " + std::to_string(instance) + " went back to an older version", now);
    last = version;
}

void Oracle::changeAccepted(SettingsVersion version, SteadyTime now)
{
    m_acceptedVersions.try_emplace(version, now);
}

void Oracle::markChanging(const TargetId& target)
{
    m_targets[target] = {};
}

void Oracle::markAccepted(const TargetId& target, bool isLeaving, SteadyTime now)
{
    m_targets[target] = { isLeaving, now, false };
}

void Oracle::targetReportedEmpty(const TargetId& target, SteadyTime now)
{
    m_targets[target].isReportedEmpty = true;
    for (const auto& [attempt, dispatch] : m_running) {
        if (dispatch.target == target)
            addViolation("shutdown", target.value() + " counts as empty while " + dispatch.request.value() + " runs there", now);
    }
}

void Oracle::commandAccepted(
    const TargetId& target, bool checksFencing, int instance, FencingNumber number, SteadyTime now, SteadyTime effectEndsAt)
{
    CommandRecord& last = m_commands[target];
    bool isOtherHolder = last.instance >= 0 && last.instance != instance;
    if (isOtherHolder && number <= last.number)
        addViolation("orders", target.value() + " took an order of an earlier holder", now);
    if (isOtherHolder && !checksFencing && last.effectEndsAt > now)
        addViolation("orders", target.value() + " took orders of two holders at once", now);
    last = { number, instance, effectEndsAt };
}

void Oracle::pieceMismatch(SteadyTime now)
{
    addViolation("whole_answer", "an answer was passed on with pieces missing, repeated or foreign", now);
}

void Oracle::invariantViolated(std::string name, SteadyTime now)
{
    addViolation("invariant " + std::move(name), "inside the core", now);
}

void Oracle::finish(const std::set<std::pair<int, std::uint64_t>>& liveProcesses, SteadyTime now)
{
    for (const auto& [request, record] : m_requests) {
        if (!record.answers && !record.isLost && liveProcesses.contains({ record.instance, record.epoch }))
            addViolation("one_answer", request.value() + " of " + record.arrival.pool.value() + ", tier " + std::to_string(record.arrival.tier.level) + ", at instance " + std::to_string(record.instance) + " never got an answer; runs " + std::to_string(record.runs), now);
    }
}

} // namespace limpetpond::soak
