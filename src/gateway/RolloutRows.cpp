/// The rows of rollouts and versions in the store: what they hold is applied, and what this instance decides is written.

#include "gateway/Rollouts.h"

#include <algorithm>

namespace limpetpond {

namespace {

    using Outcome = ConditionalWriteResult::Outcome;

    constexpr std::string_view versionsKeyPrefix = "versions/"; ///< In the table of instances.
    /// Several instances would write the same row: the first ones do, one after the other, until the row is found written.
    constexpr int maxWriters = 3;
    constexpr Duration writerInterval = std::chrono::seconds(1);
    /// Instances that aren't among the first writers assume by then that these have written.
    constexpr Duration maxWriteWait = std::chrono::seconds(10);

    std::string versionsKey(const PoolId& pool) { return std::string(versionsKeyPrefix) + pool.value(); }

    bool areSame(const TargetVersions& a, const TargetVersions& b) { return a.established == b.established && a.excluded == b.excluded; }

} // namespace

bool Rollouts::isOwnRow(std::string_view key) { return key.starts_with(platform::rolloutKeyPrefix) || key.starts_with(versionsKeyPrefix); }

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
    // Rows that this instance knows and the store has lost are written again.
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

void Rollouts::rewriteFinal(PoolRollouts& state, bool isStoreReachable, SteadyTime now)
{
    Current& current = *state.current;
    if (!current.rewriteAt || now < *current.rewriteAt || state.isWriting || !isStoreReachable)
        return;
    current.rewriteAt = now + writerInterval; // Repeated unless the row is found written by then.
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
        // Once the final state is applied, the versions may have changed since.
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
