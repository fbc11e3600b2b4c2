#pragma once

/// Replays a load against the gateway's decisions, without I/O: many instances that share a pool, each with its own
/// `Pools`, queue and outdated view of the others.
///
///     FleetReplay replay({ .instances = 40, .targets = 40 });
///     FleetResult result = replay.run({ .arrivalsPerSecond = 500, .time = 4s });

#include "gateway/Pools.h"
#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <random>

namespace limpetpond {

/// Targets that turn all requests away for some time and say how long it lasts.
struct FleetPause {
    int targets { 0 };
    Duration from { std::chrono::seconds(1) }; ///< Since the start.
    Duration time { std::chrono::seconds(2) };
};

struct FleetOptions {
    int instances { 40 };
    int targets { 40 };
    int slots { 6 };
    int maxQueueAtTarget { 24 }; ///< Requests that wait at a target; it rejects further ones.
    Duration serviceTime { std::chrono::milliseconds(400) };
    Duration timeToFirstEvent { std::chrono::milliseconds(80) }; ///< Of `serviceTime`.
    Duration updateInterval { std::chrono::milliseconds(100) };
    Duration timeToDrain { std::chrono::seconds(2) }; ///< Played after the last arrival.
    FleetPause pause;
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
    int started { 0 }; ///< At a target, on time or not.
};

struct FleetResult {
    FleetCounts urgent;
    FleetCounts other;
    Duration longestWait { 0 }; ///< Of all requests, until they were sent.
    int sentIntoPause { 0 }; ///< Requests that reached a target later than the users allow after it had turned their instance away.
    int mostQueuedAfterPause { 0 }; ///< Requests that waited at one of the paused targets in the second after the pause.
    int startedAfterPause { 0 }; ///< Requests that began to run at any target in that second.
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
        m_startedAt = m_clock.steadyNow();
        std::poisson_distribution<int> arrivals(load.arrivalsPerSecond * toSeconds(step));
        const int arrivalSteps = static_cast<int>(load.time / step);
        const int steps = arrivalSteps + static_cast<int>(m_options.timeToDrain / step);
        for (int i = 0; i < steps; ++i) {
            m_clock.advance(step);
            endRequests(load);
            for (int count = i < arrivalSteps ? arrivals(m_random) : 0; count > 0; --count)
                arrive(load);
            returnCallers(load);
            if (i % static_cast<int>(m_options.updateInterval / step) == 0)
                exchangeUpdates();
            for (std::size_t instance = 0; instance < m_instances.size(); ++instance)
                dispatchWaiting(instance, load);
            observeReturn();
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
        std::map<std::size_t, SteadyTime> turnedAwayAt; ///< The first time, by instance.
    };
    /// A caller that was refused and returns at another instance, or a request that a target has turned away.
    struct ReturningCaller {
        int rank { 0 };
        SteadyTime arrivedAt;
        int returns { 0 };
        std::optional<std::size_t> instance; ///< That has the request; none for any instance.
    };
    static constexpr Duration timeToTurnAway = std::chrono::milliseconds(20); ///< From a send to the target's answer.
    static constexpr Duration timeToExpiry = std::chrono::seconds(5); ///< Of a request.
    static constexpr Duration timeToTurnBack = std::chrono::milliseconds(500); ///< The users allow two requests after this time.
    static constexpr int maxReturns = 4; ///< Of a caller.

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
        recordArrival(m_instances[instance]->pool(m_pool).arrivals, demandOf(rank), now);
        ++countsOf(rank).arrived;
        admit(instance, { .rank = rank, .arrivedAt = now }, load);
    }

    /// Lets the request wait, unless all targets are paused for too long.
    void admit(std::size_t instance, const ReturningCaller& caller, const FleetLoad& load)
    {
        PoolState& pool = m_instances[instance]->pool(m_pool);
        SteadyTime now = m_clock.steadyNow();
        std::optional<SteadyTime> pausedUntil = poolPausedUntil(pool.targets, now);
        AdmissionInput admission { .ahead = countAhead(pool.queue, caller.rank), .timeToExpiry = caller.arrivedAt + timeToExpiry - now, .pauseLeft = pausedUntil.value_or(now) - now };
        if (pausedUntil && !decideAdmission(admission).mayWait) {
            refuse(instance, caller);
            return;
        }
        WaitTicket ticket = ++m_lastTicket;
        m_returnsOf[ticket] = caller.returns;
        enqueue(pool.queue,
            { .ticket = ticket, .rank = caller.rank, .arrivedAt = caller.arrivedAt, .objectiveAt = caller.arrivedAt + load.objective - m_options.timeToFirstEvent, .expiresAt = caller.arrivedAt + timeToExpiry });
    }

