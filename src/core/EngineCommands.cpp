#include "core/EngineCommands.h"

#include <algorithm>

namespace limpetpond {

namespace {

    bool isDue(const EngineProgress& engine, const EngineCommandOptions& options, SteadyTime now)
    {
        if (!engine.reachedAt)
            return true;
        return now - *engine.reachedAt >= options.checkPeriod;
    }

    bool isWanted(const PoolCommands& orders, const EngineCommandOptions& options, std::size_t rank, SteadyTime now)
    {
        const Duration patience = options.rankDelay * static_cast<int>(rank);
        return std::ranges::any_of(orders.engines, [&](const auto& entry) {
            const EngineProgress& engine = entry.second;
            const SteadyTime since = engine.reachedAt ? *engine.reachedAt + options.checkPeriod : engine.wantedSince;
            return isDue(engine, options, now) && now - since >= patience;
        });
    }

    int countLoading(const PoolCommands& orders)
    {
        return static_cast<int>(std::ranges::count_if(orders.engines, [](const auto& entry) { return entry.second.isLoading || entry.second.isOutstanding; }));
    }

    bool maySend(const PoolCommands& orders, const EngineProgress& engine, const EngineCommandOptions& options, SteadyTime now)
    {
        if (engine.isOutstanding || !isDue(engine, options, now))
            return false;
        if (engine.sentAt && now - *engine.sentAt < options.repeatPeriod)
            return false;
        return engine.isLoading || countLoading(orders) < options.maxLoading;
    }

} // namespace

PoolCommands makePoolCommands(PoolId pool, InstanceId self, SteadyTime now)
{
    PoolCommands orders;
    orders.lease = makeLease(LeaseId("pool/" + pool.value()), std::move(self), now);
    orders.pool = std::move(pool);
    return orders;
}

void applySettings(PoolCommands& orders, const Settings& settings, SteadyTime now)
{
    std::map<TargetId, EngineProgress> engines;
    for (const auto& [id, target] : settings.targets) {
        if (target.pool != orders.pool || !target.desired)
            continue;
        const auto known = orders.engines.find(id);
        const bool isKnown = known != orders.engines.end();
        if (isKnown && known->second.desired == *target.desired) {
            engines.emplace(id, known->second);
            continue;
        }
        // An order under way must end first, so that it can't reach the engine after the new one.
        engines.emplace(id, EngineProgress { .desired = *target.desired, .isOutstanding = isKnown && known->second.isOutstanding, .wantedSince = now });
    }
    orders.engines = std::move(engines);
}

void advanceCommands(PoolCommands& orders, const Settings& settings, const EngineCommandOptions& options, std::size_t rank, SteadyTime now, ControlActions& out)
{
    if (orders.engines.empty())
        return;
    const LeaseStep step = nextLeaseStep(orders.lease, options.lease, isWanted(orders, options, rank, now), now);
    if (step.operation != LeaseOperation::None)
        out.push_back(AccessLease { orders.lease.id, step });
    for (auto& [id, engine] : orders.engines) {
        const auto target = settings.targets.find(id);
        if (target == settings.targets.end() || !maySend(orders, engine, options, now))
            continue;
        if (!maySendCommand(orders.lease, options.lease, target->second.checksFencing, now))
            continue;
        engine.isOutstanding = true;
        engine.sentAt = now;
        out.push_back(SendEngineCommand { id, engine.desired, makeCommandFence(orders.lease, options.lease) });
    }
}

void handlePoolLeaseAnswered(PoolCommands& orders, const LeaseAnswered& answered, SteadyTime now)
{
    handleLeaseAnswered(orders.lease, answered.operation, answered.answer, answered.row, now);
}

void handleCommandAnswered(PoolCommands& orders, const EngineCommandAnswered& answered, SteadyTime now)
{
    const auto found = orders.engines.find(answered.target);
    if (found == orders.engines.end())
        return;
    EngineProgress& engine = found->second;
    engine.isOutstanding = false;
    if (engine.desired != answered.desired)
        return;
    engine.isLoading = answered.progress == EngineCommandProgress::InProgress;
    if (answered.progress == EngineCommandProgress::Reached)
        engine.reachedAt = now;
    else
        engine.reachedAt.reset();
}

bool hasReachedState(const PoolCommands& orders, const TargetId& target)
{
    const auto found = orders.engines.find(target);
    return found == orders.engines.end() || found->second.reachedAt.has_value();
}

} // namespace limpetpond
