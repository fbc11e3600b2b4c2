#include "bench/policies/PolicyBench.h"

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <thread>
#include <tuple>

namespace limpetpond::bench {

namespace {

    using std::chrono::seconds;

    const char* const baselines[] = { "round_robin", "least_outstanding", "two_choices", "prefix_hash", "no_tiers" };
    constexpr const char* limpetpondPolicy = "limpetpond";
    constexpr const char* oracle = "oracle";
    constexpr const char* topTierAlone = "top_tier_alone";
    constexpr const char* withoutFault = "without_fault";

    // ---- Scenarios ----

    struct Scenario {
        std::string name;
        std::vector<Phase> phases;
        Fault fault { Fault::None };
        bool clientsRetry { false };
    };

    std::vector<Scenario> allScenarios()
    {
        std::vector<Phase> calm { { seconds(60), 0.6 } };
        std::vector<Phase> busy { { seconds(60), 0.8 } };
        std::vector<Phase> burst { { seconds(15), 0.6 }, { seconds(30), 2.0 }, { seconds(20), 0.6 } };
        return {
            { .name = "calm", .phases = calm },
            { .name = "burst", .phases = burst },
            { .name = "slow_engine", .phases = calm, .fault = Fault::SlowEngine },
            { .name = "domain_lost", .phases = busy, .fault = Fault::DomainLost },
            { .name = "cleaning", .phases = busy, .fault = Fault::Cleaning },
            { .name = "instance_restart", .phases = calm, .fault = Fault::InstanceRestart },
            { .name = "retrying_clients", .phases = burst, .clientsRetry = true },
        };
    }

    struct RunKey {
        std::string mix;
        std::string scenario;
        std::string policy;
        auto operator<=>(const RunKey&) const = default;
    };

    struct Job {
        RunKey key;
        RunOptions options;
        std::size_t seed { 0 };
    };

    using Results = std::map<RunKey, std::vector<RunResult>>;

    RunOptions optionsOf(const Mix& mix, const Scenario& scenario, const std::string& policy, std::uint64_t seed)
    {
        RunOptions options { .policy = policy, .mix = mix, .phases = scenario.phases, .fault = scenario.fault, .clientsRetry = scenario.clientsRetry, .seed = seed };
        if (policy == topTierAlone) {
            options.policy = limpetpondPolicy;
            options.onlyTier = tierCount - 1;
        }
        if (policy == withoutFault) {
            options.policy = limpetpondPolicy;
            options.fault = Fault::None;
        }
        return options;
    }

    std::vector<std::string> policiesOf(const Scenario& scenario)
    {
        std::vector<std::string> policies { limpetpondPolicy };
        policies.insert(policies.end(), std::begin(baselines), std::end(baselines));
        policies.emplace_back(oracle);
        if (scenario.name == "burst")
            policies.emplace_back(topTierAlone);
        if (scenario.name == "domain_lost")
            policies.emplace_back(withoutFault);
        return policies;
    }

    std::vector<Job> makeJobs(const PolicyBenchOptions& options)
    {
        std::vector<Job> jobs;
        for (const Mix& mix : { tortugaMix(), rodopaMix() }) {
            for (const Scenario& scenario : allScenarios()) {
                bool isWanted = (options.mix.empty() || options.mix == mix.name) && (options.scenario.empty() || options.scenario == scenario.name);
                if (!isWanted)
                    continue;
                for (const std::string& policy : policiesOf(scenario)) {
                    for (int seed = 0; seed < options.seeds; ++seed)
                        jobs.push_back({ .key = { mix.name, scenario.name, policy },
                            .options = optionsOf(mix, scenario, policy, static_cast<std::uint64_t>(seed) + 1),
                            .seed = static_cast<std::size_t>(seed) });
                }
            }
        }
        return jobs;
    }

    Results runAll(const PolicyBenchOptions& options)
    {
        std::vector<Job> jobs = makeJobs(options);
        Results results;
        for (const Job& job : jobs)
            results[job.key].resize(static_cast<std::size_t>(options.seeds));
        std::atomic<std::size_t> next { 0 };
        auto work = [&] {
            for (std::size_t i = next++; i < jobs.size(); i = next++)
                results.at(jobs[i].key)[jobs[i].seed] = runPolicy(jobs[i].options);
        };
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(options.threads));
        for (int i = 0; i < options.threads; ++i)
            threads.emplace_back(work);
        for (std::thread& thread : threads)
            thread.join();
        return results;
    }

    // ---- Figures ----

