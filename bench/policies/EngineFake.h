#pragma once

/// A simulated model engine on a fake clock: continuous batching, chunked prefill and a bounded prefix cache with
/// least-recently-used replacement. It has no priorities.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace limpetpond::bench {

/// Tokens of one block of the prefix cache.
constexpr int engineBlockTokens = 64;

struct EngineOptions {
    double speed { 1 }; ///< Relative to the newest generation, which is 1.
    int maxBatch { 48 }; ///< Maximum number of sequences in one step.
    std::int64_t memoryTokens { 64'000 }; ///< Maximum prompt and answer tokens of the batch.
    int chunkTokens { 512 }; ///< Maximum prompt tokens in one step.
    double stepSeconds { 0.008 }; ///< Fixed duration of a step, without its tokens.
    double promptTokenSeconds { 0.0001 };
    double answerTokenSeconds { 0.00025 };
    std::size_t cacheBlocks { 625 };
};

/// One request at the engine.
struct Sequence {
    std::uint64_t request { 0 };
    int promptTokens { 0 };
    int answerTokens { 0 };
    std::vector<std::uint64_t> blocks;
    int cachedTokens { 0 };
    int promptLeft { 0 };
    int answerLeft { 0 };
    int chunk { 0 }; ///< Prompt tokens in the current step.
    bool isCancelled { false };
};

/// Changes of the prefix cache since the last report.
struct CacheDelta {
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;
};

/// The results of one step.
struct StepResult {
    std::vector<std::uint64_t> tokens; ///< Requests that received a token, including their first.
    std::vector<Sequence> ended; ///< Completed or cancelled.
    std::vector<Sequence> promptCompleted; ///< Their prompt was completed in this step.
};

struct EngineFake {
    EngineOptions options;
    std::deque<Sequence> waiting;
    std::deque<Sequence> batch;
    std::int64_t memoryInUse { 0 };
    std::list<std::uint64_t> cacheOrder; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
    CacheDelta delta;
    bool isStepping { false };
    bool isDown { false };
};

/// Adds a sequence to the engine's queue. Engines accept every request.
///
///     submit(engine, std::move(sequence));
///     Duration step = beginStep(engine);
void submit(EngineFake&, Sequence);

/// Marks a sequence as cancelled. `endStep` removes it and returns it among the ended ones.
///
///     cancelSequence(engine, 17);
///     StepResult result = endStep(engine);
void cancelSequence(EngineFake&, std::uint64_t request);

/// Forms the next batch and returns the duration of its step; 0 if there is no work.
///
///     Duration step = beginStep(engine);
///     StepResult result = endStep(engine);
Duration beginStep(EngineFake&);
StepResult endStep(EngineFake&);

/// Prompt tokens of all sequences and the answer tokens generated so far.
///
///     std::int64_t tokens = tokensHeld(engine);
std::int64_t tokensHeld(const EngineFake&);

/// Clears batch, queue and cache as a restart does, and returns the lost sequences.
///
///     std::vector<Sequence> lost = restart(engine);
std::vector<Sequence> restart(EngineFake&);

/// The number of leading prompt tokens in the engine's cache.
///
///     int cached = cachedTokens(engine, sequence.blocks);
int cachedTokens(const EngineFake&, const std::vector<std::uint64_t>& blocks);

} // namespace limpetpond::bench
