/// Which targets get requests during a rollout, and what their answers say about the versions.

#include "gateway/RolloutNames.h"
#include "gateway/Rollouts.h"
#include <algorithm>

namespace limpetpond {

namespace {

    /// What an attempt's end says about the target's version; nothing for ends with other reasons. A lost connection is a failure of the
    /// single target or of the network, so it isn't counted.
    std::optional<RolloutAnswer> answerOf(const Exchange& exchange, std::optional<AttemptEnd> end, bool asksForPause, SteadyTime now)
    {
        RolloutAnswer answer;
        if (!end) {
            answer.isGivenUp = now >= exchange.facts().deadline;
            return answer.isGivenUp ? std::optional(answer) : std::nullopt;
        }
        switch (*end) {
        case AttemptEnd::Answered:
            return answer;
        case AttemptEnd::FailedAnswer:
        case AttemptEnd::BadAnswer:
            answer.isFailure = true;
            return asksForPause ? std::nullopt : std::optional(answer);
        case AttemptEnd::Stalled:
            answer.isGivenUp = true;
            return answer;
        case AttemptEnd::NotRun:
        case AttemptEnd::WrongTarget:
        case AttemptEnd::NotConnected:
        case AttemptEnd::Broken:
            return std::nullopt;
        }
        return std::nullopt;
    }

} // namespace

void Rollouts::onTargetsChanged()
{
    if (!m_options.isEnabled)
        return;
    SteadyTime now = m_clock.steadyNow();
    if (!m_targetsKnownAt && m_pools.targets())
        m_targetsKnownAt = now;
    for (auto& [id, pool] : m_pools.all()) {
        if (!pool.targets.empty() || m_states.contains(pool.hash))
            checkVersions(stateOf(pool), now);
    }
}

void Rollouts::checkVersions(PoolRollouts& state, SteadyTime now)
{
    if (m_hasReadRows) {
        std::vector<VersionedTarget> entries;
        entries.reserve(state.pool->targets.size());
        for (const TargetState& target : state.pool->targets)
            entries.push_back({ .version = target.entry.version, .startedAt = target.entry.startedAt });
        if (updateVersions(state.versions.known, entries, now)) {
            state.versions.changedAt = now;
            logVersions(state, "entries");
        }
    }
    updateTargets(state);
}

void Rollouts::logVersions(const PoolRollouts& state, std::string_view source)
{
    m_log.line("info", "versions_changed",
        { { "pool", state.pool->id.value() }, { "established", joinedVersions(state.versions.known.established) }, { "excluded", joinedVersions(state.versions.known.excluded) }, { "source", source } });
}

bool Rollouts::isOnlyEstablished(const PoolRollouts& state) const
{
    const std::set<TargetVersion>& established = state.versions.known.established;
    return established.size() == 1 && established.contains(state.current->rollout.order.to);
}

void Rollouts::updateTargets(PoolRollouts& state)
{
    const TargetVersions& known = state.versions.known;
    std::vector<TargetState>& targets = state.pool->targets;
    bool isRunning = state.current && !isFinal(state.current->rollout.position.phase) && !isOnlyEstablished(state);
    std::vector<SampleCandidate> candidates;
    std::vector<std::size_t> indices; ///< Of the candidates in `targets`.
    for (std::size_t i = 0; i < targets.size(); ++i) {
        TargetState& target = targets[i];
        const TargetVersion& version = target.entry.version;
        bool isNew = isRunning && version == state.current->rollout.order.to;
        target.isSample = false;
        target.isVersionAllowed = m_hasReadRows && known.established.contains(version);
        if (!isRunning)
            continue;
        const RolloutPosition& position = state.current->rollout.position;
        if (position.isStopped)
            target.isVersionAllowed = target.isVersionAllowed && !isNew;
        else if (position.phase == RolloutPhase::Switch)
            target.isVersionAllowed = m_hasReadRows && isNew;
        else if (position.phase != RolloutPhase::NotStarted && !target.entry.isDraining && (isNew || known.established.contains(version))) {
            candidates.push_back({ .hash = state.pool->connections[i].hash, .isNew = isNew });
            indices.push_back(i);
            target.isVersionAllowed = target.isVersionAllowed && !isNew;
        }
    }
    if (candidates.empty())
        return;
    const Rollout& rollout = state.current->rollout;
    std::vector<std::size_t> samples = rollout.position.phase == RolloutPhase::Load
        ? loadTargets(candidates, m_options.limits, m_clock.steadyNow() - rollout.orderedAt)
        : sampleTargets(candidates, m_options.limits);
    for (std::size_t position : samples) {
        if (position >= indices.size() || !candidates[position].isNew)
            continue;
        TargetState& target = targets[indices[position]];
        target.isSample = true;
        target.isVersionAllowed = m_hasReadRows;
    }
}

bool Rollouts::mayUsePool(const PoolState& pool) const
{
    const PoolRollouts* state = findState(pool.hash);
    return !state || !state->current || limpetpond::mayUsePool(state->current->rollout, m_pools.peers() + 1, m_clock.steadyNow());
}

bool Rollouts::triesSamplesFirst(const PoolState& pool, const Exchange& exchange) const
{
    const PoolRollouts* state = findState(pool.hash);
    if (!state || !state->current)
        return false;
    const Current& current = *state->current;
    const RolloutPosition& position = current.rollout.position;
    bool hasSamples = !position.isStopped && (position.phase == RolloutPhase::Sample || position.phase == RolloutPhase::Load);
    return hasSamples && chooseVersions(position, current.share, m_options.limits, shortHash(exchange.facts().route->name)) == RolloutChoice::NewFirst;
}

void Rollouts::recordSend(const Exchange& exchange, const PoolState& pool, const TargetState& target)
{
    if (!m_options.isEnabled)
        return;
    auto found = m_states.find(pool.hash);
    if (found == m_states.end())
        return;
    PoolRollouts& state = found->second;
    const TargetVersion& version = target.entry.version;
    m_attempts[exchange.ticket()] = { .pool = pool.hash, .target = shortHash(target.entry.id.value()), .version = version, .sentAt = m_clock.steadyNow() };
    ++state.inProgress[version];
    if (!state.current || isFinal(state.current->rollout.position.phase))
        return;
    bool isToNew = version == state.current->rollout.order.to;
    limpetpond::recordSend(state.current->share, isToNew, shortHash(exchange.facts().route->name));
    if (isToNew)
        m_metrics.rolloutSends.add();
}

void Rollouts::recordEnd(const Exchange& exchange, std::optional<AttemptEnd> end, bool asksForPause)
{
    auto attempt = m_attempts.extract(exchange.ticket());
    if (attempt.empty())
        return;
    const SentAttempt& sent = attempt.mapped();
    PoolRollouts& state = m_states.at(sent.pool);
    if (auto running = state.inProgress.find(sent.version); --running->second <= 0)
        state.inProgress.erase(running);
    if (!state.current)
        return;
    const Rollout& rollout = state.current->rollout;
    if (isFinal(rollout.position.phase) || sent.sentAt < rollout.orderedAt)
        return;
    SteadyTime now = m_clock.steadyNow();
    std::optional<RolloutAnswer> answer = answerOf(exchange, end, asksForPause, now);
    if (!answer)
        return;
    answer->route = shortHash(exchange.facts().route->name);
    if (sent.version == rollout.order.to)
        answer->newTarget = sent.target;
    answer->time = now - sent.sentAt;
    recordAnswer(state.current->counts, *answer);
}

int Rollouts::oldInProgress(const PoolRollouts& state) const
{
    int sum = 0;
    for (const auto& [version, running] : state.inProgress) {
        if (version != state.current->rollout.order.to)
            sum += running;
    }
    return sum;
}

} // namespace limpetpond