    struct Spread {
        double median { 0 };
        double lowest { 0 };
        double highest { 0 };
    };

    Spread spreadOf(std::vector<double> values)
    {
        if (values.empty())
            return {};
        std::sort(values.begin(), values.end());
        std::size_t middle = values.size() / 2;
        double median = values.size() % 2 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
        return { .median = median, .lowest = values.front(), .highest = values.back() };
    }

    using Measure = std::function<double(const RunResult&)>;

    std::vector<double> measured(const std::vector<RunResult>& runs, const Measure& measure)
    {
        std::vector<double> values;
        std::transform(runs.begin(), runs.end(), std::back_inserter(values), measure);
        return values;
    }

    double goodput(const RunResult& run)
    {
        double useful = 0;
        for (const TierResult& tier : run.tiers)
            useful += tier.useful;
        return useful;
    }

    double topTierGoodput(const RunResult& run)
    {
        return run.tiers[tierCount - 1].useful;
    }

    double wastedPrefill(const RunResult& run)
    {
        return static_cast<double>(run.repeatedPrefill + run.discardedPrefill);
    }

    double topTierFirstToken(const RunResult& run)
    {
        return quantile(run.tiers[tierCount - 1].firstToken, 0.95);
    }

    double firstTokenOfAll(const RunResult& run)
    {
        TimeHistogram all;
        for (const TierResult& tier : run.tiers) {
            for (std::size_t bucket = 0; bucket < TimeHistogram::size; ++bucket)
                all.buckets[bucket] += tier.firstToken.buckets[bucket];
            all.count += tier.firstToken.count;
        }
        return quantile(all, 0.95);
    }

    // ---- Ratios and bounds ----

    enum class Bound {
        AtLeast,
        AtMost,
    };

    struct Ratio {
        std::string name;
        Spread value;
        Bound bound { Bound::AtLeast };
        double limit { 0 };
    };

    bool isMet(const Ratio& ratio)
    {
        return ratio.bound == Bound::AtLeast ? ratio.value.median >= ratio.limit : ratio.value.median <= ratio.limit;
    }

    // The spread of the quotient of a measure under two policies, computed seed by seed.
    Spread quotient(const Results& results, const RunKey& numerator, const RunKey& denominator, const Measure& measure)
    {
        const auto& numeratorRuns = results.at(numerator);
        const auto& denominatorRuns = results.at(denominator);
        std::vector<double> values;
        for (std::size_t seed = 0; seed < numeratorRuns.size(); ++seed) {
            double divisor = measure(denominatorRuns[seed]);
            values.push_back(divisor > 0 ? measure(numeratorRuns[seed]) / divisor : 0);
        }
        return spreadOf(values);
    }

    // The baseline policy with the best median of a measure.
    std::string bestBaseline(const Results& results, const RunKey& key, const Measure& measure, Bound direction)
    {
        std::string best;
        double bestMedian = 0;
        for (const char* baseline : baselines) {
            double median = spreadOf(measured(results.at({ key.mix, key.scenario, baseline }), measure)).median;
            bool isBetter = best.empty() || (direction == Bound::AtLeast ? median > bestMedian : median < bestMedian);
            if (!isBetter)
                continue;
            best = baseline;
            bestMedian = median;
        }
        return best;
    }

    void addBurstRatios(std::vector<Ratio>& ratios, const Results& results, const std::string& mix)
    {
        RunKey key { mix, "burst", limpetpondPolicy };
        if (!results.contains(key))
            return;
        ratios.push_back({ mix + " burst: top-tier goodput / alone", quotient(results, key, { mix, "burst", topTierAlone }, topTierGoodput), Bound::AtLeast, 0.99 });
        std::string best = bestBaseline(results, key, goodput, Bound::AtLeast);
        ratios.push_back({ mix + " burst: goodput / " + best, quotient(results, key, { mix, "burst", best }, goodput), Bound::AtLeast, 1 });
        ratios.push_back({ mix + " burst: goodput / oracle", quotient(results, key, { mix, "burst", oracle }, goodput), Bound::AtLeast, 0.95 });
    }

    void addWasteRatios(std::vector<Ratio>& ratios, const Results& results, const std::string& mix)
    {
        RunKey key { mix, "calm", limpetpondPolicy };
        if (mix != rodopaMix().name || !results.contains(key))
            return;
        ratios.push_back({ mix + " calm: wasted prefill / least_outstanding", quotient(results, key, { mix, "calm", "least_outstanding" }, wastedPrefill), Bound::AtMost, 0.25 });
        ratios.push_back({ mix + " calm: wasted prefill / oracle", quotient(results, key, { mix, "calm", oracle }, wastedPrefill), Bound::AtMost, 1.5 });
        std::string best = bestBaseline(results, key, topTierFirstToken, Bound::AtMost);
        ratios.push_back({ mix + " calm: top-tier p95 to first token / " + best, quotient(results, key, { mix, "calm", best }, topTierFirstToken), Bound::AtMost, 1 });
    }

