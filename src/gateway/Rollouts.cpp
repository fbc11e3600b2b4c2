#include "gateway/Rollouts.h"

#include "core/Hash.h"
#include <algorithm>
#include <utility>

namespace limpetpond {

namespace {

    using Outcome = ConditionalWriteResult::Outcome;

    constexpr std::string_view versionsKeyPrefix = "versions/"; ///< In the table of instances.
    constexpr Duration versionCheckInterval = std::chrono::milliseconds(200);
    /// An instance that can't read the rows goes by its targets' entries after this time.
    constexpr Duration rowsTimeout = std::chrono::seconds(3);
    /// An instance that has started so recently has no part in the slack: it may have been given out before, to its earlier incarnation.
    constexpr Duration startTime = std::chrono::seconds(2);
    constexpr Duration writeRetryInterval = std::chrono::milliseconds(500);
    /// Several instances would write the same row: the first ones do, one after the other, until the row is found written.
    constexpr int maxWriters = 3;
    constexpr Duration writerInterval = std::chrono::seconds(1);
    /// Instances that aren't among the first writers assume by then that these have written.
    constexpr Duration maxWriteWait = std::chrono::seconds(10);
    /// So long each update holds a final state, and later only those that hold everything.
    constexpr Duration finalReportTime = std::chrono::seconds(3);
    constexpr Duration silentAge = std::chrono::milliseconds(1500); ///< Three updates of an instance of the largest fleet.
    constexpr std::size_t maxEndedOrders = 16; ///< Remembered for each pool.

    std::string versionsKey(const PoolId& pool) { return std::string(versionsKeyPrefix) + pool.value(); }

    /// A store that was restored gives its rows another epoch.
    bool isSameOrder(const RolloutOrder& a, const RolloutOrder& b) { return a.id.number == b.id.number && a.to == b.to && a.time == b.time; }

    bool areSame(const TargetVersions& a, const TargetVersions& b) { return a.established == b.established && a.excluded == b.excluded; }

    std::string_view phaseName(RolloutPhase phase)
    {
        switch (phase) {
        case RolloutPhase::NotStarted:
            return "not_started";
        case RolloutPhase::Sample:
            return "sample";
        case RolloutPhase::Load:
            return "load";
        case RolloutPhase::Switch:
            return "switch";
        case RolloutPhase::Succeeded:
            return "succeeded";
        case RolloutPhase::RolledBack:
            return "rolled_back";
        }
        return "unknown";
    }

    std::string_view actionName(RolloutAction action)
    {
        switch (action) {
        case RolloutAction::None:
            return "none";
        case RolloutAction::TakeOver:
            return "take_over";
        case RolloutAction::BeginLoad:
            return "begin_load";
        case RolloutAction::BeginSwitch:
            return "begin_switch";
        case RolloutAction::Stop:
            return "stop";
        case RolloutAction::Succeed:
            return "succeed";
        case RolloutAction::RollBack:
            return "roll_back";
        }
        return "unknown";
    }

    std::string_view verdictName(RolloutVerdict verdict)
    {
        switch (verdict) {
        case RolloutVerdict::Undecided:
            return "undecided";
        case RolloutVerdict::Bad:
            return "bad";
        case RolloutVerdict::Sound:
            return "sound";
        }
        return "unknown";
    }

    std::string joined(const std::set<TargetVersion>& versions)
    {
        std::string text;
        for (const TargetVersion& version : versions)
            text.append(text.empty() ? "" : ",").append(version.value());
        return text;
    }

    std::int64_t count(std::int64_t number) { return number; }

    /// What an attempt's end tells of the target's version; nothing for ends with other reasons. A connection that was lost is
    /// trouble of the target or of the network.
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

bool Rollouts::isOwnRow(std::string_view key) { return key.starts_with(platform::rolloutKeyPrefix) || key.starts_with(versionsKeyPrefix); }

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
            { "age_ms", toMilliseconds(source.age) }, { "source", source.name }, { "established", joined(state.versions.known.established) } });
    Current current;
    current.rollout = { .order = order, .orderedAt = now - source.age, .heardAt = now, .members = m_pools.peers() + 1 };
    current.isTimeKnown = source.isTimeKnown;
    bool wasRunning = current.rollout.orderedAt - m_startedAt > startTime;
    std::uint64_t hash = mixBits(mixBits(m_options.incarnation ^ m_selfHash) ^ order.id.number);
    current.share = initialShare(hash, wasRunning ? current.rollout.members : 0, m_options.limits);
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
    rollout.position = later;
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

