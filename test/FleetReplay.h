#pragma once

/// Replays a load against the gateway's decisions, without I/O: many instances that share a pool, each with its own
/// `Pools`, queue and outdated view of the others.
///
///     FleetReplay replay({ .instances = 40, .targets = 40 });
///     FleetResult result = replay.run({ .arrivalsPerSecond = 500, .time = 4s });

#include "gateway/Pools.h"
#include <boost/asio/io_context.hpp>
#include <deque>
#include <random>

namespace limpetpond {

struct FleetOptions {
    int instances { 40 };
    int targets { 40 };
    int slots { 6 };
    int maxQueueAtTarget { 24 }; ///< Requests that wait at a target; it rejects further ones.
    Duration serviceTime { std::chrono::milliseconds(400) };
    Duration timeToFirstEvent { std::chrono::milliseconds(80) }; ///< Of `serviceTime`.
    Duration updateInterval { std::chrono::milliseconds(100) };
    Duration timeToDrain { std::chrono::seconds(2) }; ///< Played after the last arrival.
};

struct FleetLoad {
    double arrivalsPerSecond { 500 };
    Duration time { std::chrono::seconds(3) };
    double urgentShare { 0.35 }; ///< Share of rank 0; the others have rank 2.
    Duration objective { std::chrono::milliseconds(600) };
};

struct FleetCounts {
    int arrived { 0 };
    int onTime { 0 }; ///< First event within the objective.
    int rejectedByTarget { 0 };
};

struct FleetResult {
    FleetCounts urgent;
    FleetCounts other;
    Duration longestWait { 0 }; ///< Of all requests, until they were sent.
};

class FleetReplay {
public:
    explicit FleetReplay(FleetOptions options)
        : m_options(options)
        , m_targets(static_cast<std::size_t>(options.targets))
    {
        for (int i = 0; i < options.instances; ++i) {
            DispatchingInstance self { .hash = shortHash(instanceName(i)), .failureDomain = FailureDomainId("here") };
            m_instances.push_back(std::make_unique<Pools>(m_context, m_clock, self, WindowedRetryBudgetOptions {}));
            for (int target = 0; target < options.targets; ++target)
                addTarget(*m_instances.back(), target);
        }
    }

    FleetResult run(const FleetLoad& load)
    {
        const Duration step = std::chrono::milliseconds(5);
        std::poisson_distribution<int> arrivals(load.arrivalsPerSecond * toSeconds(step));
        const int arrivalSteps = static_cast<int>(load.time / step);
        const int steps = arrivalSteps + static_cast<int>(m_options.timeToDrain / step);
        for (int i = 0; i < steps; ++i) {
            m_clock.advance(step);
            endRequests(load);
            for (int count = i < arrivalSteps ? arrivals(m_random) : 0; count > 0; --count)
                arrive(load);
            if (i % static_cast<int>(m_options.updateInterval / step) == 0)
                exchangeUpdates();
            for (std::size_t instance = 0; instance < m_instances.size(); ++instance)
                dispatchWaiting(instance, load);
        }
        return m_result;
    }

private:
    struct Request {
        std::size_t instance { 0 };
        std::size_t target { 0 };
        int rank { 0 };
        SteadyTime arrivedAt;
        std::optional<SteadyTime> startedAt; ///< None while it waits at the target.
    };
    struct Target {
        std::vector<Request> running;
        std::deque<Request> queue;
    };

    static std::string instanceName(int i) { return "instance-" + std::to_string(i); }
    static std::string targetName(int i) { return "target-" + std::to_string(i); }

    void addTarget(Pools& pools, int target)
    {
        pools.putTarget({ .id = TargetId(targetName(target)), .pool = m_pool, .address = "10.0.0.1:80", .failureDomain = FailureDomainId("here"), .slots = m_options.slots });
        TargetState& state = *pools.findTarget(TargetId(targetName(target)));
        state.millisecondsPerUnit = 10;
        pools.pool(m_pool).serviceMilliseconds = 1000 * toSeconds(m_options.serviceTime);
    }

    void arrive(const FleetLoad& load)
    {
        std::size_t instance = m_random() % m_instances.size();
        int rank = std::uniform_real_distribution<>(0, 1)(m_random) < load.urgentShare ? 0 : 2;
        SteadyTime now = m_clock.steadyNow();
        WaitTicket ticket = ++m_lastTicket;
        enqueue(m_instances[instance]->pool(m_pool).queue,
            { .ticket = ticket, .rank = rank, .arrivedAt = now, .objectiveAt = now + load.objective - m_options.timeToFirstEvent, .expiresAt = now + std::chrono::seconds(5) });
        recordArrival(m_instances[instance]->pool(m_pool).arrivals, demandOf(rank), now);
        ++countsOf(rank).arrived;
    }