    void addFaultRatios(std::vector<Ratio>& ratios, const Results& results, const Mix& mix)
    {
        RunKey slow { mix.name, "slow_engine", limpetpondPolicy };
        if (results.contains(slow))
            ratios.push_back({ mix.name + " slow engine: p95 to first token / round_robin", quotient(results, slow, { mix.name, "slow_engine", "round_robin" }, firstTokenOfAll), Bound::AtMost, 0.6 });
        RunKey lost { mix.name, "domain_lost", limpetpondPolicy };
        if (results.contains(lost))
            ratios.push_back({ mix.name + " domain lost: goodput / without fault", quotient(results, lost, { mix.name, "domain_lost", withoutFault }, goodput), Bound::AtLeast, 1 - lostCapacityShare(mix) - 0.05 });
    }

    void addInversions(std::vector<Ratio>& ratios, const Results& results)
    {
        for (const auto& [key, runs] : results) {
            if (key.policy != limpetpondPolicy)
                continue;
            auto inversions = [](const RunResult& run) { return static_cast<double>(run.inversions); };
            Spread spread = spreadOf(measured(runs, inversions));
            spread.median = spread.highest;
            ratios.push_back({ key.mix + " " + key.scenario + ": tier inversions (most of any seed)", spread, Bound::AtMost, 0 });
        }
    }

    std::vector<Ratio> allRatios(const Results& results)
    {
        std::vector<Ratio> ratios;
        for (const Mix& mix : { tortugaMix(), rodopaMix() }) {
            addBurstRatios(ratios, results, mix.name);
            addWasteRatios(ratios, results, mix.name);
            addFaultRatios(ratios, results, mix);
        }
        addInversions(ratios, results);
        return ratios;
    }

    // ---- Output ----

    boost::json::object asJson(const Spread& spread)
    {
        return { { "median", spread.median }, { "lowest", spread.lowest }, { "highest", spread.highest } };
    }

    boost::json::object tierJson(const std::vector<RunResult>& runs, std::size_t tier)
    {
        auto spread = [&](auto read) { return asJson(spreadOf(measured(runs, [&](const RunResult& run) { return static_cast<double>(read(run.tiers[tier])); }))); };
        auto quantiles = [&](TimeHistogram TierResult::*times) {
            boost::json::object result;
            for (auto [name, share] : { std::pair { "p50", 0.5 }, std::pair { "p95", 0.95 }, std::pair { "p99", 0.99 } })
                result[name] = spread([&, share = share](const TierResult& one) { return quantile(one.*times, share); });
            return result;
        };
        return { { "tier", tier },
            { "arrived", spread([](const TierResult& one) { return one.arrived; }) },
            { "useful", spread([](const TierResult& one) { return one.useful; }) },
            { "late", spread([](const TierResult& one) { return one.late; }) },
            { "shed", spread([](const TierResult& one) { return one.shed; }) },
            { "failed", spread([](const TierResult& one) { return one.failed; }) },
            { "first_token_seconds", quantiles(&TierResult::firstToken) },
            { "between_tokens_seconds", quantiles(&TierResult::betweenTokens) } };
    }

    boost::json::object runsJson(const RunKey& key, const std::vector<RunResult>& runs)
    {
        boost::json::array tiers;
        for (std::size_t tier = 0; tier < tierCount; ++tier)
            tiers.push_back(tierJson(runs, tier));
        auto spread = [&](const Measure& measure) { return asJson(spreadOf(measured(runs, measure))); };
        return { { "mix", key.mix },
            { "scenario", key.scenario },
            { "policy", key.policy },
            { "seeds", runs.size() },
            { "goodput", spread(goodput) },
            { "computed_prefill_tokens", spread([](const RunResult& run) { return static_cast<double>(run.computedPrefill); }) },
            { "wasted_prefill_tokens", spread(wastedPrefill) },
            { "tier_inversions", spread([](const RunResult& run) { return static_cast<double>(run.inversions); }) },
            { "tiers", std::move(tiers) } };
    }