void Rollouts::applyRolloutRow(PoolRollouts& state, const RolloutRow& row, std::uint64_t version)
{
    state.rowVersion = version;
    state.isRowKnown = true;
    RolloutOrder order { .id = row.order, .pool = state.pool->id, .to = row.to, .time = row.time };
    applyOrder(state, order, { .name = "store", .age = row.orderAge });
    if (!state.current || !isSameOrder(state.current->rollout.order, order)) {
        if (row.position.phase == RolloutPhase::Succeeded)
            applyEarlierSuccess(state, order);
        return;
    }
    Current& current = *state.current;
    if (row.holder == m_options.self && row.holderIncarnation == m_options.incarnation)
        current.ownGeneration = std::max(current.ownGeneration, row.position.generation);
    if (isFinal(row.position.phase))
        current.rewriteAt.reset();
    applyPosition(state, row.position, "store");
}

void Rollouts::applyReadRow(PoolRollouts& state, const platform::Row& row)
{
    std::optional<RolloutRow> read = row.isDeleted ? std::nullopt : decodeRolloutRow(row.value, m_clock.systemNow());
    if (!row.isDeleted && !read)
        m_log.line("warning", "rollout_row_unreadable", { { "key", row.key } });
    state.rowVersion = row.version;
    state.isRowKnown = true;
    if (read)
        applyRolloutRow(state, *read, row.version);
}

void Rollouts::applyVersionsRow(PoolRollouts& state, const TargetVersions& row, std::uint64_t version)
{
    Version& versions = state.versions;
    versions.rowVersion = version;
    if (areSame(row, versions.known)) {
        versions.changedAt.reset();
        versions.isProvisional = false;
        return;
    }
    const std::vector<TargetState>& targets = state.pool->targets;
    bool isAnyPresent = std::any_of(targets.begin(), targets.end(), [&](const TargetState& target) { return row.established.contains(target.entry.version); });
    bool hasRollout = state.current && !versions.isProvisional;
    if (!versions.isProvisional && (versions.isRestored || hasRollout || !isAnyPresent)) {
        versions.changedAt = m_clock.steadyNow();
        return;
    }
    versions.known.established = row.established;
    versions.known.excluded = row.excluded;
    if (versions.known.candidate)
        versions.known.excluded.erase(*versions.known.candidate);
    versions.isProvisional = false;
    versions.changedAt.reset();
    logVersions(state, "store");
    updateTargets(state);
}

void Rollouts::applyStoredRows(const std::vector<platform::Row>& rows)
{
    if (!m_options.isEnabled)
        return;
    SteadyTime now = m_clock.steadyNow();
    m_hasReadRows = true;
    for (auto& [hash, state] : m_states) {
        state.rowVersion = 0;
        state.isRowKnown = true;
        state.versions.rowVersion = 0;
    }
    // The versions first: a rollout changes them.
    for (const platform::Row& row : rows) {
        if (row.isDeleted || !row.key.starts_with(versionsKeyPrefix))
            continue;
        PoolRollouts& state = stateOf(m_pools.pool(PoolId(row.key.substr(versionsKeyPrefix.size()))));
        if (std::optional<TargetVersions> versions = decodeVersionsRow(row.value))
            applyVersionsRow(state, *versions, row.version);
        else
            m_log.line("warning", "versions_row_unreadable", { { "key", row.key } });
        state.versions.rowVersion = row.version;
    }
    for (const platform::Row& row : rows) {
        if (!row.isDeleted && row.key.starts_with(platform::rolloutKeyPrefix))
            applyReadRow(stateOf(m_pools.pool(PoolId(row.key.substr(platform::rolloutKeyPrefix.size())))), row);
    }
    // What this instance knows and the store has lost.
    for (auto& [hash, state] : m_states) {
        if (!state.versions.rowVersion && !state.versions.isProvisional && !state.versions.changedAt)
            state.versions.changedAt = now;
        state.versions.isRestored = false;
        if (!state.current || !state.current->isFinalApplied)
            continue;
        auto key = platform::rolloutKey(state.pool->id);
        auto row = std::find_if(rows.begin(), rows.end(), [&](const platform::Row& each) { return !each.isDeleted && each.key == key; });
        std::optional<RolloutRow> stored = row == rows.end() ? std::nullopt : decodeRolloutRow(row->value, m_clock.systemNow());
        bool isStored = stored && stored->order.number == state.current->rollout.order.id.number && isFinal(stored->position.phase);
        std::optional<Duration> delay = writeDelay(state);
        if (!isStored && delay)
            state.current->rewriteAt = now + *delay;
    }
    onTargetsChanged();
}

