#include "bench/policies/PolicyRun.h"

#include "core/Scheduler.h"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <unordered_set>

namespace limpetpond::bench {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration peerDelay = std::chrono::microseconds(1'200);
    constexpr Duration engineDelay = std::chrono::microseconds(1'200);
    constexpr Duration reportPeriod = milliseconds(500);
    constexpr Duration reportLag = milliseconds(700);
    constexpr Duration cacheLag = milliseconds(400);
    constexpr double cacheEventLoss = 0.1;
    constexpr Duration tickPeriod = milliseconds(100);
    constexpr Duration oraclePeriod = milliseconds(10);
    constexpr Duration drainTime = seconds(60); // from the last arrival to the last periodic event
    constexpr Duration cleaningPeriod = seconds(8); // between the drains of two engines
    constexpr int failureDomains = 3;
    constexpr int maxClientRetries = 3;
    constexpr double generationSpeeds[] = { 1.0, 0.7, 0.5 };
    constexpr std::size_t slowedEngine = 0;
    constexpr double slowedFactor = 0.25;

    enum class EventKind {
        Arrival,
        StepEnds,
        ReachesEngine,
        CancelReachesEngine,
        Tick,
        Heartbeat,
        HeartbeatArrives,
        AnswerArrives,
        Report,
        ReportArrives,
        CacheArrives,
        FaultBegins,
        CleaningStep,
    };

    struct Event {
        SteadyTime at;
        std::uint64_t sequence { 0 };
        EventKind kind { EventKind::Tick };
        std::size_t subject { 0 }; ///< Instance, engine or request.
        std::size_t other { 0 };
        std::size_t payload { 0 }; ///< Index of the stored update, report or cache change.
        SteadyTime sentAt;
    };

    struct IsLater {
        bool operator()(const Event& a, const Event& b) const { return a.at != b.at ? a.at > b.at : a.sequence > b.sequence; }
    };

    enum class RequestState {
        Waiting,
        InProgress,
        Ended,
    };

    struct SimRequest {
        Arrival arrival;
        SteadyTime arrivedAt;
        SteadyTime firstArrivedAt;
        std::size_t instance { 0 };
        std::size_t engine { 0 };
        RequestState state { RequestState::Waiting };
        int dispatches { 0 };
        int clientRetries { 0 };
        std::optional<SteadyTime> firstToken;
        SteadyTime lastToken;
    };

    struct StoredUpdate {
        PoolUpdate pool;
        std::vector<TargetUpdate> targets;
    };

    struct Simulation {
        RunOptions options;
        bool isOracle { false };
        Settings settings;
        SteadyTime now { std::chrono::hours(1) };
        SteadyTime start { std::chrono::hours(1) };
        SteadyTime end;
        std::priority_queue<Event, std::vector<Event>, IsLater> events;
        std::uint64_t nextSequence { 0 };
        pcg64 random;
        std::vector<EngineFake> engines;
        std::vector<PoolScheduler> instances;
        std::vector<SimRequest> requests;
        std::vector<StoredUpdate> updates;
        std::vector<TargetReported> reports;
        std::vector<CacheChanged> changes;
        std::unordered_set<std::uint64_t> everComputed;
        std::vector<SchedulerDecision> decisions;
        std::array<int, tierCount> inProgress {};
        std::size_t enginesCleaned { 0 };
        std::uint64_t settingsVersion { 1 };
        RunResult result;
    };

    const PoolId poolId { "drafts" };

    TargetId targetOf(std::size_t engine)
    {
        std::string number = std::to_string(engine);
        return TargetId("engine-" + std::string(2 - std::min<std::size_t>(2, number.size()), '0') + number);
    }

    std::size_t engineOf(const TargetId& target)
    {
        return std::stoul(target.value().substr(7));
    }

    RequestId requestIdOf(std::size_t request)
    {
        return RequestId("r" + std::to_string(request));
    }

    std::size_t requestOf(const RequestId& id)
    {
        return std::stoul(id.value().substr(1));
    }

    InstanceId instanceIdOf(std::size_t instance)
    {
        return InstanceId("entry-" + std::to_string(instance));
    }

    void schedule(Simulation& run, SteadyTime at, EventKind kind, std::size_t subject = 0, std::size_t other = 0, std::size_t payload = 0)
    {
        run.events.push({ .at = at, .sequence = run.nextSequence, .kind = kind, .subject = subject, .other = other, .payload = payload, .sentAt = run.now });
        run.nextSequence += 1;
    }

    // ---- Set-up ----

    void makeSettings(Simulation& run)
    {
        PoolSettings pool { .id = poolId };
        pool.policy = run.isOracle ? "limpetpond" : run.options.policy;
        run.settings.pools[poolId] = pool;
        for (int tier = 0; tier < tierCount; ++tier)
            run.settings.tiers.push_back({ .name = "tier-" + std::to_string(tier), .level = { static_cast<std::uint32_t>(tier) } });
        for (std::size_t engine = 0; engine < run.engines.size(); ++engine) {
            TargetSettings target { .id = targetOf(engine), .pool = poolId };
            target.failureDomain = FailureDomainId("domain-" + std::to_string(engine % failureDomains));
            target.maxTokensInProgress = TokenCount(run.engines[engine].options.memoryTokens);
            target.maxRequestsInProgress = run.engines[engine].options.maxBatch;
            target.cacheCapacity = TokenCount(static_cast<std::int64_t>(run.engines[engine].options.cacheBlocks) * engineBlockTokens);
            run.settings.targets[target.id] = target;
        }
    }

    void makeEngines(Simulation& run)
    {
        for (int i = 0; i < run.options.mix.engines; ++i) {
            EngineFake engine;
            // Each failure domain has engines of all generations.
            engine.options.speed = generationSpeeds[static_cast<std::size_t>(i / failureDomains) % std::size(generationSpeeds)];
            run.engines.push_back(std::move(engine));
        }
    }

    double totalSpeed(const Simulation& run)
    {
        double speed = 0;
        for (const EngineFake& engine : run.engines)
            speed += engine.options.speed;
        return speed;
    }

    PoolScheduler makeInstance(Simulation& run, std::size_t instance)
    {
        PoolScheduler pool = makePoolScheduler(poolId, instanceIdOf(instance), run.options.seed * 100 + instance);
        for (std::size_t peer = 0; peer < run.instances.size(); ++peer) {
            if (peer != instance)
                peerListed(pool, instanceIdOf(peer));
        }
        applySettings(pool, run.settings, run.now);
        return pool;
    }

    // ---- Requests ----

    void decideAt(Simulation&, std::size_t instance);

    void enqueueRequest(Simulation& run, std::size_t index, std::optional<TargetId> excluded)
    {
        SimRequest& request = run.requests[index];
        request.state = RequestState::Waiting;
        int answer = run.isOracle ? request.arrival.answerTokens : request.arrival.estimatedAnswer;
        enqueue(run.instances[request.instance],
            { .request = requestIdOf(index),
                .account = ClientAccountId("account-" + std::to_string(request.arrival.account)),
                .tier = { static_cast<std::uint32_t>(request.arrival.tier) },
                .promptTokens = TokenCount(request.arrival.promptTokens),
                .answerTokens = TokenCount(answer),
                .prefixBlocks = request.arrival.blocks,
                .deadline = request.arrivedAt + request.arrival.usefulFor,
                .arrivedAt = request.arrivedAt,
                .dispatchesSoFar = request.dispatches,
                .excludedTarget = std::move(excluded) },
            run.now);
    }

    void countPrefill(Simulation& run, const Sequence& sequence)
    {
        std::int64_t computed = sequence.promptTokens - sequence.cachedTokens;
        run.result.computedPrefill += computed;
        for (std::size_t block = static_cast<std::size_t>(sequence.cachedTokens / engineBlockTokens); block < sequence.blocks.size(); ++block) {
            if (!run.everComputed.insert(sequence.blocks[block]).second)
                run.result.repeatedPrefill += engineBlockTokens;
        }
    }

    // Ends the dispatch and frees its slot at the engine.
    void endDispatch(Simulation& run, std::size_t index, DispatchEnd end, int answerTokens)
    {
        SimRequest& request = run.requests[index];
        run.inProgress[static_cast<std::size_t>(request.arrival.tier)] -= 1;
        dispatchEnded(run.instances[request.instance], requestIdOf(index), end, TokenCount(answerTokens), run.now);
        request.state = RequestState::Ended;
    }

    void finish(Simulation& run, std::size_t index)
    {
        SimRequest& request = run.requests[index];
        TierResult& tier = run.result.tiers[static_cast<std::size_t>(request.arrival.tier)];
        add(tier.firstToken, *request.firstToken - request.arrivedAt);
        bool isUseful = run.now - request.arrivedAt <= request.arrival.usefulFor;
        (isUseful ? tier.useful : tier.late) += 1;
    }

    // Enqueues a request that has no first token again, within the retry budget; counts any other as failed.
    void retryOrFail(Simulation& run, std::size_t index)
    {
        SimRequest& request = run.requests[index];
        PoolScheduler& pool = run.instances[request.instance];
        bool mayRetry = !request.firstToken && request.dispatches < pool.settings.maxDispatches && acquireRetry(pool, run.now);
        if (mayRetry) {
            enqueueRequest(run, index, targetOf(request.engine));
            return;
        }
        run.result.tiers[static_cast<std::size_t>(request.arrival.tier)].failed += 1;
    }

    void startStep(Simulation& run, std::size_t engine)
    {
        if (run.engines[engine].isStepping || run.engines[engine].isDown)
            return;
        Duration step = beginStep(run.engines[engine]);
        if (step == Duration(0))
            return;
        run.engines[engine].isStepping = true;
        schedule(run, run.now + step, EventKind::StepEnds, engine);
    }

    // ---- Decisions ----

    void carryOut(Simulation& run, std::size_t, const DispatchDecision& decision)
    {
        std::size_t index = requestOf(decision.request);
        SimRequest& request = run.requests[index];
        request.state = RequestState::InProgress;
        request.engine = engineOf(decision.target);
        request.dispatches += 1;
        run.inProgress[static_cast<std::size_t>(request.arrival.tier)] += 1;
        schedule(run, run.now + engineDelay, EventKind::ReachesEngine, index, request.engine);
    }

    bool isLowerInProgress(const Simulation& run, int tier)
    {
        return std::any_of(run.inProgress.begin(), run.inProgress.begin() + tier, [](int requests) { return requests > 0; });
    }

    void carryOut(Simulation& run, std::size_t, const ShedDecision& decision)
    {
        std::size_t index = requestOf(decision.request);
        SimRequest& request = run.requests[index];
        request.state = RequestState::Ended;
        run.result.inversions += isLowerInProgress(run, request.arrival.tier) ? 1 : 0;
        if (run.options.clientsRetry && request.clientRetries < maxClientRetries) {
            SimRequest retried = request;
            retried.clientRetries += 1;
            retried.dispatches = 0;
            run.requests.push_back(std::move(retried));
            schedule(run, run.now + decision.retryAfter, EventKind::Arrival, run.requests.size() - 1);
            return;
        }
        run.result.tiers[static_cast<std::size_t>(request.arrival.tier)].shed += 1;
    }

    void carryOut(Simulation& run, std::size_t, const CancelDecision& decision)
    {
        schedule(run, run.now + engineDelay, EventKind::CancelReachesEngine, requestOf(decision.request), engineOf(decision.target));
    }

    // Gives the oracle policy the exact state of every engine.
    void copyTrueState(Simulation& run, PoolScheduler& pool)
    {
        for (std::size_t engine = 0; engine < run.engines.size(); ++engine) {
            EngineFake& fake = run.engines[engine];
            TargetModel& target = pool.targets[engine];
            target.prefillRate = fake.options.speed / (fake.options.promptTokenSeconds + fake.options.stepSeconds / fake.options.chunkTokens);
            double batch = static_cast<double>(fake.batch.size());
            target.decodeRate = fake.options.speed / (fake.options.stepSeconds + (batch + 1) * fake.options.answerTokenSeconds);
            target.learnedAt = run.now;
            cacheChanged(pool, { .target = targetOf(engine), .added = fake.delta.added, .evicted = fake.delta.evicted });
            fake.delta = {};
        }
    }

    void decideAt(Simulation& run, std::size_t instance)
    {
        PoolScheduler& pool = run.instances[instance];
        if (run.isOracle)
            copyTrueState(run, pool);
        run.decisions.clear();
        decide(pool, run.now, run.decisions);
        run.result.decisions += 1;
        std::vector<SchedulerDecision> decisions = run.decisions;
        for (const SchedulerDecision& decision : decisions)
            std::visit([&](const auto& one) { carryOut(run, instance, one); }, decision);
    }

    // ---- Engines ----

    void onReachesEngine(Simulation& run, const Event& event)
    {
        SimRequest& request = run.requests[event.subject];
        if (request.state != RequestState::InProgress || request.engine != event.other)
            return;
        EngineFake& engine = run.engines[event.other];
        if (engine.isDown) {
            endDispatch(run, event.subject, DispatchEnd::NotStarted, 0);
            retryOrFail(run, event.subject);
            decideAt(run, request.instance);
            return;
        }
        submit(engine, { .request = event.subject, .promptTokens = request.arrival.promptTokens, .answerTokens = request.arrival.answerTokens, .blocks = request.arrival.blocks });
        startStep(run, event.other);
    }

    void recordToken(Simulation& run, std::size_t index)
    {
        SimRequest& request = run.requests[index];
        if (request.firstToken)
            add(run.result.tiers[static_cast<std::size_t>(request.arrival.tier)].betweenTokens, run.now - request.lastToken);
        else
            request.firstToken = run.now;
        request.lastToken = run.now;
    }

    void onSequenceEnded(Simulation& run, const Sequence& sequence)
    {
        std::size_t index = sequence.request;
        if (run.requests[index].state != RequestState::InProgress)
            return;
        bool isWhole = !sequence.promptLeft && sequence.answerLeft <= 0;
        if (isWhole) {
            endDispatch(run, index, DispatchEnd::Completed, sequence.answerTokens);
            finish(run, index);
            return;
        }
        std::int64_t computed = sequence.promptTokens - sequence.cachedTokens - sequence.promptLeft;
        run.result.discardedPrefill += std::max<std::int64_t>(0, computed);
        endDispatch(run, index, DispatchEnd::Cancelled, 0);
        run.result.tiers[static_cast<std::size_t>(run.requests[index].arrival.tier)].failed += 1;
    }

    void onStepEnds(Simulation& run, std::size_t engine)
    {
        if (!run.engines[engine].isStepping)
            return;
        run.engines[engine].isStepping = false;
        StepResult step = endStep(run.engines[engine]);
        std::vector<bool> touched(run.instances.size());
        for (const Sequence& sequence : step.promptCompleted) {
            countPrefill(run, sequence);
            SimRequest& request = run.requests[sequence.request];
            answerStarted(run.instances[request.instance], requestIdOf(sequence.request), TokenCount(sequence.cachedTokens), run.now);
        }
        for (std::uint64_t request : step.tokens)
            recordToken(run, request);
        for (const Sequence& sequence : step.ended) {
            onSequenceEnded(run, sequence);
            touched[run.requests[sequence.request].instance] = true;
        }
        startStep(run, engine);
        for (std::size_t instance = 0; instance < touched.size(); ++instance) {
            if (touched[instance])
                decideAt(run, instance);
        }
    }

    void onReport(Simulation& run, std::size_t engine)
    {
        EngineFake& fake = run.engines[engine];
        run.reports.push_back({ .target = targetOf(engine),
            .measuredAt = run.now,
            .runningRequests = static_cast<int>(fake.batch.size()),
            .waitingRequests = static_cast<int>(fake.waiting.size()),
            .tokensInProgress = TokenCount(tokensHeld(fake)),
            .failed = fake.isDown });
        if (!run.isOracle && (!fake.delta.added.empty() || !fake.delta.evicted.empty())) {
            run.changes.push_back({ .target = targetOf(engine), .added = std::move(fake.delta.added), .evicted = std::move(fake.delta.evicted) });
            fake.delta = {};
            for (std::size_t instance = 0; instance < run.instances.size(); ++instance) {
                if (!std::bernoulli_distribution(cacheEventLoss)(run.random))
                    schedule(run, run.now + cacheLag, EventKind::CacheArrives, instance, engine, run.changes.size() - 1);
            }
        }
        Duration lag = run.isOracle ? Duration(0) : reportLag;
        for (std::size_t instance = 0; instance < run.instances.size(); ++instance)
            schedule(run, run.now + lag, EventKind::ReportArrives, instance, engine, run.reports.size() - 1);
        if (run.now < run.end)
            schedule(run, run.now + (run.isOracle ? oraclePeriod : reportPeriod), EventKind::Report, engine);
    }

    // ---- Faults ----

    void applySettingsToAll(Simulation& run)
    {
        run.settingsVersion += 1;
        run.settings.version = SettingsVersion(run.settingsVersion);
        for (std::size_t instance = 0; instance < run.instances.size(); ++instance) {
            applySettings(run.instances[instance], run.settings, run.now);
            decideAt(run, instance);
        }
    }

    void failEngine(Simulation& run, std::size_t engine)
    {
        run.engines[engine].isDown = true;
        run.engines[engine].isStepping = false;
        for (const Sequence& sequence : restart(run.engines[engine])) {
            std::size_t index = sequence.request;
            if (run.requests[index].state != RequestState::InProgress)
                continue;
            bool hasStarted = run.requests[index].firstToken.has_value();
            run.result.discardedPrefill += std::max(0, sequence.promptTokens - sequence.cachedTokens - sequence.promptLeft);
            endDispatch(run, index, hasStarted ? DispatchEnd::Lost : DispatchEnd::NotStarted, 0);
            retryOrFail(run, index);
        }
    }

    void restartInstance(Simulation& run, std::size_t instance)
    {
        for (std::size_t index = 0; index < run.requests.size(); ++index) {
            SimRequest& request = run.requests[index];
            if (request.instance != instance || request.state == RequestState::Ended || request.arrivedAt > run.now)
                continue;
            if (request.state == RequestState::InProgress) {
                run.inProgress[static_cast<std::size_t>(request.arrival.tier)] -= 1;
                cancelSequence(run.engines[request.engine], index);
            }
            request.state = RequestState::Ended;
            run.result.tiers[static_cast<std::size_t>(request.arrival.tier)].failed += 1;
        }
        run.instances[instance] = makeInstance(run, instance);
        for (std::size_t peer = 0; peer < run.instances.size(); ++peer) {
            if (peer != instance)
                peerListed(run.instances[peer], instanceIdOf(instance));
        }
    }

    void onFault(Simulation& run)
    {
        switch (run.options.fault) {
        case Fault::None:
            return;
        case Fault::SlowEngine:
            run.engines[slowedEngine].options.speed *= slowedFactor;
            return;
        case Fault::DomainLost:
            for (std::size_t engine = 0; engine < run.engines.size(); engine += failureDomains)
                failEngine(run, engine);
            for (std::size_t instance = 0; instance < run.instances.size(); ++instance)
                decideAt(run, instance);
            return;
        case Fault::Cleaning:
            schedule(run, run.now, EventKind::CleaningStep);
            return;
        case Fault::InstanceRestart:
            restartInstance(run, 0);
            return;
        }
    }

    // Returns the drained engine to service with an empty cache and marks the next one as leaving.
    void onCleaningStep(Simulation& run)
    {
        if (run.enginesCleaned) {
            run.settings.targets[targetOf(run.enginesCleaned - 1)].mark = TargetMark::Serving;
            EngineFake& cleaned = run.engines[run.enginesCleaned - 1];
            cleaned.cache.clear();
            cleaned.cacheOrder.clear();
            cleaned.delta = {};
            for (PoolScheduler& pool : run.instances)
                cacheChanged(pool, { .target = targetOf(run.enginesCleaned - 1), .gap = true });
        }
        if (run.enginesCleaned < run.engines.size() && run.now < run.end) {
            run.settings.targets[targetOf(run.enginesCleaned)].mark = TargetMark::Leaving;
            run.enginesCleaned += 1;
            schedule(run, run.now + cleaningPeriod, EventKind::CleaningStep);
        }
        applySettingsToAll(run);
    }

    // ---- Instances ----

    std::size_t storeUpdate(Simulation& run, std::size_t instance)
    {
        run.updates.push_back({ .pool = makePoolUpdate(run.instances[instance]), .targets = makeTargetUpdates(run.instances[instance]) });
        return run.updates.size() - 1;
    }

    void onHeartbeat(Simulation& run, std::size_t instance)
    {
        std::size_t payload = storeUpdate(run, instance);
        for (std::size_t peer = 0; peer < run.instances.size(); ++peer) {
            if (peer != instance)
                schedule(run, run.now + peerDelay, EventKind::HeartbeatArrives, peer, instance, payload);
        }
        if (run.now < run.end)
            schedule(run, run.now + run.settings.site.heartbeatPeriod, EventKind::Heartbeat, instance);
    }

    void applyUpdate(Simulation& run, std::size_t to, std::size_t from, std::size_t payload, std::optional<SteadyTime> answersSentAt)
    {
        const StoredUpdate& update = run.updates[payload];
        peerUpdateReceived(run.instances[to], instanceIdOf(from), update.pool, update.targets, answersSentAt, run.now);
        decideAt(run, to);
    }

    void onHeartbeatArrives(Simulation& run, const Event& event)
    {
        applyUpdate(run, event.subject, event.other, event.payload, std::nullopt);
        std::size_t payload = storeUpdate(run, event.subject);
        run.events.push({ .at = run.now + peerDelay, .sequence = run.nextSequence++, .kind = EventKind::AnswerArrives, .subject = event.other, .other = event.subject, .payload = payload, .sentAt = event.sentAt });
    }

    void onArrival(Simulation& run, std::size_t index)
    {
        SimRequest& request = run.requests[index];
        request.arrivedAt = run.now;
        request.instance = std::uniform_int_distribution<std::size_t>(0, run.instances.size() - 1)(run.random);
        if (!request.clientRetries)
            run.result.tiers[static_cast<std::size_t>(request.arrival.tier)].arrived += 1;
        enqueueRequest(run, index, std::nullopt);
        decideAt(run, request.instance);
    }

    void handle(Simulation& run, const Event& event)
    {
        switch (event.kind) {
        case EventKind::Arrival:
            return onArrival(run, event.subject);
        case EventKind::StepEnds:
            return onStepEnds(run, event.subject);
        case EventKind::ReachesEngine:
            return onReachesEngine(run, event);
        case EventKind::CancelReachesEngine:
            cancelSequence(run.engines[event.other], event.subject);
            return startStep(run, event.other);
        case EventKind::Tick:
            decideAt(run, event.subject);
            if (run.now < run.end)
                schedule(run, run.now + tickPeriod, EventKind::Tick, event.subject);
            return;
        case EventKind::Heartbeat:
            return onHeartbeat(run, event.subject);
        case EventKind::HeartbeatArrives:
            return onHeartbeatArrives(run, event);
        case EventKind::AnswerArrives:
            return applyUpdate(run, event.subject, event.other, event.payload, event.sentAt);
        case EventKind::Report:
            return onReport(run, event.subject);
        case EventKind::ReportArrives:
            targetReported(run.instances[event.subject], run.reports[event.payload], run.now);
            return;
        case EventKind::CacheArrives:
            cacheChanged(run.instances[event.subject], run.changes[event.payload]);
            return;
        case EventKind::FaultBegins:
            return onFault(run);
        case EventKind::CleaningStep:
            return onCleaningStep(run);
        }
    }

    void scheduleInitialEvents(Simulation& run)
    {
        for (std::size_t engine = 0; engine < run.engines.size(); ++engine)
            schedule(run, run.now + reportPeriod * static_cast<int>(engine) / static_cast<int>(run.engines.size()), EventKind::Report, engine);
        for (std::size_t instance = 0; instance < run.instances.size(); ++instance) {
            Duration offset = run.settings.site.heartbeatPeriod * static_cast<int>(instance) / static_cast<int>(run.instances.size());
            schedule(run, run.now + offset, EventKind::Heartbeat, instance);
            schedule(run, run.now + offset / 5, EventKind::Tick, instance);
        }
        if (run.options.fault != Fault::None)
            schedule(run, run.now + run.options.faultAt, EventKind::FaultBegins);
    }

} // namespace

void add(TimeHistogram& histogram, Duration time)
{
    double microseconds = std::max(1.0, static_cast<double>(time.count()) / 1'000);
    auto bucket = static_cast<std::size_t>(std::log2(microseconds) * 12);
    histogram.buckets[std::min(bucket, TimeHistogram::size - 1)] += 1;
    histogram.count += 1;
}

double quantile(const TimeHistogram& histogram, double share)
{
    if (!histogram.count)
        return 0;
    auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(histogram.count)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < TimeHistogram::size; ++bucket) {
        seen += histogram.buckets[bucket];
        if (seen >= std::max<std::uint64_t>(rank, 1))
            return std::exp2((static_cast<double>(bucket) + 0.5) / 12) / 1e6;
    }
    return 0;
}

double lostCapacityShare(const Mix& mix)
{
    Simulation run { .options = { .mix = mix } };
    makeEngines(run);
    double lost = 0;
    for (std::size_t engine = 0; engine < run.engines.size(); engine += failureDomains)
        lost += run.engines[engine].options.speed;
    return lost / totalSpeed(run);
}

RunResult runPolicy(const RunOptions& options)
{
    Simulation run { .options = options, .isOracle = options.policy == "oracle", .random = pcg64(options.seed * 7 + 1) };
    makeEngines(run);
    makeSettings(run);
    run.instances.resize(static_cast<std::size_t>(run.isOracle ? 1 : options.instances));
    for (std::size_t instance = 0; instance < run.instances.size(); ++instance)
        run.instances[instance] = makeInstance(run, instance);
    double capacity = capacityOf(options.mix, totalSpeed(run));
    std::vector<Arrival> arrivals = makeArrivals(options.mix, options.phases, capacity, options.seed, options.onlyTier);
    run.end = run.start + (arrivals.empty() ? Duration(0) : arrivals.back().at) + drainTime;
    run.requests.reserve(arrivals.size() * 4);
    for (Arrival& arrival : arrivals) {
        schedule(run, run.start + arrival.at, EventKind::Arrival, run.requests.size());
        SteadyTime arrivedAt = run.start + arrival.at;
        run.requests.push_back({ .arrival = std::move(arrival), .arrivedAt = arrivedAt });
    }
    scheduleInitialEvents(run);
    while (!run.events.empty()) {
        Event event = run.events.top();
        run.events.pop();
        run.now = event.at;
        handle(run, event);
    }
    return run.result;
}

} // namespace limpetpond::bench
