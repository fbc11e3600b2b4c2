#include "bench/SlopesBench.h"

#include "bench/AllocationCounter.h"
#include "bench/Timing.h"
#include "core/Claims.h"
#include "core/Drain.h"
#include "core/Membership.h"
#include "core/Scheduler.h"
#include "core/SettingsTree.h"
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limpetpond::bench {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // The largest supported size, to which the fits are extrapolated.
    constexpr double nodes = 1'500;
    constexpr double workers = 4'100;
    constexpr double accounts = 5'800;
    constexpr double changesADay = 5'100;
    constexpr double requestsASecond = 46'000;
    constexpr double secondsADay = 86'400;

    // Resources that one node may spend on control.
    constexpr double processorBudget = 0.038; // of a core
    constexpr double memoryBudget = 64e6; // bytes
    constexpr double trafficBudget = 3'000; // bytes a second

    const PoolId poolId { "drafts" };
    const SteadyTime start { std::chrono::hours(1) };

    // ---- Fits ----

    struct LinearFit {
        double base { 0 };
        double slope { 0 };
        double residual { 0 }; ///< The largest distance of a point from the fit, as a share of the largest value.
    };

    LinearFit fit(const std::vector<double>& x, const std::vector<double>& y)
    {
        double n = static_cast<double>(x.size());
        double sumX = 0;
        double sumY = 0;
        double sumXX = 0;
        double sumXY = 0;
        for (std::size_t i = 0; i < x.size(); ++i) {
            sumX += x[i];
            sumY += y[i];
            sumXX += x[i] * x[i];
            sumXY += x[i] * y[i];
        }
        LinearFit line;
        line.slope = (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX);
        line.base = (sumY - line.slope * sumX) / n;
        double largest = 1e-12;
        for (std::size_t i = 0; i < x.size(); ++i) {
            line.residual = std::max(line.residual, std::abs(y[i] - line.base - line.slope * x[i]));
            largest = std::max(largest, std::abs(y[i]));
        }
        line.residual /= largest;
        return line;
    }

    struct Series {
        std::string role;
        std::string quantity;
        std::string unit;
        std::string per; ///< The unit of x.
        std::vector<double> x;
        double atLarge { 0 }; ///< x at the large size.
        double budget { 0 }; ///< 0 for none.
    };

    void report(const Series& series, const std::function<double(double)>& measure)
    {
        std::vector<double> y;
        std::transform(series.x.begin(), series.x.end(), std::back_inserter(y), measure);
        LinearFit line = fit(series.x, y);
        double large = line.base + line.slope * series.atLarge;
        std::printf("%-11s %-34s %11.4g + %10.4g per %-9s residual %4.1f%%  at %6.0f: %11.4g %s", series.role.c_str(), series.quantity.c_str(), line.base,
            line.slope, series.per.c_str(), 100 * line.residual, series.atLarge, large, series.unit.c_str());
        if (series.budget > 0)
            std::printf("  (%.1f%% of the budget, %s)", 100 * large / series.budget, large <= series.budget ? "fits" : "DOES NOT FIT");
        std::printf("\n            points:");
        for (std::size_t i = 0; i < y.size(); ++i)
            std::printf(" %.0f:%.4g", series.x[i], y[i]);
        std::printf("\n");
    }

    // ---- Measures ----

    double processorSeconds()
    {
        constexpr double secondsInMicrosecond = 1e-6;
        return processorMicroseconds() * secondsInMicrosecond;
    }

    // Mean processor time of one call, over at least `minSeconds` because the clock is too coarse for a single call.
    double secondsOf(const std::function<void()>& call, double minSeconds = 0.02)
    {
        call();
        double begin = processorSeconds();
        double calls = 0;
        while (processorSeconds() - begin < minSeconds) {
            call();
            calls += 1;
        }
        return (processorSeconds() - begin) / calls;
    }

    template <typename Make>
    double bytesOf(Make make)
    {
        std::int64_t before = bytesHeld();
        auto held = make();
        auto bytes = static_cast<double>(bytesHeld() - before);
        return bytes + static_cast<double>(sizeof(held));
    }

    // ---- Inputs ----

    Settings makeSettings(double targets, double clientAccounts)
    {
        Settings settings;
        settings.pools[poolId] = { .id = poolId };
        for (std::uint32_t tier = 0; tier < 3; ++tier)
            settings.tiers.push_back({ .name = "tier-" + std::to_string(tier), .level = { tier } });
        for (int i = 0; i < targets; ++i) {
            TargetId id("engine-" + std::to_string(i));
            settings.targets[id] = { .id = id, .pool = poolId, .failureDomain = FailureDomainId("domain-" + std::to_string(i % 6)), .host = "10.1.2.3", .port = 8'000 };
        }
        for (int i = 0; i < clientAccounts; ++i) {
            ClientAccountId id("account-" + std::to_string(i));
            settings.accounts[id] = { .id = id, .keyHashes = { std::string(64, 'a') } };
        }
        return settings;
    }

    PoolScheduler makePool(double targets, double clientAccounts)
    {
        PoolScheduler pool = makePoolScheduler(poolId, InstanceId("a"), 1);
        applySettings(pool, makeSettings(targets, clientAccounts), start);
        return pool;
    }

    SettingsTree makeTree(double clientAccounts)
    {
        SettingsTree tree { .version = SettingsVersion(1) };
        for (int i = 0; i < clientAccounts; ++i) {
            Branch& branch = tree.branches["account/account-" + std::to_string(i)];
            branch.version = SettingsVersion(1);
            branch.fields["weight"] = { .value = 1.0, .version = SettingsVersion(1), .author = "operator" };
            branch.fields["key_hashes"] = { .value = boost::json::array { std::string(64, 'a') }, .version = SettingsVersion(1), .author = "operator" };
        }
        return tree;
    }

    InstanceId instanceOf(int number)
    {
        return InstanceId("entry-" + std::to_string(number));
    }

    Membership makeMembers(double instances)
    {
        Membership membership = makeMembership({ .self = instanceOf(0), .incarnation = Incarnation(1) }, start);
        InstanceListRead list;
        for (int i = 0; i < instances; ++i)
            list.instances.push_back({ .instance = instanceOf(i), .host = "10.1.2.3", .port = 9'000, .failureDomain = FailureDomainId("domain-1") });
        handleInstanceListRead(membership, list, start);
        for (int i = 1; i < instances; ++i)
            applyHeartbeatAnswer(membership, { .instance = instanceOf(i), .incarnation = Incarnation(1), .sequence = 1 }, start, start);
        return membership;
    }

    struct MembershipLoad {
        double bytesASecond { 0 };
        double messagesASecond { 0 };
        double processorShare { 0 };
    };

    // Simulates a minute of answered probes and as many received ones. Counts only the second half, when the updates from
    // the start are no longer sent.
    MembershipLoad runMembership(double instances)
    {
        constexpr int steps = 600;
        constexpr int countedFrom = 300;
        Membership membership = makeMembers(instances);
        SiteSettings site;
        MembershipLoad load;
        double begin = 0;
        MembershipCounters before;
        for (int step = 0; step < steps; ++step) {
            if (step == countedFrom) {
                begin = processorSeconds();
                before = membership.counters;
            }
            SteadyTime now = start + milliseconds(100) * step;
            updateMembership(membership, site, now);
            for (const InstanceId& peer : chooseProbes(membership, site, now)) {
                Heartbeat probe;
                fillHeartbeat(membership, probe);
                countSent(membership, probe);
                Heartbeat answer { .instance = peer, .incarnation = Incarnation(1), .sequence = static_cast<std::uint64_t>(step) + 2 };
                applyHeartbeatAnswer(membership, answer, now, now);
                applyHeartbeat(membership, answer, now);
                Heartbeat reply;
                fillHeartbeat(membership, reply);
                countSent(membership, reply);
            }
        }
        constexpr double elapsed = (steps - countedFrom) / 10.0;
        load.processorShare = (processorSeconds() - begin) / elapsed;
        load.bytesASecond = static_cast<double>(membership.counters.bytesSent - before.bytesSent) / elapsed;
        load.messagesASecond = static_cast<double>(membership.counters.heartbeatsSent - before.heartbeatsSent) / elapsed;
        return load;
    }

    Heartbeat makeHeartbeat(double busyTargets)
    {
        Heartbeat heartbeat { .instance = instanceOf(1), .incarnation = Incarnation(1), .sequence = 1 };
        heartbeat.pools.push_back({ .pool = poolId, .waitingTokensByTier = std::vector<TokenCount>(3) });
        for (int i = 0; i < busyTargets; ++i)
            heartbeat.targets.push_back({ .target = TargetId("engine-" + std::to_string(i)), .tokensInProgress = TokenCount(20'000), .requestsInProgress = 9 });
        return heartbeat;
    }

    // Processor time of one request in the scheduler: enqueue, dispatch, start and end.
    double secondsOfRequest(double targets)
    {
        PoolScheduler pool = makePool(targets, 5);
        std::vector<SchedulerDecision> decisions;
        std::uint64_t requestCount = 0;
        SteadyTime now = start;
        return secondsOf([&] {
            now += milliseconds(32);
            requestCount += 1;
            RequestId request("request-" + std::to_string(requestCount));
            QueuedRequest queued { .request = request, .account = ClientAccountId("account-1"), .promptTokens = TokenCount(1'000), .answerTokens = TokenCount(200), .arrivedAt = now };
            for (std::uint64_t block = 0; block < 15; ++block)
                queued.prefixBlocks.push_back(block < 8 ? requestCount % 100 * 1'000 + block : requestCount * 1'000'000 + block);
            enqueue(pool, std::move(queued), now);
            decisions.clear();
            decide(pool, now, decisions);
            answerStarted(pool, request, TokenCount(512), now);
            dispatchEnded(pool, request, DispatchEnd::Completed, TokenCount(200), now);
            decide(pool, now, decisions);
        });
    }

    double secondsOfDrainUpdate(double instances)
    {
        DrainTracker tracker { .self = instanceOf(0) };
        Heartbeat heartbeat = makeHeartbeat(20);
        for (int i = 1; i < instances; ++i) {
            heartbeat.instance = instanceOf(i);
            recordWork(tracker, heartbeat, start);
        }
        Settings settings = makeSettings(20, 5);
        return secondsOf([&] { updateDrains(tracker, settings, start); });
    }

    double bytesOfDrains(double instances)
    {
        return bytesOf([&] {
            DrainTracker tracker { .self = instanceOf(0) };
            Heartbeat heartbeat = makeHeartbeat(20);
            for (int i = 1; i < instances; ++i) {
                heartbeat.instance = instanceOf(i);
                recordWork(tracker, heartbeat, start);
            }
            return tracker;
        });
    }

    double bytesOfPeers(double instances)
    {
        return bytesOf([&] {
            PoolScheduler pool = makePool(20, 5);
            Heartbeat heartbeat = makeHeartbeat(20);
            for (int i = 1; i < instances; ++i)
                peerUpdateReceived(pool, instanceOf(i), heartbeat.pools.front(), heartbeat.targets, start, start);
            return pool;
        });
    }

    double secondsOfPeerUpdate(double instances)
    {
        PoolScheduler pool = makePool(20, 5);
        Heartbeat heartbeat = makeHeartbeat(20);
        for (int i = 1; i < instances; ++i)
            peerUpdateReceived(pool, instanceOf(i), heartbeat.pools.front(), heartbeat.targets, start, start);
        return secondsOf([&] { peerUpdateReceived(pool, instanceOf(1), heartbeat.pools.front(), heartbeat.targets, start, start); });
    }

    double writesOfClaims(double claims)
    {
        double writes = 0;
        for (int i = 0; i < claims; ++i) {
            ControlActions actions;
            RequestArrived arrived { .request = RequestId("r"), .account = ClientAccountId("a"), .pool = poolId, .idempotent = false, .key = IdempotencyKey("k" + std::to_string(i)) };
            startClaim(arrived, AttemptId("t"), instanceOf(0), {}, start, actions);
            writes += static_cast<double>(std::count_if(actions.begin(), actions.end(), [](const ControlAction& action) { return std::holds_alternative<WriteClaim>(action); }));
        }
        return writes;
    }

    double bytesOfClaims(double claims)
    {
        return bytesOf([&] {
            std::vector<ClaimProgress> all;
            for (int i = 0; i < claims; ++i) {
                ControlActions actions;
                RequestArrived arrived { .request = RequestId("request-" + std::to_string(i)), .account = ClientAccountId("a"), .pool = poolId, .idempotent = false, .key = IdempotencyKey("key-of-a-claim-" + std::to_string(i)) };
                all.push_back(startClaim(arrived, AttemptId("attempt-of-a-claim"), instanceOf(0), {}, start, actions));
            }
            return all;
        });
    }

    // ---- Reports ----

    const std::vector<double> instanceCounts { 4, 30, 100, 300 };
    const std::vector<double> targetCounts { 20, 200, 1'000, 4'100 };
    const std::vector<double> accountCounts { 5, 100, 1'000, 5'800 };
    const std::vector<double> changeCounts { 10, 100, 1'000, 5'100 };
    const std::vector<double> claimCounts { 10, 100, 1'000 };

    void reportMembership()
    {
        Series series { "membership", "state", "bytes", "instance", instanceCounts, nodes, memoryBudget };
        report(series, [](double n) { return bytesOf([&] { return makeMembers(n); }); });
        // Above `probeAllUpTo` peers the number of probes is constant, so only these sizes are fitted.
        report({ "membership", "sent without load news", "bytes/s", "instance", { 30, 100, 300 }, nodes, trafficBudget }, [](double n) { return runMembership(n).bytesASecond; });
        report({ "membership", "messages sent", "1/s", "instance", { 30, 100, 300 }, nodes }, [](double n) { return runMembership(n).messagesASecond; });
        report({ "membership", "processor", "of a core", "instance", instanceCounts, nodes, processorBudget }, [](double n) { return runMembership(n).processorShare; });
    }

    void reportRouting()
    {
        report({ "routing", "state", "bytes", "target", targetCounts, workers, memoryBudget }, [](double n) { return bytesOf([&] { return makePool(n, 5); }); });
        report({ "routing", "one request", "s", "target", targetCounts, workers }, secondsOfRequest);
        report({ "routing", "processor at a node's requests", "of a core", "target", targetCounts, workers, processorBudget }, [](double n) { return secondsOfRequest(n) * requestsASecond / nodes; });
        report({ "routing", "load news in one heartbeat", "bytes", "target", targetCounts, workers }, [](double n) { return static_cast<double>(heartbeatSize(makeHeartbeat(n)).count()); });
        report({ "routing", "load news, 8 messages a second", "bytes/s", "target", targetCounts, workers, trafficBudget }, [](double n) { return 8.0 * static_cast<double>(heartbeatSize(makeHeartbeat(n)).count()); });
    }

    void reportTiers()
    {
        report({ "tiers", "state of peers' news, 20 targets", "bytes", "instance", instanceCounts, nodes, memoryBudget }, bytesOfPeers);
        report({ "tiers", "one piece of news, 20 targets", "s", "instance", instanceCounts, nodes }, secondsOfPeerUpdate);
    }

    void reportSettings()
    {
        report({ "settings", "state by accounts", "bytes", "account", accountCounts, accounts, memoryBudget }, [](double n) { return bytesOf([&] { return makeSettings(20, n); }); });
        report({ "settings", "state by targets", "bytes", "target", targetCounts, workers, memoryBudget }, [](double n) { return bytesOf([&] { return makeSettings(n, 5); }); });
        report({ "settings", "tree by accounts", "bytes", "account", accountCounts, accounts, memoryBudget }, [](double n) { return bytesOf([&] { return makeTree(n); }); });
        report({ "settings", "snapshot as JSON", "bytes", "account", accountCounts, accounts }, [](double n) { return static_cast<double>(treeToJson(makeTree(n)).size()); });
        report({ "settings", "one change: resolve the tree", "s", "account", accountCounts, accounts }, [](double n) {
            SettingsTree tree = makeTree(n);
            return secondsOf([&] { resolve(tree); });
        });
        report({ "settings", "one change: apply to a pool", "s", "account", accountCounts, accounts }, [](double n) {
            Settings settings = makeSettings(20, n);
            PoolScheduler pool = makePool(20, n);
            return secondsOf([&] { applySettings(pool, settings, start); });
        });
        SettingsTree large = makeTree(accounts);
        Settings settings = makeSettings(workers, accounts);
        PoolScheduler pool = makePool(workers, accounts);
        double change = secondsOf([&] { resolve(large); }) + secondsOf([&] { applySettings(pool, settings, start); });
        report({ "settings", "processor, all changes", "of a core", "change/day", changeCounts, changesADay, processorBudget }, [&](double n) { return change * n / secondsADay; });
    }

    void reportDrains()
    {
        report({ "drains", "state, 20 targets", "bytes", "instance", instanceCounts, nodes, memoryBudget }, bytesOfDrains);
        report({ "drains", "one update, 20 targets", "s", "instance", instanceCounts, nodes }, secondsOfDrainUpdate);
    }

    void reportClaims()
    {
        report({ "claims", "state of a node", "bytes", "claim", claimCounts, requestsASecond / nodes, memoryBudget }, bytesOfClaims);
        report({ "claims", "writes to win them", "1/s", "claim/s", claimCounts, requestsASecond }, writesOfClaims);
    }

} // namespace

int runSlopesBench()
{
    std::printf("Large size: %.0f nodes, %.0f workers, %.0f accounts, %.0f changes a day, %.0f requests a second.\n", nodes, workers, accounts, changesADay, requestsASecond);
    std::printf("Budget of a node: %.1f%% of a core, %.0f MB, %.0f bytes a second.\n", 100 * processorBudget, memoryBudget / 1e6, trafficBudget);
    reportMembership();
    reportRouting();
    reportTiers();
    reportSettings();
    reportDrains();
    reportClaims();
    return 0;
}

} // namespace limpetpond::bench
