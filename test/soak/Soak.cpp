/// Randomised runs of the decision core with injected faults, checked by the oracle:
/// `limpetpond-soak --seeds A..B --steps M [--jobs N] [--mutants]`.

#include "core/Guard.h"
#include "core/Invariant.h"
#include "test/soak/SimulatedCluster.h"
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace limpetpond;
using namespace limpetpond::soak;

namespace {

thread_local SimulatedCluster* currentCluster = nullptr;

struct Arguments {
    std::uint64_t firstSeed { 1 };
    std::uint64_t lastSeed { 1 };
    std::uint64_t steps { 50'000 };
    unsigned jobs { 2 };
    bool runsMutants { false };
    std::string mutant; ///< The guard to disable; empty for none.
};

struct SeedResult {
    std::uint64_t steps { 0 };
    std::uint64_t digest { 0 };
    std::uint64_t runs { 0 };
    std::uint64_t completed { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t shed { 0 };
    FaultCounts faults;
    std::vector<Violation> violations;
};

SeedResult runSeed(std::uint64_t seed, std::uint64_t steps)
{
    SimulatedCluster cluster({ .seed = seed, .steps = steps });
    currentCluster = &cluster;
    cluster.run();
    currentCluster = nullptr;
    const Oracle& oracle = cluster.oracle();
    return { cluster.steps(), cluster.digest(), oracle.runs, oracle.completed, oracle.notRun, oracle.unknown, oracle.shed, cluster.faults(), cluster.violations() };
}

void printViolation(std::uint64_t seed, const SeedResult& result)
{
    for (const Violation& violation : result.violations) {
        auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(violation.at.time_since_epoch()).count();
        std::printf("VIOLATION seed %llu after %llu steps at %lld ms: %s: %s\n", static_cast<unsigned long long>(seed),
            static_cast<unsigned long long>(result.steps), static_cast<long long>(millis), violation.promise.c_str(), violation.detail.c_str());
    }
}

void addFaults(FaultCounts& sum, const FaultCounts& faults)
{
    sum.kills += faults.kills;
    sum.cuts += faults.cuts;
    sum.freezes += faults.freezes;
    sum.storeOutages += faults.storeOutages;
    sum.lostAnswers += faults.lostAnswers;
    sum.slowTargets += faults.slowTargets;
    sum.bursts += faults.bursts;
    sum.staleHeads += faults.staleHeads;
    sum.conflicts += faults.conflicts;
}

void add(SeedResult& sum, const SeedResult& result)
{
    sum.steps += result.steps;
    sum.runs += result.runs;
    sum.completed += result.completed;
    sum.notRun += result.notRun;
    sum.unknown += result.unknown;
    sum.shed += result.shed;
    addFaults(sum.faults, result.faults);
}

/// Runs all seeds on `jobs` threads and returns the number of seeds with a violation.
int runSeeds(const Arguments& arguments, GuardId disabled)
{
    std::atomic<std::uint64_t> next { arguments.firstSeed };
    std::mutex mutex;
    SeedResult sum;
    std::uint64_t digest = 0;
    int failed = 0;
    auto work = [&] {
#ifdef LIMPETPOND_TEST_HOOKS
        disableGuard(disabled);
#else
        static_cast<void>(disabled);
#endif
        for (std::uint64_t seed = next++; seed <= arguments.lastSeed; seed = next++) {
            SeedResult result = runSeed(seed, arguments.steps);
            std::lock_guard lock(mutex);
            add(sum, result);
            digest ^= result.digest * (2 * seed + 1);
            failed += !result.violations.empty();
            printViolation(seed, result);
        }
    };
    auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < arguments.jobs; ++i)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    auto u = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("{\"seeds\":%llu,\"steps\":%llu,\"violations\":%d,\"dispatches\":%llu,\"completed\":%llu,\"not_run\":%llu,\"unknown\":%llu,\"shed\":%llu,",
        u(arguments.lastSeed - arguments.firstSeed + 1), u(sum.steps), failed, u(sum.runs), u(sum.completed), u(sum.notRun), u(sum.unknown), u(sum.shed));
    std::printf("\"kills\":%llu,\"cuts\":%llu,\"freezes\":%llu,\"store_outages\":%llu,\"lost_answers\":%llu,\"slow_targets\":%llu,\"bursts\":%llu,",
        u(sum.faults.kills), u(sum.faults.cuts), u(sum.faults.freezes), u(sum.faults.storeOutages), u(sum.faults.lostAnswers), u(sum.faults.slowTargets), u(sum.faults.bursts));
    std::printf("\"stale_heads\":%llu,\"conflicts\":%llu,\"seconds\":%.1f,\"digest\":\"%016llx\"}\n", u(sum.faults.staleHeads), u(sum.faults.conflicts), elapsed, u(digest));
    return failed;
}

/// A guard that is disabled to check that the seeds detect its absence.
struct Mutant {
    const char* name;
    GuardId guard;
};

#define SOAK_MUTANT(name)    \
    {                        \
#name, GuardId::name \
    }

constexpr Mutant mutants[] = {
    SOAK_MUTANT(ClaimNeverStolen),
    SOAK_MUTANT(ClaimKnownBeforeDispatch),
    SOAK_MUTANT(NotRunIsWon),
    SOAK_MUTANT(RetryTokenRequired),
    SOAK_MUTANT(BodyHashCompared),
    SOAK_MUTANT(LostAnswerIsUnknown),
    SOAK_MUTANT(ClaimWindowChecked),
    SOAK_MUTANT(KeyedCallIsClaimed),
    SOAK_MUTANT(SecondDispatchOnlyIfNotStarted),
    SOAK_MUTANT(DispatchNotAfterChecked),
    SOAK_MUTANT(LowerVersionRefused),
    SOAK_MUTANT(ViewAgeChecked),
    SOAK_MUTANT(MajorityAsked),
    SOAK_MUTANT(AcceptWaitsForMajority),
    SOAK_MUTANT(LeavingMarkRespected),
    SOAK_MUTANT(EmptyIsProved),
    SOAK_MUTANT(FloorConfirmedBeforeShed),
    SOAK_MUTANT(LowerTierShedFirst),
    SOAK_MUTANT(ForeignPieceDropped),
    SOAK_MUTANT(RepeatedPieceDropped),
    SOAK_MUTANT(GapHeldBack),
    SOAK_MUTANT(HolderStopsEarly),
    SOAK_MUTANT(LongestOrderWaitedOut),
    SOAK_MUTANT(FencingNumberRaised),
};

#undef SOAK_MUTANT

/// Returns whether a seed detects the mutant by a violation; stops at the first one that does.
bool isDetected(const Arguments& arguments, const Mutant& mutant)
{
    std::atomic<std::uint64_t> next { arguments.firstSeed };
    std::atomic<bool> found { false };
    std::mutex mutex;
    auto work = [&] {
#ifdef LIMPETPOND_TEST_HOOKS
        disableGuard(mutant.guard);
#endif
        for (std::uint64_t seed = next++; seed <= arguments.lastSeed && !found; seed = next++) {
            SeedResult result = runSeed(seed, arguments.steps);
            if (result.violations.empty() || found.exchange(true))
                continue;
            std::lock_guard lock(mutex);
            std::printf("%-32s found by seed %llu after %llu steps: %s\n", mutant.name, static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(result.steps), result.violations.front().promise.c_str());
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < arguments.jobs; ++i)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    if (!found)
        std::printf("%-32s NOT FOUND\n", mutant.name);
    std::fflush(stdout);
    return found;
}

int runMutants(const Arguments& arguments)
{
#ifndef LIMPETPOND_TEST_HOOKS
    std::fprintf(stderr, "this build has no test hooks; configure with LIMPETPOND_TEST_HOOKS=ON\n");
    return 2;
#endif
    int found = 0;
    for (const Mutant& mutant : mutants)
        found += isDetected(arguments, mutant);
    int total = static_cast<int>(std::size(mutants));
    std::printf("{\"mutants\":%d,\"found\":%d}\n", total, found);
    return found == total ? 0 : 1;
}

GuardId guardNamed(std::string_view name)
{
    for (const Mutant& mutant : mutants) {
        if (name == mutant.name)
            return mutant.guard;
    }
    return GuardId::None;
}

[[noreturn]] void exitForBadArgument(const char* argument)
{
    std::fprintf(stderr, "limpetpond-soak: bad argument %s; allowed: --seed N, --seeds A..B, --steps M, --jobs N, --mutants, --mutant GUARD\n", argument);
    std::exit(2);
}

std::uint64_t parseNumber(const char* argument, const char* text, char** end)
{
    if (!text || *text < '0' || *text > '9')
        exitForBadArgument(argument);
    return std::strtoull(text, end, 10);
}

Arguments parseArguments(int count, char** values)
{
    Arguments arguments;
    for (int i = 1; i < count; ++i) {
        std::string_view name = values[i];
        const char* value = i + 1 < count ? values[i + 1] : nullptr;
        char* end = nullptr;
        if (name == "--mutants") {
            arguments.runsMutants = true;
            continue;
        }
        if (name == "--seed")
            arguments.firstSeed = arguments.lastSeed = parseNumber(values[i], value, &end);
        else if (name == "--seeds") {
            arguments.firstSeed = parseNumber(values[i], value, &end);
            if (std::strncmp(end, "..", 2) != 0)
                exitForBadArgument(values[i]);
            arguments.lastSeed = parseNumber(values[i], end + 2, &end);
        } else if (name == "--steps")
            arguments.steps = parseNumber(values[i], value, &end);
        else if (name == "--jobs")
            arguments.jobs = static_cast<unsigned>(parseNumber(values[i], value, &end));
        else if (name == "--mutant" && value && guardNamed(value) != GuardId::None)
            arguments.mutant = value;
        else
            exitForBadArgument(values[i]);
        if (end && *end)
            exitForBadArgument(values[i]);
        ++i;
    }
    return arguments;
}

} // namespace

int main(int argc, char** argv)
{
    Arguments arguments = parseArguments(argc, argv);
    setInvariantHandler([](InvariantId id) {
        if (currentCluster)
            currentCluster->recordInvariant(id);
    });
    if (arguments.runsMutants)
        return runMutants(arguments);
    return runSeeds(arguments, guardNamed(arguments.mutant)) ? 1 : 0;
}
