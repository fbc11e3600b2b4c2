#include "gateway/Rollouts.h"

#include "core/Hash.h"
#include "gateway/RolloutNames.h"
#include <algorithm>
#include <utility>

namespace limpetpond {

namespace {

    constexpr Duration judgeInterval = std::chrono::milliseconds(200); ///< Counts of peers arrive less often.
    constexpr Duration versionCheckInterval = std::chrono::milliseconds(200);
    /// An instance that can't read the rows goes by its targets' entries after this time.
    constexpr Duration rowsTimeout = std::chrono::seconds(3);
    /// An instance that has started so recently has no part in the slack: it may have been given out before, to its earlier incarnation.
    constexpr Duration startTime = std::chrono::seconds(2);
    constexpr Duration writeRetryInterval = std::chrono::milliseconds(500);
    /// Each update reports a final state for this long, and after that only updates with `ReportScope::All` do.
    constexpr Duration finalReportTime = std::chrono::seconds(3);
    constexpr Duration silentAge = std::chrono::milliseconds(1500); ///< Three intervals between updates, at their longest.
    constexpr std::size_t maxEndedOrders = 16; ///< Remembered for each pool.

    /// Converts a number to the type of a log field.
    std::int64_t count(std::int64_t number) { return number; }

} // namespace

Rollouts::Rollouts(boost::asio::io_context& context, const Clock& clock, Pools& pools, GatewayMetrics& metrics, RateLimitedLog& log, RolloutsOptions options)
    : m_clock(clock)
    , m_pools(pools)
    , m_metrics(metrics)
    , m_log(log)
    , m_options(std::move(options))
    , m_selfHash(shortHash(m_options.self.value()))
    , m_writer(context, clock, m_options.store)
    , m_startedAt(clock.steadyNow())
{
}

Rollouts::PoolRollouts& Rollouts::stateOf(PoolState& pool)
{
    PoolRollouts& state = m_states[pool.hash];
    state.pool = &pool;
    return state;
}

const Rollouts::PoolRollouts* Rollouts::findState(std::uint32_t pool) const
{
    auto found = m_states.find(pool);
    return found == m_states.end() ? nullptr : &found->second;
}

PoolState* Rollouts::findPool(std::uint32_t hash)
{
    if (const PoolRollouts* state = findState(hash))
        return state->pool;
    for (auto& [id, pool] : m_pools.all()) {
        if (pool.hash == hash)
            return &pool;
    }
    return nullptr;
}

void Rollouts::applyOrderRow(const platform::Row& row, StoreEpoch epoch, bool wasJustChanged, const ServingSettings& settings)
{
    if (!m_options.isEnabled || row.isDeleted)
        return;
    std::string reason;
    std::optional<platform::RolloutRequest> request = platform::decodeRolloutRequest(row.key, row.value, reason);
    if (request && std::none_of(settings.pools.begin(), settings.pools.end(), [&](const ServingPoolSettings& pool) { return pool.id == request->pool; })) {
        reason = "unknown service";
        request.reset();
    }
    if (!request) {
        m_log.line("warning", "rollout_order_ignored", { { "key", row.key }, { "reason", reason } });
        return;
    }
    RolloutOrder order { .id = { .epoch = epoch, .number = row.version }, .pool = request->pool, .to = request->to, .time = request->time };
    applyOrder(stateOf(m_pools.pool(request->pool)), order, { .name = "operator", .isTimeKnown = wasJustChanged });
}

void Rollouts::applyOrder(PoolRollouts& state, const RolloutOrder& order, const OrderSource& source)
{
    if (std::any_of(state.ended.begin(), state.ended.end(), [&](const EndedOrder& ended) { return isSameOrder(ended.order, order); }))
        return;
    if (!state.current) {
        beginOrder(state, order, source);
        return;
    }
    Rollout& rollout = state.current->rollout;
    if (isSameOrder(rollout.order, order)) {
        rollout.order.id = std::max(rollout.order.id, order.id);
        if (!state.current->isTimeKnown)
            rollout.orderedAt = std::min(rollout.orderedAt, m_clock.steadyNow() - source.age);
        return;
    }
    if (order.id <= rollout.order.id)
        return;
    state.ended.push_back({ .order = rollout.order, .wasFinal = isFinal(rollout.position.phase) });
    if (state.ended.size() > maxEndedOrders)
        state.ended.erase(state.ended.begin());
    beginOrder(state, order, source);
}

void Rollouts::beginOrder(PoolRollouts& state, const RolloutOrder& order, const OrderSource& source)
{
    SteadyTime now = m_clock.steadyNow();
    bool replacesCandidate = state.versions.known.candidate && *state.versions.known.candidate != order.to;
    m_log.line("info", "rollout_ordered",
        { { "pool", order.pool.value() }, { "to", order.to.value() }, { "order", static_cast<std::int64_t>(order.id.number) }, { "seconds", toSeconds(order.time) },
            { "age_ms", toMilliseconds(source.age) }, { "source", source.name }, { "established", joinedVersions(state.versions.known.established) } });
    Current current;
    current.rollout = { .order = order, .orderedAt = now - source.age, .heardAt = now, .members = m_pools.peers() + 1 };
    current.isTimeKnown = source.isTimeKnown;
    bool wasRunning = current.rollout.orderedAt - m_startedAt > startTime;
    std::uint64_t shareHash = mixBits(mixBits(m_options.incarnation ^ m_selfHash) ^ order.id.number);
    current.share = initialShare(shareHash, wasRunning ? current.rollout.members : 0, m_options.limits);
    for (const auto& [hash, heard] : m_heard) {
        if (now - heard.heardAt < silentAge)
            current.members[hash] = { .heardAt = heard.heardAt, .isLeaving = heard.isLeaving };
    }
    state.current = std::move(current);
    beginRollout(state.versions.known, order.to);
    if (replacesCandidate) {
        state.versions.changedAt = now;
        logVersions(state, "order_replaced");
    }
    updateTargets(state);
}

void Rollouts::applyEarlierSuccess(PoolRollouts& state, const RolloutOrder& order)
{
    auto ended = std::find_if(state.ended.begin(), state.ended.end(), [&](const EndedOrder& known) { return isSameOrder(known.order, order); });
    if (ended == state.ended.end() || ended->wasFinal || !state.current || isFinal(state.current->rollout.position.phase))
        return;
    ended->wasFinal = true;
    establishCandidate(state.versions.known, order.to);
    beginRollout(state.versions.known, state.current->rollout.order.to);
    state.versions.changedAt = m_clock.steadyNow();
    logVersions(state, "earlier_order_succeeded");
    updateTargets(state);
}

void Rollouts::applyPosition(PoolRollouts& state, const RolloutPosition& position, std::string_view source)
{
    Rollout& rollout = state.current->rollout;
    RolloutPosition later = laterPosition(rollout.position, position);
    if (later == rollout.position)
        return;
    advancePosition(rollout, position, m_clock.steadyNow());
    m_log.line("info", "rollout_position",
        { { "pool", rollout.order.pool.value() }, { "to", rollout.order.to.value() }, { "generation", static_cast<std::int64_t>(later.generation) },
            { "phase", phaseName(later.phase) }, { "stopped", later.isStopped }, { "source", source } });
    if (isFinal(later.phase))
        applyFinal(state);
    updateTargets(state);
}

void Rollouts::applyFinal(PoolRollouts& state)
{
    Current& current = *state.current;
    if (current.isFinalApplied)
        return;
    current.isFinalApplied = true;
    current.endedAt = m_clock.steadyNow();
    const Rollout& rollout = current.rollout;
    if (rollout.position.phase == RolloutPhase::Succeeded)
        establishCandidate(state.versions.known, rollout.order.to);
    else
        excludeCandidate(state.versions.known, rollout.order.to);
    state.versions.isProvisional = false;
    state.versions.changedAt.reset(); // The holder has written them with the final state.
    m_log.line("info", "rollout_ended",
        { { "pool", rollout.order.pool.value() }, { "to", rollout.order.to.value() }, { "state", phaseName(rollout.position.phase) },
            { "after_ms", toMilliseconds(m_clock.steadyNow() - rollout.orderedAt) }, { "sent", count(current.share.sent) }, { "sent_new", count(current.share.sentToNew) } });
    logVersions(state, "rollout_ended");
}

void Rollouts::applyPeerUpdate(const InstanceUpdate& update)
{
    if (!m_options.isEnabled)
        return;
    SteadyTime now = m_clock.steadyNow();
    std::uint32_t peer = shortHash(update.instance.value());
    m_heard[peer] = { .heardAt = now, .isLeaving = update.isLeaving };
    for (const RolloutReport& report : update.rollouts) {
        if (PoolState* pool = findPool(report.pool))
            applyReport(stateOf(*pool), report, update, now);
    }
    for (auto& [hash, state] : m_states) {
        if (!state.current || isFinal(state.current->rollout.position.phase))
            continue;
        Member& member = state.current->members[peer];
        member.heardAt = now;
        member.isLeaving = update.isLeaving;
    }
}

void Rollouts::applyReport(PoolRollouts& state, const RolloutReport& report, const InstanceUpdate& update, SteadyTime now)
{
    RolloutOrder order { .id = report.order, .pool = state.pool->id, .to = report.to, .time = report.time };
    applyOrder(state, order, { .name = "peer", .age = report.orderAge });
    if (!state.current || !isSameOrder(state.current->rollout.order, order)) {
        if (report.position.phase == RolloutPhase::Succeeded)
            applyEarlierSuccess(state, order);
        return;
    }
    applyPosition(state, report.position, update.instance.value());
    Current& current = *state.current;
    recordBeat(current.rollout, report.beatGeneration, report.beat, report.beatAge, now);
    std::uint32_t peer = shortHash(update.instance.value());
    Member& member = current.members[peer];
    member.position = report.position;
    member.oldInProgress = report.oldInProgress;
    if (!report.counts.empty())
        mergeCounts(current.evidence, peer, update.incarnation, report.counts);
}

void Rollouts::addReports(InstanceUpdate& update, ReportScope scope) const
{
    SteadyTime now = m_clock.steadyNow();
    for (const auto& [hash, state] : m_states) {
        if (!state.current)
            continue;
        const Rollout& rollout = state.current->rollout;
        // Updates with everything go on reporting the final state, for instances that were cut off.
        bool hasEndedLately = now - state.current->endedAt < finalReportTime;
        if (isFinal(rollout.position.phase) && !hasEndedLately && scope == ReportScope::Changes)
            continue;
        RolloutReport& report = update.rollouts.emplace_back();
        report = { .pool = hash, .order = rollout.order.id, .to = rollout.order.to, .time = rollout.order.time, .orderAge = now - rollout.orderedAt, .position = rollout.position, .beatGeneration = rollout.beatGeneration, .beat = rollout.beat, .beatAge = now - rollout.heardAt, .oldInProgress = oldInProgress(state) };
        if (scope == ReportScope::All && !isFinal(rollout.position.phase))
            report.counts = state.current->counts.counts;
    }
}

void Rollouts::tick(bool isStoreReachable)
{
    if (!m_options.isEnabled)
        return;
    SteadyTime now = m_clock.steadyNow();
    m_writer.tick(now);
    if (!m_hasReadRows && m_targetsKnownAt && now - *m_targetsKnownAt >= rowsTimeout) {
        m_log.line("warning", "rollout_rows_missing", { { "after_ms", toMilliseconds(now - *m_targetsKnownAt) } });
        m_hasReadRows = true;
        onTargetsChanged();
    }
    bool wasRefusedLately = m_writeFailedAt && now - *m_writeFailedAt < writeRetryInterval;
    isStoreReachable = isStoreReachable && !wasRefusedLately;
    bool checksVersions = now - m_checkedAt >= versionCheckInterval;
    if (checksVersions)
        m_checkedAt = now;
    int running = 0;
    for (auto& [hash, state] : m_states) {
        if (checksVersions)
            checkVersions(state, now);
        writeVersions(state, isStoreReachable, now);
        if (!state.current)
            continue;
        if (m_hasReadRows)
            moveOn(state, isStoreReachable, now);
        running += !isFinal(state.current->rollout.position.phase);
        bool isHeld = !mayUsePool(*state.pool);
        if (isHeld != state.isHeld) {
            state.isHeld = isHeld;
            m_log.line(isHeld ? "warning" : "info", isHeld ? "rollout_unknown" : "rollout_known",
                { { "pool", state.pool->id.value() }, { "instances", count(m_pools.peers() + 1) }, { "members", count(state.current->rollout.members) },
                    { "silent_ms", toMilliseconds(now - state.current->rollout.heardAt) } });
        }
    }
    m_metrics.rolloutsRunning.set(running);
}

std::vector<SteadyTime> Rollouts::membersHeardAt(const Current& current)
{
    std::vector<SteadyTime> times;
    for (const auto& [hash, member] : current.members)
        times.push_back(member.heardAt);
    return times;
}

void Rollouts::moveOn(PoolRollouts& state, bool isStoreReachable, SteadyTime now)
{
    Current& current = *state.current;
    Rollout& rollout = current.rollout;
    if (isFinal(rollout.position.phase)) {
        rewriteFinal(state, isStoreReachable, now);
        return;
    }
    rollout.members = std::max(rollout.members, m_pools.peers() + 1);
    bool isHolder = current.ownGeneration > 0 && current.ownGeneration == rollout.position.generation;
    if (isHolder)
        holdRollout(rollout, membersHeardAt(current), now);
    if (now - current.judgedAt >= judgeInterval) {
        current.judgedAt = now;
        if (!current.counts.counts.empty())
            mergeCounts(current.evidence, m_selfHash, m_options.incarnation, current.counts.counts);
        current.judgement = judge(current.evidence);
    }
    const RolloutJudgement& judgement = current.judgement;
    RolloutHolderInput input = holderInput(state, judgement, isStoreReachable, now);
    RolloutStep step = nextStep(input, now);
    if (step.action == RolloutAction::None || (state.isWriting && step.action != RolloutAction::Stop))
        return;
    logStep(state, step, input, judgement);
    carryOut(state, step.action, now);
}

RolloutHolderInput Rollouts::holderInput(const PoolRollouts& state, const RolloutJudgement& judgement, bool isStoreReachable, SteadyTime now) const
{
    const Current& current = *state.current;
    RolloutHolderInput input {
        .rollout = &current.rollout,
        .isHolder = current.ownGeneration > 0 && current.ownGeneration == current.rollout.position.generation,
        .turn = m_pools.turnOf(state.pool->hash),
        .isStoreReachable = isStoreReachable,
        .isOnlyEstablished = isOnlyEstablished(state),
        .ownOldInProgress = oldInProgress(state),
        .verdict = judgement.verdict,
    };
    for (const TargetState& target : state.pool->targets) {
        if (isLeaving(target) || target.missingSince)
            continue;
        if (target.entry.version == current.rollout.order.to)
            input.newSlots += std::max(target.entry.slots, 1);
        else if (state.versions.known.established.contains(target.entry.version))
            input.oldSlots += std::max(target.entry.slots, 1);
    }
    for (const auto& [hash, member] : current.members) {
        if (!member.isLeaving || now - member.heardAt < silentAge)
            input.members.push_back({ .hash = hash, .heardAt = member.heardAt, .position = member.position, .oldInProgress = member.oldInProgress });
    }
    return input;
}

void Rollouts::logStep(PoolRollouts& state, const RolloutStep& step, const RolloutHolderInput& input, const RolloutJudgement& judgement)
{
    Current& current = *state.current;
    // A step that waits for the store is decided again and again.
    if (step.action == current.loggedStep.action && step.reason == current.loggedStep.reason)
        return;
    current.loggedStep = step;
    const Rollout& rollout = current.rollout;
    m_log.line("info", "rollout_step",
        { { "pool", rollout.order.pool.value() }, { "to", rollout.order.to.value() }, { "action", actionName(step.action) }, { "reason", step.reason },
            { "generation", static_cast<std::int64_t>(rollout.position.generation) }, { "phase", phaseName(rollout.position.phase) }, { "holder", input.isHolder },
            { "turn", count(input.turn) }, { "store", input.isStoreReachable }, { "new_slots", count(input.newSlots) }, { "old_slots", count(input.oldSlots) },
            { "old_in_progress", count(input.ownOldInProgress) }, { "members", count(static_cast<std::int64_t>(input.members.size())) },
            { "verdict", verdictName(judgement.verdict) }, { "new_answers", count(judgement.newAnswers) }, { "new_failures", count(judgement.newFailures) },
            { "new_slow", count(judgement.newSlow) }, { "old_answers", count(judgement.oldAnswers) }, { "old_failures", count(judgement.oldFailures) },
            { "old_slow", count(judgement.oldSlow) }, { "after_ms", toMilliseconds(m_clock.steadyNow() - rollout.orderedAt) } });
}

void Rollouts::carryOut(PoolRollouts& state, RolloutAction action, SteadyTime now)
{
    RolloutPosition position = state.current->rollout.position;
    switch (action) {
    case RolloutAction::None:
        return;
    case RolloutAction::Stop:
        position.isStopped = true;
        applyPosition(state, position, "step");
        return;
    case RolloutAction::TakeOver:
        ++position.generation;
        position.phase = std::max(position.phase, RolloutPhase::Sample);
        break;
    case RolloutAction::BeginLoad:
        position.phase = RolloutPhase::Load;
        break;
    case RolloutAction::BeginSwitch:
        position.phase = RolloutPhase::Switch;
        break;
    case RolloutAction::Succeed:
        position.phase = RolloutPhase::Succeeded;
        break;
    case RolloutAction::RollBack:
        position.phase = RolloutPhase::RolledBack;
        break;
    }
    writeRow(state, position, now);
}

} // namespace limpetpond
