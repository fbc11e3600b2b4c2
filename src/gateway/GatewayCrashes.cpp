/// The gateway's handling of targets that crash, and of the prompt parts that crash them.

#include "gateway/Gateway.h"

#include <algorithm>

namespace limpetpond {

namespace {

    constexpr Duration minQuarantineRetryAfter = std::chrono::seconds(1);
    constexpr Duration maxQuarantineRetryAfter = std::chrono::seconds(60); ///< A caller that has waited for longer may as well ask again.
    constexpr int firstNoSuccessStatus = 300;
    constexpr std::size_t maxDispatchCandidates = 6; ///< Requests examined from the head of the queue.
    constexpr std::size_t maxProbeCandidates = 256; ///< While crashing parts are suspected: requests that are kept back must not hide those behind them.

    bool isSuccess(const Exchange& exchange) { return exchange.answerStatus() < firstNoSuccessStatus; }

    CrashId crashIdOf(const TargetEntry& entry) { return CrashId(shortHash(entry.id.value() + "/" + std::to_string(entry.startedAt))); }

} // namespace

std::optional<Gateway::QuarantinedPart> Gateway::findQuarantinedPart(PoolState& pool, const RequestFacts& facts)
{
    if (pool.crashingParts.suspects.empty())
        return std::nullopt;
    if (std::optional<PromptPart> part = findQuarantined(pool.crashingParts, facts.promptParts))
        return QuarantinedPart { .pool = &pool, .part = *part };
    // A route may send to several pools, of which each gets only a share of the requests with the part.
    for (auto& [id, other] : m_pools.all()) {
        std::optional<PromptPart> part = findQuarantined(other.crashingParts, facts.promptParts);
        if (part && hasCrashed(pool.crashingParts, *part))
            return QuarantinedPart { .pool = &other, .part = *part };
    }
    return std::nullopt;
}

std::optional<Duration> Gateway::quarantineTime(PoolState& pool, const RequestFacts& facts, SteadyTime now)
{
    std::optional<QuarantinedPart> found = findQuarantinedPart(pool, facts);
    if (!found)
        return std::nullopt;
    Duration time = timeToTrial(found->pool->crashingParts, found->part, m_pools.turnOf(found->part.value()), now);
    return time > Duration::zero() ? std::optional(time) : std::nullopt;
}

void Gateway::refuseQuarantined(Exchange& exchange, Duration quarantineTime)
{
    Duration retryAfter = std::clamp<Duration>(quarantineTime, minQuarantineRetryAfter, maxQuarantineRetryAfter);
    finishWithFailure(exchange, { .reason = "crashing_prompt_part", .isQuarantined = true, .retryAfter = retryAfter });
}

ProbePermission Gateway::probePermissionOf(PoolState& pool, const RequestFacts& facts, SteadyTime now)
{
    if (!pool.crashingParts.hasCrashedBeforeAnswers)
        return {};
    ProbeTurn turn { .turn = m_pools.turnOf(pool.hash), .instances = instances(), .targets = static_cast<int>(pool.targets.size()) };
    return probePermission(pool.crashingParts, facts.promptParts, turn, now);
}

std::optional<std::size_t> Gateway::chooseProbeTarget(const PoolState& pool, const Exchange& exchange, int position, SteadyTime now) const
{
    std::vector<TargetId> avoid;
    avoid.reserve(pool.targets.size());
    for (const TargetState& target : pool.targets)
        avoid.push_back(target.entry.id);
    std::sort(avoid.begin(), avoid.end());
    auto own = avoid.begin() + position;
    const std::vector<TargetId>& tried = exchange.triedTargets();
    if (std::find(tried.begin(), tried.end(), *own) != tried.end())
        return std::nullopt;
    avoid.erase(own);
    return limpetpond::chooseTarget(pool.targets, targetSelectionInput(pool, exchange, &avoid, now), now);
}

std::vector<WaitTicket> Gateway::dispatchCandidates(PoolState& pool, SteadyTime now)
{
    if (!pool.crashingParts.hasCrashedBeforeAnswers)
        return firstWaiting(pool.queue, maxDispatchCandidates, now);
    std::vector<std::pair<std::size_t, WaitTicket>> candidates;
    for (WaitTicket ticket : firstWaiting(pool.queue, maxProbeCandidates, now))
        candidates.emplace_back(crashRisk(pool.crashingParts, m_exchanges.at(ticket)->facts().promptParts), ticket);
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<WaitTicket> tickets;
    tickets.reserve(candidates.size());
    for (const auto& [risk, ticket] : candidates)
        tickets.push_back(ticket);
    return tickets;
}

void Gateway::recordPromptOutcome(const Exchange& exchange, const Attempt& attempt, AttemptEnd end, SteadyTime now)
{
    const RequestFacts& facts = exchange.facts();
    PoolState& pool = m_pools.pool(facts.pool);
    // A crash ends a stream without a length like a whole one.
    bool mayBeCut = exchange.isStreaming() && exchange.endsWithConnection();
    bool isWhole = end == AttemptEnd::Answered && isSuccess(exchange) && !mayBeCut;
    if (isWhole || attempt.events > maxEventsOfSuspect) {
        for (PromptPart part : recordAnswer(pool.crashingParts, facts.promptParts, now))
            m_log.line("info", "prompt_part_cleared", { { "request", facts.id }, { "pool", pool.id.value() }, { "part", std::string_view(promptPartText(part)) } });
        return;
    }
    bool isLost = end == AttemptEnd::Broken || (end == AttemptEnd::Answered && mayBeCut);
    if (!isLost || facts.promptParts.empty())
        return;
    const TargetState* target = m_pools.findTarget(attempt.target);
    if (!target)
        return;
    std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(target->entry.address);
    if (endpoint)
        m_crashChecks.recordLoss({ .id = attempt.target, .pool = facts.pool, .crash = crashIdOf(target->entry), .endpoint = *endpoint }, facts.promptParts);
}

void Gateway::onTargetCrash(const LostTarget& target, const std::vector<PromptParts>& suspects)
{
    m_metrics.targetCrashes.add();
    m_log.line("warning", "target_crashed", { { "target", target.id.value() }, { "suspect_requests", static_cast<std::int64_t>(suspects.size()) } });
    PoolState& pool = m_pools.pool(target.pool);
    SteadyTime now = m_clock.steadyNow();
    recordCrash(pool.crashingParts, { .id = target.crash, .at = now }, suspects);
    checkQuarantines(pool, now);
}

/// Logs the parts whose quarantine has begun or ended since the last call, and forgets old suspicions.
void Gateway::checkQuarantines(PoolState& pool, SteadyTime now)
{
    if (pool.crashingParts.suspects.empty() && pool.loggedQuarantines.empty())
        return;
    expireSuspects(pool.crashingParts, now);
    const PromptParts& quarantined = pool.crashingParts.quarantined;
    auto logChanges = [&](const PromptParts& before, const PromptParts& after, std::string_view event) {
        for (PromptPart part : after) {
            if (std::find(before.begin(), before.end(), part) == before.end())
                m_log.line("warning", event, { { "pool", pool.id.value() }, { "part", std::string_view(promptPartText(part)) } });
        }
    };
    logChanges(pool.loggedQuarantines, quarantined, "prompt_part_quarantined");
    logChanges(quarantined, pool.loggedQuarantines, "prompt_part_released");
    pool.loggedQuarantines = quarantined;
}

PoolState* Gateway::findPool(std::uint32_t hash)
{
    for (auto& [id, pool] : m_pools.all()) {
        if (pool.hash == hash)
            return &pool;
    }
    return nullptr;
}

std::vector<PoolRowChange> Gateway::takeSuspectRowChanges()
{
    std::vector<PoolRowChange> changes;
    for (auto& [id, pool] : m_pools.all()) {
        for (SuspectRowChange& change : takeRowChanges(pool.crashingParts, m_clock.steadyNow()))
            changes.push_back({ .suspect = { .pool = pool.hash, .report = std::move(change.report) }, .isCleared = change.isCleared });
    }
    return changes;
}

void Gateway::recordStoredSuspects(const std::set<std::string>& keys)
{
    for (auto& [id, pool] : m_pools.all()) {
        for (PromptPart part : storedParts(pool.crashingParts)) {
            if (!keys.contains(suspectRowKey(pool.hash, part)))
                recordLostRow(pool.crashingParts, part);
        }
    }
}

void Gateway::applyStoredSuspect(const PoolSuspect& suspect)
{
    if (PoolState* pool = findPool(suspect.pool))
        mergeStoredSuspect(pool->crashingParts, suspect.report, m_clock.steadyNow());
}

} // namespace limpetpond
