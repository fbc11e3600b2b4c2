#include "bench/policies/Workload.h"

#include "bench/policies/EngineFake.h"
#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <random>

namespace limpetpond::bench {

namespace {

    constexpr double documentSkew = 0.8; // exponent of Zipf's law
    constexpr double accountShares[] = { 0.6, 0.2, 0.1, 0.06, 0.04 };
    constexpr double tierShares[] = { 0.5, 0.35, 0.15 }; // lowest tier first
    constexpr double estimateSpread = 0.4; // standard deviation of the logarithm of the estimate's error
    constexpr double usefulBaseSeconds = 12;
    constexpr double usefulTimeFactor = 3; // multiplies the duration of the answer on an idle engine
    constexpr double sampleCount = 4'000; // requests from which the capacity is computed

    int logUniform(pcg64& random, int low, int high)
    {
        std::uniform_real_distribution<double> spread(std::log(low), std::log(high));
        return static_cast<int>(std::exp(spread(random)));
    }

    template <std::size_t Size>
    int pickByShare(pcg64& random, const double (&shares)[Size])
    {
        double remaining = std::uniform_real_distribution<double>(0, 1)(random);
        for (std::size_t i = 0; i + 1 < Size; ++i) {
            if (remaining < shares[i])
                return static_cast<int>(i);
            remaining -= shares[i];
        }
        return static_cast<int>(Size - 1);
    }

    struct DocumentSet {
        std::vector<int> lengths;
        std::vector<double> popularity; ///< Cumulative.
    };

    // The documents are the same for every seed; only the requests differ.
    DocumentSet makeDocuments(const Mix& mix)
    {
        pcg64 random(0x11b);
        DocumentSet documents;
        double total = 0;
        for (int i = 0; i < mix.documents; ++i) {
            documents.lengths.push_back(logUniform(random, mix.shortestDocument, mix.longestDocument));
            total += std::pow(i + 1, -documentSkew);
            documents.popularity.push_back(total);
        }
        return documents;
    }

    int pickDocument(pcg64& random, const DocumentSet& documents)
    {
        double at = std::uniform_real_distribution<double>(0, documents.popularity.back())(random);
        auto found = std::upper_bound(documents.popularity.begin(), documents.popularity.end(), at);
        return static_cast<int>(std::min<std::ptrdiff_t>(found - documents.popularity.begin(), static_cast<std::ptrdiff_t>(documents.lengths.size()) - 1));
    }

    void addBlocks(std::vector<std::uint64_t>& blocks, std::uint64_t source, int tokens)
    {
        for (int i = 0; i < tokens / engineBlockTokens; ++i)
            blocks.push_back((source + 1) * 0x9e3779b97f4a7c15 + static_cast<std::uint64_t>(i) * 0xbf58476d1ce4e5b9);
    }

    Arrival makeArrival(const Mix& mix, const DocumentSet& documents, pcg64& random, std::uint64_t number)
    {
        Arrival arrival { .tier = pickByShare(random, tierShares), .account = pickByShare(random, accountShares) };
        if (std::bernoulli_distribution(mix.documentShare)(random)) {
            int document = pickDocument(random, documents);
            int length = documents.lengths[static_cast<std::size_t>(document)] / engineBlockTokens * engineBlockTokens;
            arrival.promptTokens = length;
            addBlocks(arrival.blocks, static_cast<std::uint64_t>(document), length);
        }
        int question = logUniform(random, mix.shortestQuestion, mix.longestQuestion);
        arrival.promptTokens += question;
        addBlocks(arrival.blocks, 1'000'000 + number, question);
        arrival.answerTokens = logUniform(random, mix.shortestAnswer, mix.longestAnswer);
        double error = std::exp(std::normal_distribution<double>(0, estimateSpread)(random));
        arrival.estimatedAnswer = std::max(1, static_cast<int>(arrival.answerTokens * error));
        double idleSeconds = arrival.promptTokens * 0.0002 + arrival.answerTokens * 0.025;
        arrival.usefulFor = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(usefulBaseSeconds + usefulTimeFactor * idleSeconds));
        return arrival;
    }

    // Engine time in seconds that a request costs, with batches that are half full.
    double costOf(const Mix& mix, const Arrival& arrival)
    {
        EngineOptions engine;
        double question = (mix.longestQuestion - mix.shortestQuestion) / std::log(static_cast<double>(mix.longestQuestion) / mix.shortestQuestion);
        double prompt = question + std::max(0.0, arrival.promptTokens - question) / 2;
        double answer = arrival.answerTokens * (engine.answerTokenSeconds + engine.stepSeconds / (engine.maxBatch / 2.0));
        return prompt * engine.promptTokenSeconds + answer;
    }

} // namespace

Mix tortugaMix()
{
    return { .name = "tortuga" };
}

Mix rodopaMix()
{
    return { .name = "rodopa",
        .engines = 10,
        .documents = 80,
        .shortestDocument = 1'500,
        .longestDocument = 6'000,
        .shortestQuestion = 30,
        .longestQuestion = 400,
        .shortestAnswer = 15,
        .longestAnswer = 400,
        .documentShare = 0.85 };
}

double capacityOf(const Mix& mix, double totalSpeed)
{
    pcg64 random(0xca9);
    DocumentSet documents = makeDocuments(mix);
    double seconds = 0;
    for (int i = 0; i < sampleCount; ++i)
        seconds += costOf(mix, makeArrival(mix, documents, random, static_cast<std::uint64_t>(i)));
    return totalSpeed * sampleCount / seconds;
}

std::vector<Arrival> makeArrivals(const Mix& mix, const std::vector<Phase>& phases, double capacity, std::uint64_t seed, int onlyTier)
{
    pcg64 random(seed);
    DocumentSet documents = makeDocuments(mix);
    std::vector<Arrival> arrivals;
    Duration at { 0 };
    Duration end { 0 };
    std::uint64_t number = 0;
    for (const Phase& phase : phases) {
        end += phase.length;
        std::exponential_distribution<double> gap(capacity * phase.load);
        while (true) {
            at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            if (at >= end) {
                at = end;
                break;
            }
            number += 1;
            Arrival arrival = makeArrival(mix, documents, random, (seed << 24) + number);
            arrival.at = at;
            if (onlyTier < 0 || arrival.tier == onlyTier)
                arrivals.push_back(std::move(arrival));
        }
    }
    return arrivals;
}

} // namespace limpetpond::bench