    void dispatchWaiting(std::size_t instance, const FleetLoad& load)
    {
        Pools& pools = *m_instances[instance];
        PoolState& pool = pools.pool(m_pool);
        SteadyTime now = m_clock.steadyNow();
        pools.refreshDistances(now);
        pools.assignFreeSlots(pool, m_options.updateInterval);
        while (std::optional<WaitTicket> ticket = nextWaiting(pool.queue, now)) {
            const RankedRequest waiting = pool.queue.requests.at(*ticket);
            std::optional<std::size_t> index = chooseTarget(pool.targets, selectionInput(pool, waiting, load), now);
            if (!index)
                return;
            removeWaiting(pool.queue, *ticket);
            m_result.longestWait = std::max<Duration>(m_result.longestWait, now - waiting.arrivedAt);
            ++pool.targets[*index].ownInProgress;
            send({ .instance = instance, .target = *index, .rank = waiting.rank, .arrivedAt = waiting.arrivedAt });
        }
    }

    TargetSelectionInput selectionInput(const PoolState& pool, const RankedRequest& waiting, const FleetLoad& load) const
    {
        return {
            .ownFailureDomain = FailureDomainId("here"),
            .work = 40,
            .timeToObjective = waiting.arrivedAt + load.objective - m_clock.steadyNow(),
            .firstEventFactor = pool.firstEventFactor,
            .requestsPerSlot = requestsPerSlot(m_options.serviceTime, m_options.updateInterval),
            .ownRequestsAllowed = pool.ownRequestsAllowed,
            .peerUpdateWeight = peerUpdateWeight(m_options.serviceTime, m_options.updateInterval),
        };
    }

    /// Targets admit requests in the order of arrival.
    void send(Request request)
    {
        Target& target = m_targets[request.target];
        if (static_cast<int>(target.running.size()) < m_options.slots) {
            request.startedAt = m_clock.steadyNow();
            target.running.push_back(request);
        } else if (static_cast<int>(target.queue.size()) < m_options.maxQueueAtTarget) {
            target.queue.push_back(request);
        } else {
            ++countsOf(request.rank).rejectedByTarget;
            TargetState& state = m_instances[request.instance]->pool(m_pool).targets[request.target];
            recordTargetFull(state);
            --state.ownInProgress;
        }
    }

    void endRequests(const FleetLoad& load)
    {
        SteadyTime now = m_clock.steadyNow();
        for (Target& target : m_targets) {
            std::erase_if(target.running, [&](const Request& request) {
                if (now - *request.startedAt < m_options.serviceTime)
                    return false;
                recordEnd(request, load);
                return true;
            });
            while (!target.queue.empty() && static_cast<int>(target.running.size()) < m_options.slots) {
                target.running.push_back(target.queue.front());
                target.running.back().startedAt = now;
                target.queue.pop_front();
            }
        }
    }

    void recordEnd(const Request& request, const FleetLoad& load)
    {
        TargetState& state = m_instances[request.instance]->pool(m_pool).targets[request.target];
        --state.ownInProgress;
        recordAnswer(state, std::nullopt, m_clock.steadyNow());
        SteadyTime firstEventAt = *request.startedAt + m_options.timeToFirstEvent;
        if (firstEventAt - request.arrivedAt <= load.objective)
            ++countsOf(request.rank).onTime;
    }

    void exchangeUpdates()
    {
        for (std::size_t sender = 0; sender < m_instances.size(); ++sender) {
            PoolState& pool = m_instances[sender]->pool(m_pool);
            PeerLoadReport report { .failureDomain = FailureDomainId("here") };
            if (!pool.queue.requests.empty())
                report.demands[pool.hash] = waitingDemand(pool);
            report.arrivalDemands[pool.hash] = arrivingDemand(pool.arrivals, m_clock.steadyNow());
            for (std::size_t i = 0; i < pool.targets.size(); ++i) {
                if (pool.targets[i].ownInProgress > 0)
                    report.work[pool.connections[i].hash] = pool.targets[i].ownInProgress;
            }
            for (std::size_t receiver = 0; receiver < m_instances.size(); ++receiver) {
                if (receiver != sender)
                    m_instances[receiver]->setPeer(InstanceId(instanceName(static_cast<int>(sender))), report);
            }
        }
    }

    FleetCounts& countsOf(int rank) { return rank == 0 ? m_result.urgent : m_result.other; }

    FleetOptions m_options;
    PoolId m_pool { "lm" };
    boost::asio::io_context m_context;
    ManualClock m_clock;
    std::mt19937 m_random { 7 };
    std::vector<std::unique_ptr<Pools>> m_instances;
    std::vector<Target> m_targets;
    WaitTicket m_lastTicket { 0 };
    FleetResult m_result;
};

} // namespace limpetpond