    void writeJson(const std::string& file, const Results& results, const std::vector<Ratio>& ratios)
    {
        boost::json::array runs;
        for (const auto& [key, list] : results)
            runs.push_back(runsJson(key, list));
        boost::json::array bounds;
        for (const Ratio& ratio : ratios)
            bounds.push_back({ { "name", ratio.name }, { "value", asJson(ratio.value) }, { "limit", ratio.limit }, { "met", isMet(ratio) } });
        std::ofstream(file) << boost::json::object { { "runs", std::move(runs) }, { "ratios", std::move(bounds) } } << "\n";
    }

    // Writes a bar chart with one group for each scenario: goodput as a share of all arrivals.
    void writePlot(const std::string& file, const Results& results)
    {
        std::ofstream out(file);
        out << "set terminal svg size 1400,600\nset style data histogram\nset style fill solid\nset yrange [0:1.05]\n"
            << "set ylabel 'useful answers / arrivals'\nset xtics rotate by -30\nset key outside\n$data << EOD\nscenario";
        std::vector<std::string> policies { limpetpondPolicy };
        policies.insert(policies.end(), std::begin(baselines), std::end(baselines));
        policies.emplace_back(oracle);
        for (const std::string& policy : policies)
            out << " " << policy;
        for (const auto& [key, runs] : results) {
            if (key.policy != limpetpondPolicy)
                continue;
            out << "\n"
                << key.mix << "/" << key.scenario;
            for (const std::string& policy : policies) {
                auto share = [](const RunResult& run) {
                    double arrived = 0;
                    for (const TierResult& tier : run.tiers)
                        arrived += tier.arrived;
                    return goodput(run) / arrived;
                };
                out << " " << spreadOf(measured(results.at({ key.mix, key.scenario, policy }), share)).median;
            }
        }
        out << "\nEOD\nplot for [i=2:" << policies.size() + 1 << "] $data using i:xtic(1) title columnheader(i) noenhanced\n";
    }

    void printRuns(const Results& results)
    {
        std::printf("%-8s %-17s %-18s %8s %6s %6s %6s %6s %9s %9s %9s %10s %5s\n", "mix", "scenario", "policy", "goodput", "top", "middle", "low", "shed",
            "ttft p50", "ttft p95", "itl p95", "wasted", "inv");
        for (const auto& [key, list] : results) {
            const std::vector<RunResult>& runs = list;
            auto median = [&](const Measure& measure) { return spreadOf(measured(runs, measure)).median; };
            auto useful = [&](std::size_t tier) { return median([&](const RunResult& run) { return static_cast<double>(run.tiers[tier].useful); }); };
            double shed = median([](const RunResult& run) { return static_cast<double>(run.tiers[0].shed + run.tiers[1].shed + run.tiers[2].shed); });
            double p50 = median([](const RunResult& run) { return quantile(run.tiers[tierCount - 1].firstToken, 0.5); });
            double between = median([](const RunResult& run) { return quantile(run.tiers[tierCount - 1].betweenTokens, 0.95); });
            double inversions = median([](const RunResult& run) { return static_cast<double>(run.inversions); });
            std::printf("%-8s %-17s %-18s %8.0f %6.0f %6.0f %6.0f %6.0f %9.3f %9.3f %9.3f %10.0f %5.0f\n", key.mix.c_str(), key.scenario.c_str(), key.policy.c_str(), median(goodput),
                useful(2), useful(1), useful(0), shed, p50, median(topTierFirstToken), between, median(wastedPrefill), inversions);
        }
    }

} // namespace

std::size_t countRuns(const PolicyBenchOptions& options)
{
    return makeJobs(options).size();
}

int runPolicyBench(const PolicyBenchOptions& options)
{
    Results results = runAll(options);
    std::vector<Ratio> ratios = allRatios(results);
    std::printf("Medians over %d seeds; times in seconds, of the top tier; prefill in tokens.\n", options.seeds);
    printRuns(results);
    int missed = 0;
    for (const Ratio& ratio : ratios) {
        missed += isMet(ratio) ? 0 : 1;
        std::printf("%s  %-62s %.3f (%.3f to %.3f), bound %s %.3f\n", isMet(ratio) ? "PASS" : "FAIL", ratio.name.c_str(), ratio.value.median,
            ratio.value.lowest, ratio.value.highest, ratio.bound == Bound::AtLeast ? ">=" : "<=", ratio.limit);
    }
    if (!options.jsonFile.empty())
        writeJson(options.jsonFile, results, ratios);
    if (!options.plotFile.empty())
        writePlot(options.plotFile, results);
    return missed;
}

} // namespace limpetpond::bench
