/// A randomised test of real gateway processes under external faults:
/// `limpetpond-faultsoak --seeds A..B [--jobs N] [--guard NUMBER] [--logs FOLDER]`.
///
/// A seed determines the faults, their times and the requests. The processes run in real time, so a repeated seed
/// injects the same faults in about the same order but doesn't reproduce a run exactly.

#include "test/faultsoak/Run.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <cstdio>
#include <string>

ABSL_FLAG(std::string, seeds, "1..1", "the seeds to run, as A..B or one number");
ABSL_FLAG(int, jobs, 1, "seeds to run in parallel, 1 to 16");
ABSL_FLAG(int, gateways, 3, "gateways per seed, 2 to 40");
ABSL_FLAG(int, seconds, 7, "duration of the faults of a seed, in seconds");
ABSL_FLAG(int, guard, 0, "number of a guard to disable, to check that its violation is detected; 0 for none");
ABSL_FLAG(std::string, logs, "", "folder for the gateways' logs; empty for none");

namespace {

using namespace limpetpond::faultsoak;

constexpr int exitViolated = 1;
constexpr int exitUsage = 2;

int report(std::uint64_t seed, const RunResult& result)
{
    const Counts& counts = result.counts;
    std::printf("seed %llu: %d faults, %d sent, %d served, %d refused, %d failed, %d cut, %zu violations\n", static_cast<unsigned long long>(seed), result.faults,
        counts.sent, counts.served, counts.rejected, counts.failed, counts.incomplete, result.violations.size());
    constexpr std::size_t maxPrintedViolations = 5;
    for (std::size_t i = 0; i < std::min(result.violations.size(), maxPrintedViolations); ++i)
        std::printf("VIOLATION seed %llu: %s: %s\n", static_cast<unsigned long long>(seed), result.violations[i].guarantee.c_str(), result.violations[i].detail.c_str());
    std::fflush(stdout);
    return result.violations.empty() ? 0 : 1;
}

int runSeeds(std::uint64_t first, std::uint64_t last)
{
    std::atomic<std::uint64_t> next { first };
    std::atomic<int> failed { 0 };
    std::mutex printing;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_jobs)));
    for (int i = 0; i < absl::GetFlag(FLAGS_jobs); ++i) {
        threads.emplace_back([&] {
            for (std::uint64_t seed = next++; seed <= last; seed = next++) {
                RunResult result = runSeed({ .fleet = { .seed = seed,
                                                 .gateways = absl::GetFlag(FLAGS_gateways),
                                                 .disabledGuard = absl::GetFlag(FLAGS_guard),
                                                 .logFolder = absl::GetFlag(FLAGS_logs) },
                    .faultTime = std::chrono::seconds(absl::GetFlag(FLAGS_seconds)) });
                std::lock_guard lock(printing);
                failed += report(seed, result);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    std::printf("%s seeds, %d with a violation\n", std::to_string(last - first + 1).c_str(), failed.load());
    return failed ? exitViolated : 0;
}

bool isBetween(int value, int low, int high) { return value >= low && value <= high; }

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::string seeds = absl::GetFlag(FLAGS_seeds);
    std::size_t dots = seeds.find("..");
    std::uint64_t first = std::strtoull(seeds.c_str(), nullptr, 10);
    std::uint64_t last = dots == std::string::npos ? first : std::strtoull(seeds.c_str() + dots + 2, nullptr, 10);
    if (!first || last < first || !isBetween(absl::GetFlag(FLAGS_jobs), 1, 16) || !isBetween(absl::GetFlag(FLAGS_gateways), 2, 40)
        || !isBetween(absl::GetFlag(FLAGS_seconds), 1, 3600)) {
        std::fprintf(stderr, "--seeds=%s: allowed are A..B or A from 1, with --jobs from 1 to 16, --gateways from 2 to 40, --seconds from 1 to 3600\n", seeds.c_str());
        return exitUsage;
    }
    return runSeeds(first, last);
}