void Rollouts::onStoreRestored()
{
    for (auto& [hash, state] : m_states) {
        state.isRowKnown = false;
        state.versions.isRestored = true;
    }
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
    recordBeat(current.rollout, report.position.generation, report.beatAge, now);
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
        // Instances that were cut off learn of the final state however late they hear again.
        bool hasEndedLately = now - state.current->endedAt < finalReportTime;
        if (isFinal(rollout.position.phase) && !hasEndedLately && scope == ReportScope::Changes)
            continue;
        RolloutReport& report = update.rollouts.emplace_back();
        report = { .pool = hash, .order = rollout.order.id, .to = rollout.order.to, .time = rollout.order.time, .orderAge = now - rollout.orderedAt, .position = rollout.position, .beatAge = now - rollout.heardAt, .oldInProgress = oldInProgress(state) };
        if (scope == ReportScope::All && !isFinal(rollout.position.phase))
            report.counts = state.current->counts.counts;
    }
}

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
        { { "pool", state.pool->id.value() }, { "established", joined(state.versions.known.established) }, { "excluded", joined(state.versions.known.excluded) }, { "source", source } });
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

bool Rollouts::hearsMostMembers(const Rollout& rollout) const { return 2 * (m_pools.peers() + 1) > rollout.members; }

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
            m_log.line("warning", isHeld ? "rollout_unknown" : "rollout_known",
                { { "pool", state.pool->id.value() }, { "instances", count(m_pools.peers() + 1) }, { "members", count(state.current->rollout.members) },
                    { "silent_ms", toMilliseconds(now - state.current->rollout.heardAt) } });
        }
    }
    m_metrics.rolloutsRunning.set(running);
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
    // Others may have replaced a holder that hears few of them.
    if (isHolder && hearsMostMembers(rollout))
        recordBeat(rollout, current.ownGeneration, Duration::zero(), now);
    if (!current.counts.counts.empty())
        mergeCounts(current.evidence, m_selfHash, m_options.incarnation, current.counts.counts);
    RolloutJudgement judgement = judge(current.evidence);
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

void Rollouts::rewriteFinal(PoolRollouts& state, bool isStoreReachable, SteadyTime now)
{
    Current& current = *state.current;
    if (!current.rewriteAt || now < *current.rewriteAt || state.isWriting || !isStoreReachable)
        return;
    current.rewriteAt = now + writerInterval; // Unless it is written until then.
    writeRow(state, current.rollout.position, now);
}

void Rollouts::readRow(PoolRollouts& state)
{
    state.isWriting = true;
    std::string key = platform::rolloutKey(state.pool->id);
    m_writer.write({ .condition = { .table = std::string(platform::instanceTable), .key = key },
        .onDone = [this, pool = state.pool->hash](const ConditionalWriteResult& result) { onRowWritten(pool, {}, result); } });
}

