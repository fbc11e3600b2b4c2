#include "bench/policies/EngineFake.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace limpetpond::bench {

namespace {

    std::int64_t memoryOf(const Sequence& sequence)
    {
        return sequence.promptTokens + sequence.answerTokens;
    }

    void touch(EngineFake& engine, std::uint64_t block)
    {
        auto found = engine.cache.find(block);
        if (found != engine.cache.end()) {
            engine.cacheOrder.splice(engine.cacheOrder.end(), engine.cacheOrder, found->second);
            return;
        }
        if (engine.cache.size() >= engine.options.cacheBlocks) {
            std::uint64_t oldest = engine.cacheOrder.front();
            engine.cacheOrder.pop_front();
            engine.cache.erase(oldest);
            engine.delta.evicted.push_back(oldest);
        }
        engine.cacheOrder.push_back(block);
        engine.cache[block] = std::prev(engine.cacheOrder.end());
        engine.delta.added.push_back(block);
    }

    void formBatch(EngineFake& engine)
    {
        while (!engine.waiting.empty() && engine.batch.size() < static_cast<std::size_t>(engine.options.maxBatch)) {
            Sequence& next = engine.waiting.front();
            bool fits = engine.memoryInUse + memoryOf(next) <= engine.options.memoryTokens || engine.batch.empty();
            if (!fits)
                return;
            next.cachedTokens = std::min(cachedTokens(engine, next.blocks), next.promptTokens - 1);
            next.promptLeft = next.promptTokens - next.cachedTokens;
            next.answerLeft = next.answerTokens;
            engine.memoryInUse += memoryOf(next);
            engine.batch.push_back(std::move(next));
            engine.waiting.pop_front();
        }
    }

} // namespace

void submit(EngineFake& engine, Sequence sequence)
{
    engine.waiting.push_back(std::move(sequence));
}

void cancelSequence(EngineFake& engine, std::uint64_t request)
{
    for (auto* list : { &engine.waiting, &engine.batch }) {
        for (Sequence& sequence : *list) {
            if (sequence.request == request)
                sequence.isCancelled = true;
        }
    }
}

Duration beginStep(EngineFake& engine)
{
    formBatch(engine);
    if (engine.batch.empty())
        return Duration(0);
    int budget = engine.options.chunkTokens;
    int prompt = 0;
    int answers = 0;
    for (Sequence& sequence : engine.batch) {
        sequence.chunk = std::min(sequence.promptLeft, budget);
        budget -= sequence.chunk;
        prompt += sequence.chunk;
        answers += sequence.promptLeft ? 0 : 1;
    }
    double seconds = engine.options.stepSeconds + prompt * engine.options.promptTokenSeconds + answers * engine.options.answerTokenSeconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds / engine.options.speed));
}

StepResult endStep(EngineFake& engine)
{
    StepResult result;
    std::deque<Sequence> kept;
    for (Sequence& sequence : engine.batch) {
        bool isDecoding = !sequence.promptLeft;
        sequence.promptLeft -= sequence.chunk;
        bool isPromptCompleted = !isDecoding && !sequence.promptLeft;
        sequence.chunk = 0;
        if (isPromptCompleted) {
            for (std::uint64_t block : sequence.blocks)
                touch(engine, block);
            result.promptCompleted.push_back(sequence);
        }
        if (isDecoding || isPromptCompleted) {
            sequence.answerLeft -= 1;
            result.tokens.push_back(sequence.request);
        }
        if (sequence.isCancelled || (!sequence.promptLeft && sequence.answerLeft <= 0)) {
            engine.memoryInUse -= memoryOf(sequence);
            result.ended.push_back(std::move(sequence));
            continue;
        }
        kept.push_back(std::move(sequence));
    }
    engine.batch = std::move(kept);
    for (auto entry = engine.waiting.begin(); entry != engine.waiting.end();) {
        if (!entry->isCancelled) {
            ++entry;
            continue;
        }
        entry->promptLeft = entry->promptTokens;
        result.ended.push_back(std::move(*entry));
        entry = engine.waiting.erase(entry);
    }
    return result;
}

std::int64_t tokensHeld(const EngineFake& engine)
{
    std::int64_t tokens = 0;
    for (const Sequence& sequence : engine.waiting)
        tokens += sequence.promptTokens;
    for (const Sequence& sequence : engine.batch)
        tokens += sequence.promptTokens + sequence.answerTokens - sequence.answerLeft;
    return tokens;
}

std::vector<Sequence> restart(EngineFake& engine)
{
    std::vector<Sequence> lost(engine.batch.begin(), engine.batch.end());
    for (Sequence& sequence : engine.waiting) {
        sequence.promptLeft = sequence.promptTokens;
        lost.push_back(sequence);
    }
    engine.batch.clear();
    engine.waiting.clear();
    engine.memoryInUse = 0;
    engine.cache.clear();
    engine.cacheOrder.clear();
    engine.delta = {};
    return lost;
}

int cachedTokens(const EngineFake& engine, const std::vector<std::uint64_t>& blocks)
{
    int held = 0;
    for (std::uint64_t block : blocks) {
        if (!engine.cache.contains(block))
            break;
        held += engineBlockTokens;
    }
    return held;
}

} // namespace limpetpond::bench
