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

    bool isWanted(const PoolCommands& commands, const EngineCommandOptions& options, std::size_t rank, SteadyTime now)
    {
        const Duration delay = options.rankDelay * static_cast<int>(rank);
        return std::ranges::any_of(commands.engines, [&](const auto& entry) {
            const EngineProgress& engine = entry.second;
            const SteadyTime since = engine.reachedAt ? *engine.reachedAt + options.checkPeriod : engine.wantedSince;
            return isDue(engine, options, now) && now - since >= delay;
        });
    }

    int countLoading(const PoolCommands& commands)
    {
        return static_cast<int>(std::ranges::count_if(commands.engines, [](const auto& entry) { return entry.second.isLoading || entry.second.isOutstanding; }));
    }

    bool maySend(const PoolCommands& commands, const EngineProgress& engine, const EngineCommandOptions& options, SteadyTime now)
    {
        if (engine.isOutstanding || !isDue(engine, options, now))
            return false;
        if (engine.sentAt && now - *engine.sentAt < options.repeatPeriod)
            return false;
        return engine.isLoading || countLoading(commands) < options.maxLoading;
    }

} // namespace

PoolCommands makePoolCommands(PoolId pool, InstanceId self, SteadyTime now)
{
    PoolCommands commands;
    commands.lease = makeLease(LeaseId("pool/" + pool.value()), std::move(self), now);
    commands.pool = std::move(pool);
    return commands;
}

void applySettings(PoolCommands& commands, const Settings& settings, SteadyTime now)
{
    std::map<TargetId, EngineProgress> engines;
    for (const auto& [id, target] : settings.targets) {
        if (target.pool != commands.pool || !target.desired)
            continue;
        const auto known = commands.engines.find(id);
        const bool isKnown = known != commands.engines.end();
        if (isKnown && known->second.desired == *target.desired) {
            engines.emplace(id, known->second);
            continue;
        }
        // An outstanding command must end first, so that it can't reach the engine after the new one.
        engines.emplace(id, EngineProgress { .desired = *target.desired, .isOutstanding = isKnown && known->second.isOutstanding, .wantedSince = now });
    }
    commands.engines = std::move(engines);
}

void advanceCommands(PoolCommands& commands, const Settings& settings, const EngineCommandOptions& options, std::size_t rank, SteadyTime now, ControlActions& out)
{
    if (commands.engines.empty())
        return;
    const LeaseStep step = nextLeaseStep(commands.lease, options.lease, isWanted(commands, options, rank, now), now);
    if (step.operation != LeaseOperation::None)
        out.push_back(AccessLease { commands.lease.id, step });
    for (auto& [id, engine] : commands.engines) {
        const auto target = settings.targets.find(id);
        if (target == settings.targets.end() || !maySend(commands, engine, options, now))
            continue;
        if (!maySendCommand(commands.lease, options.lease, target->second.checksFencing, now))
            continue;
        engine.isOutstanding = true;
        engine.sentAt = now;
        out.push_back(SendEngineCommand { id, engine.desired, makeCommandFence(commands.lease, options.lease) });
    }
}

void handlePoolLeaseAnswered(PoolCommands& commands, const LeaseAnswered& answered, SteadyTime now)
{
    handleLeaseAnswered(commands.lease, answered.operation, answered.answer, answered.row, now);
}

void handleCommandAnswered(PoolCommands& commands, const EngineCommandAnswered& answered, SteadyTime now)
{
    const auto found = commands.engines.find(answered.target);
    if (found == commands.engines.end())
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

bool hasReachedState(const PoolCommands& commands, const TargetId& target)
{
    const auto found = commands.engines.find(target);
    return found == commands.engines.end() || found->second.reachedAt.has_value();
}

} // namespace limpetpond