void Rollouts::writeRow(PoolRollouts& state, const RolloutPosition& position, SteadyTime now)
{
    if (!state.isRowKnown) {
        readRow(state);
        return;
    }
    const Rollout& rollout = state.current->rollout;
    RolloutRow row { .order = rollout.order.id, .to = rollout.order.to, .time = rollout.order.time, .orderAge = now - rollout.orderedAt, .position = position, .holder = m_options.self, .holderIncarnation = m_options.incarnation };
    std::string table(platform::instanceTable);
    std::string key = platform::rolloutKey(state.pool->id);
    ConditionalWrite write { .condition = { .table = table, .key = key, .version = state.rowVersion } };
    if (isFinal(position.phase)) {
        TargetVersions versions = state.versions.known;
        if (position.phase == RolloutPhase::Succeeded)
            establishCandidate(versions, rollout.order.to);
        else
            excludeCandidate(versions, rollout.order.to);
        // A later change of the versions may have followed the final state.
        const TargetVersions& written = state.current->isFinalApplied ? state.versions.known : versions;
        if (!written.established.empty())
            write.writes.push_back({ .table = table, .key = versionsKey(state.pool->id), .value = encodeVersionsRow(written) });
    }
    bool isTakeOver = position.generation > rollout.position.generation;
    if (isFinal(position.phase) || isTakeOver)
        write.writes.push_back({ .table = std::string(platform::statusTable), .key = key, .value = platform::encodeRolloutStatus({ .phase = position.phase, .to = rollout.order.to }) });
    // The last one, so that the store's version after the transaction is that of this row.
    write.writes.push_back({ .table = table, .key = key, .value = encodeRolloutRow(row, m_clock.systemNow()) });
    write.onDone = [this, pool = state.pool->hash, row](const ConditionalWriteResult& result) { onRowWritten(pool, row, result); };
    state.isWriting = true;
    m_writer.write(std::move(write));
}

void Rollouts::recordWrite(const PoolRollouts& state, std::string_view key, const ConditionalWriteResult& result)
{
    if (result.outcome == Outcome::Unknown)
        m_writeFailedAt = m_clock.steadyNow();
    if (result.failure.empty())
        return;
    m_log.line("warning", "rollout_write_failed",
        { { "pool", state.pool->id.value() }, { "key", key }, { "reason", result.failure }, { "read_back", result.outcome == Outcome::ReadBack },
            { "version", static_cast<std::int64_t>(result.row.version) } });
}

/// The row is empty where it was only read.
void Rollouts::onRowWritten(std::uint32_t pool, const RolloutRow& row, const ConditionalWriteResult& result)
{
    PoolRollouts& state = m_states.at(pool);
    state.isWriting = false;
    recordWrite(state, platform::rolloutKey(state.pool->id), result);
    if (result.outcome == Outcome::ReadBack) {
        applyReadRow(state, result.row);
        return;
    }
    if (result.outcome != Outcome::Written)
        return;
    if (isFinal(row.position.phase) && state.current && !state.current->isFinalApplied)
        (row.position.phase == RolloutPhase::Succeeded ? m_metrics.rolloutsSucceeded : m_metrics.rolloutsRolledBack).add();
    applyRolloutRow(state, row, result.row.version);
}

std::optional<Duration> Rollouts::writeDelay(const PoolRollouts& state) const
{
    int turn = m_pools.turnOf(state.pool->hash);
    return turn < maxWriters ? std::optional(turn * writerInterval) : std::nullopt;
}

void Rollouts::writeVersions(PoolRollouts& state, bool isStoreReachable, SteadyTime now)
{
    Version& versions = state.versions;
    if (!versions.changedAt || versions.isWriting || !isStoreReachable || !m_hasReadRows)
        return;
    std::optional<Duration> delay = writeDelay(state);
    if (!delay && now - *versions.changedAt >= maxWriteWait) {
        versions.changedAt.reset();
        versions.isProvisional = false;
    }
    if (!delay || now - *versions.changedAt < *delay)
        return;
    versions.isWriting = true;
    std::string table(platform::instanceTable);
    std::string key = versionsKey(state.pool->id);
    m_writer.write({ .condition = { .table = table, .key = key, .version = versions.rowVersion },
        .writes = { { .table = table, .key = key, .value = encodeVersionsRow(versions.known) } },
        .onDone = [this, pool = state.pool->hash, written = versions.known](const ConditionalWriteResult& result) { onVersionsWritten(pool, written, result); } });
}

void Rollouts::onVersionsWritten(std::uint32_t pool, const TargetVersions& written, const ConditionalWriteResult& result)
{
    PoolRollouts& state = m_states.at(pool);
    Version& versions = state.versions;
    versions.isWriting = false;
    recordWrite(state, versionsKey(state.pool->id), result);
    if (result.outcome == Outcome::Unknown)
        return;
    versions.rowVersion = result.row.version;
    if (result.outcome == Outcome::Written) {
        versions.isProvisional = false;
        if (areSame(written, versions.known))
            versions.changedAt.reset();
        return;
    }
    if (std::optional<TargetVersions> row = decodeVersionsRow(result.row.value))
        applyVersionsRow(state, *row, result.row.version);
}

} // namespace limpetpond
