/// The benchmarks of the decision core: `limpetpond-bench policies|decision|placement|path|slopes`.

#include "bench/DecisionBench.h"
#include "bench/PathBench.h"
#include "bench/SlopesBench.h"
#include "bench/policies/PolicyBench.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <string>
#include <vector>

ABSL_FLAG(int, seeds, 10, "policies: runs of each policy and scenario, 1 to 1000");
ABSL_FLAG(int, threads, 2, "policies: runs at once, 1 to 64");
ABSL_FLAG(std::string, mix, "", "policies: tortuga or rodopa; empty for both");
ABSL_FLAG(std::string, scenario, "", "policies: one scenario; empty for all");
ABSL_FLAG(std::string, json, "", "policies: file for the figures as JSON; empty for none");
ABSL_FLAG(std::string, plot, "", "policies: file for a gnuplot script that writes SVG; empty for none");

namespace {

constexpr int usageError = 2;

bool isBetween(int value, int low, int high, const char* name)
{
    if (value >= low && value <= high)
        return true;
    std::fprintf(stderr, "--%s: %d is out of range, allowed are %d to %d\n", name, value, low, high);
    return false;
}

int runPolicies()
{
    int seeds = absl::GetFlag(FLAGS_seeds);
    int threads = absl::GetFlag(FLAGS_threads);
    if (!isBetween(seeds, 1, 1000, "seeds") || !isBetween(threads, 1, 64, "threads"))
        return usageError;
    limpetpond::bench::PolicyBenchOptions options { .seeds = seeds,
        .threads = threads,
        .mix = absl::GetFlag(FLAGS_mix),
        .scenario = absl::GetFlag(FLAGS_scenario),
        .jsonFile = absl::GetFlag(FLAGS_json),
        .plotFile = absl::GetFlag(FLAGS_plot) };
    if (!limpetpond::bench::countRuns(options)) {
        std::fprintf(stderr, "--mix=%s --scenario=%s: no such runs, allowed are the names that a run without them prints\n", options.mix.c_str(), options.scenario.c_str());
        return usageError;
    }
    int missed = limpetpond::bench::runPolicyBench(options);
    return missed ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("limpetpond-bench policies|decision|placement|path|slopes [flags]");
    std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
    std::string command = arguments.size() == 2 ? arguments[1] : "";
    if (command == "policies")
        return runPolicies();
    if (command == "decision")
        return limpetpond::bench::runDecisionBench();
    if (command == "placement")
        return limpetpond::bench::runTargetSelectionBench();
    if (command == "path")
        return limpetpond::bench::runPathBench();
    if (command == "slopes")
        return limpetpond::bench::runSlopesBench();
    std::fprintf(stderr, "expected one command: policies, decision, placement, path or slopes\n");
    return usageError;
}
