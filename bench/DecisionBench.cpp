#include "bench/DecisionBench.h"

#include "bench/AllocationCounter.h"
#include "bench/Timing.h"
#include "core/Scheduler.h"
#include <chrono>
#include <cstdio>
#include <pcg_random.hpp>
#include <vector>

namespace limpetpond::bench {

namespace {

    constexpr int targetCount = 100;
    constexpr int waitingRequests = 1'000;
    constexpr int accountCount = 5;
    constexpr int documentCount = 200;
    constexpr int warmUp = 20'000;
    constexpr int samples = 200'000;
    constexpr double boundMicroseconds = 20;

    struct DecisionRun {
        PoolScheduler pool = makePoolScheduler(PoolId("drafts"), InstanceId("a"), 1);
        SteadyTime now { std::chrono::hours(1) };
        pcg32 random { 7 };
        std::uint64_t requestCount { 0 };
        std::vector<RequestId> running;
        std::vector<SchedulerDecision> decisions;
    };

    Settings makeSettings()
    {
        Settings settings;
        PoolSettings pool { .id = PoolId("drafts"), .maxWaiting = 2 * waitingRequests };
        settings.pools[pool.id] = pool;
        for (std::uint32_t tier = 0; tier < 3; ++tier)
            settings.tiers.push_back({ .name = "tier-" + std::to_string(tier), .level = { tier } });
        for (int i = 0; i < targetCount; ++i) {
            TargetId id("engine-" + std::to_string(i));
            settings.targets[id] = { .id = id, .pool = pool.id, .maxTokensInProgress = TokenCount(20'000) };
        }
        for (int i = 0; i < accountCount; ++i) {
            ClientAccountId id("account-" + std::to_string(i));
            settings.accounts[id] = { .id = id, .maxWaiting = 2 * waitingRequests };
        }
        return settings;
    }

    QueuedRequest makeRequest(DecisionRun& run)
    {
        run.requestCount += 1;
        QueuedRequest request { .request = RequestId("request-of-entry-1-" + std::to_string(run.requestCount)),
            .account = ClientAccountId("account-" + std::to_string(run.random(accountCount))),
            .tier = { run.random(3) },
            .promptTokens = TokenCount(200 + run.random(2'000)),
            .answerTokens = TokenCount(50 + run.random(400)),
            .arrivedAt = run.now };
        std::uint64_t document = run.random(documentCount);
        auto blocks = static_cast<std::uint64_t>(request.promptTokens.count() / 64);
        for (std::uint64_t i = 0; i < blocks; ++i)
            request.prefixBlocks.push_back(i < 16 ? document * 1'000 + i : (run.requestCount << 20) + i);
        return request;
    }

    void fillQueue(DecisionRun& run)
    {
        while (run.pool.waitingCount < waitingRequests)
            enqueue(run.pool, makeRequest(run), run.now);
    }

    void endRandomDispatch(DecisionRun& run)
    {
        if (run.running.empty())
            return;
        std::size_t index = run.random(static_cast<std::uint32_t>(run.running.size()));
        answerStarted(run.pool, run.running[index], std::nullopt, run.now);
        dispatchEnded(run.pool, run.running[index], DispatchEnd::Completed, TokenCount(100), run.now);
        run.running[index] = run.running.back();
        run.running.pop_back();
    }

    void recordDispatches(DecisionRun& run)
    {
        for (const SchedulerDecision& decision : run.decisions) {
            if (const auto* dispatch = std::get_if<DispatchDecision>(&decision))
                run.running.push_back(dispatch->request);
        }
    }

} // namespace

int runDecisionBench()
{
    DecisionRun run;
    applySettings(run.pool, makeSettings(), run.now);
    std::vector<double> microseconds;
    std::vector<double> processorTimes;
    std::uint64_t allocated = 0;
    std::uint64_t dispatched = 0;
    for (int i = 0; i < warmUp + samples; ++i) {
        run.now += std::chrono::microseconds(500);
        fillQueue(run);
        endRandomDispatch(run);
        run.decisions.clear();
        std::uint64_t allocatedBefore = allocationsSoFar();
        double processorStart = processorMicroseconds();
        auto start = std::chrono::steady_clock::now();
        decide(run.pool, run.now, run.decisions);
        std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
        double processor = processorMicroseconds() - processorStart;
        if (i >= warmUp) {
            microseconds.push_back(elapsed.count());
            processorTimes.push_back(processor);
            allocated += allocationsSoFar() - allocatedBefore;
            dispatched += run.decisions.size();
        }
        recordDispatches(run);
    }
    double p50 = quantileOf(microseconds, 0.5);
    double p99 = quantileOf(microseconds, 0.99);
    bool isMet = p99 < boundMicroseconds;
    std::printf("decide, %d targets, %d waiting: p50 %.2f us, p99 %.2f us, most %.2f us; %.3f allocations and %.3f decisions a call\n",
        targetCount, waitingRequests, p50, p99, microseconds.back(), static_cast<double>(allocated) / samples, static_cast<double>(dispatched) / samples);
    std::printf("processor time of the thread, reading its clock included: p50 %.2f us, p99 %.2f us\n", quantileOf(processorTimes, 0.5), quantileOf(processorTimes, 0.99));
    std::printf("%s  p99 of decide, bound < %.0f us\n", isMet ? "PASS" : "FAIL", boundMicroseconds);
    return isMet ? 0 : 1;
}

} // namespace limpetpond::bench