    /// The caller returns when it was told to, but after a third of its time at the latest.
    void refuse(std::size_t instance, ReturningCaller caller)
    {
        const PoolState& pool = m_instances[instance]->pool(m_pool);
        SteadyTime now = m_clock.steadyNow();
        Duration retryAfter = timeToReturn({ .ahead = countAhead(pool.queue, caller.rank), .pauseLeft = poolPausedUntil(pool.targets, now).value_or(now) - now, .random = std::uniform_real_distribution<>(0, 1)(m_random) });
        caller.instance.reset();
        if (++caller.returns <= maxReturns)
            m_returning.emplace(now + std::min<Duration>(retryAfter, (caller.arrivedAt + timeToExpiry - now) / 3), caller);
    }

    void returnCallers(const FleetLoad& load)
    {
        SteadyTime now = m_clock.steadyNow();
        while (!m_returning.empty() && m_returning.begin()->first <= now) {
            ReturningCaller caller = m_returning.begin()->second;
            m_returning.erase(m_returning.begin());
            admit(caller.instance.value_or(m_random() % m_instances.size()), caller, load);
        }
    }

    void refuseUnsendable(std::size_t instance)
    {
        PoolState& pool = m_instances[instance]->pool(m_pool);
        SteadyTime now = m_clock.steadyNow();
        for (WaitTicket ticket : expiredRequests(pool.queue, poolPausedUntil(pool.targets, now).value_or(now))) {
            const RankedRequest waiting = pool.queue.requests.at(ticket);
            removeWaiting(pool.queue, ticket);
            if (now < waiting.expiresAt)
                refuse(instance, { .rank = waiting.rank, .arrivedAt = waiting.arrivedAt, .returns = m_returnsOf[ticket] });
        }
    }

    bool isPausing(std::size_t target) const
    {
        Duration elapsed = m_clock.steadyNow() - m_startedAt;
        return static_cast<int>(target) < m_options.pause.targets && elapsed >= m_options.pause.from && elapsed < m_options.pause.from + m_options.pause.time;
    }

    void turnAway(const Request& request)
    {
        SteadyTime now = m_clock.steadyNow();
        SteadyTime first = m_targets[request.target].turnedAwayAt.try_emplace(request.instance, now).first->second;
        m_result.sentIntoPause += now - first > timeToTurnBack;
        Pools& pools = *m_instances[request.instance];
        --pools.pool(m_pool).targets[request.target].ownInProgress;
        pools.recordPause(TargetId(targetName(static_cast<int>(request.target))), 0, m_startedAt + m_options.pause.from + m_options.pause.time - now, now);
        m_returning.emplace(now + timeToTurnAway, ReturningCaller { .rank = request.rank, .arrivedAt = request.arrivedAt, .instance = request.instance });
    }

    void observeReturn()
    {
        Duration sinceEnd = m_clock.steadyNow() - m_startedAt - m_options.pause.from - m_options.pause.time;
        if (sinceEnd < Duration::zero() || sinceEnd >= std::chrono::seconds(1))
            return;
        for (int i = 0; i < m_options.pause.targets; ++i)
            m_result.mostQueuedAfterPause = std::max(m_result.mostQueuedAfterPause, static_cast<int>(m_targets[static_cast<std::size_t>(i)].queue.size()));
    }

    void recordStart(int rank)
    {
        ++countsOf(rank).started;
        Duration sinceEnd = m_clock.steadyNow() - m_startedAt - m_options.pause.from - m_options.pause.time;
        m_result.startedAfterPause += sinceEnd >= Duration::zero() && sinceEnd < std::chrono::seconds(1);
    }

    void dispatchWaiting(std::size_t instance, const FleetLoad& load)
    {
        Pools& pools = *m_instances[instance];
        PoolState& pool = pools.pool(m_pool);
        SteadyTime now = m_clock.steadyNow();
        refuseUnsendable(instance);
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
        if (isPausing(request.target)) {
            turnAway(request);
        } else if (static_cast<int>(target.running.size()) < m_options.slots) {
            request.startedAt = m_clock.steadyNow();
            recordStart(request.rank);
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
                recordStart(target.running.back().rank);
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
            report.demands.push_back({ .pool = pool.hash, .waiting = waitingDemand(pool), .arriving = arrivingDemand(pool.arrivals, m_clock.steadyNow()) });
            for (std::size_t i = 0; i < pool.targets.size(); ++i) {
                if (pool.targets[i].ownInProgress > 0)
                    report.work.push_back({ .target = pool.connections[i].hash, .inProgress = pool.targets[i].ownInProgress });
            }
            std::sort(report.work.begin(), report.work.end(), [](const auto& a, const auto& b) { return a.target < b.target; });
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
    std::unordered_map<WaitTicket, int> m_returnsOf; ///< How often the caller has returned.
    std::multimap<SteadyTime, ReturningCaller> m_returning;
    SteadyTime m_startedAt;
    FleetResult m_result;
};

} // namespace limpetpond
