#pragma once

/// A model engine for measurements: continuous batching, chunked prompt processing, a bounded
/// prefix cache with least-recently-used replacement, and no notion of priorities.

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
    double speed { 1 }; ///< 1 for the newest generation.
    int maxBatch { 48 }; ///< Sequences in one step.
    std::int64_t memoryTokens { 64'000 }; ///< Prompt and answer tokens of the batch.
    int chunkTokens { 512 }; ///< Prompt tokens of one step.
    double stepSeconds { 0.008 }; ///< A step without tokens.
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
    int chunk { 0 }; ///< Prompt tokens in the step at hand.
    bool isCancelled { false };
};

/// Changes of the prefix cache since they were last taken.
struct CacheDelta {
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;
};

/// What one step brought about.
struct StepResult {
    std::vector<std::uint64_t> tokens; ///< Requests that got a token, their first included.
    std::vector<Sequence> ended; ///< Answered whole or cancelled.
    std::vector<Sequence> prompted; ///< Their prompt was completed in this step.
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

/// Admits the sequence; engines admit whatever comes.
///
///     admit(engine, std::move(sequence));
///     Duration step = beginStep(engine);
void admit(EngineFake&, Sequence);

/// Marks a sequence as cancelled; it leaves at the end of the step at hand.
///
///     cancelSequence(engine, 17);
///     StepResult result = endStep(engine);
void cancelSequence(EngineFake&, std::uint64_t request);

/// Forms the next batch and returns how long its step takes; 0 where there is nothing to do.
///
///     Duration step = beginStep(engine);
///     StepResult result = endStep(engine);
Duration beginStep(EngineFake&);
StepResult endStep(EngineFake&);

/// Prompt and answer tokens that the engine has taken on and holds.
///
///     std::int64_t tokens = tokensHeld(engine);
std::int64_t tokensHeld(const EngineFake&);

/// Empties batch, queue and cache, as a restart does, and returns what was lost.
///
///     std::vector<Sequence> lost = restart(engine);
std::vector<Sequence> restart(EngineFake&);

/// Leading prompt tokens that the engine's cache holds.
///
///     int cached = cachedTokens(engine, sequence.blocks);
int cachedTokens(const EngineFake&, const std::vector<std::uint64_t>& blocks);

} // namespace limpetpond::bench
