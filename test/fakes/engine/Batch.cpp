#include "test/fakes/engine/Batch.h"

#include "engine/Prompt.h"
#include <algorithm>

namespace limpetpond::fakes {

namespace {

    constexpr auto idleWait = std::chrono::milliseconds(20);
    constexpr auto samplePeriod = std::chrono::milliseconds(20);
    constexpr auto endedStreamRetention = std::chrono::seconds(60);
    constexpr std::size_t maxSamples = 3'000;

    std::int64_t tokensInProgress(const EngineStream& stream)
    {
        return stream.promptTokens + static_cast<std::int64_t>(stream.tokens.size());
    }

    bool hasEnded(const EngineStream& stream)
    {
        return stream.state == StreamState::Done || stream.state == StreamState::Cancelled;
    }

} // namespace

Batch::Batch(BatchOptions options)
    : m_options(options)
    , m_cache(options.cacheBlocks, options.cacheGapEvery)
    , m_thread([this] { runSteps(); })
{
}

Batch::~Batch()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stateChanged.notify_all();
    m_thread.join();
}

AddResult Batch::add(std::shared_ptr<EngineStream> stream)
{
    std::lock_guard lock(m_mutex);
    if (m_cancelledAttempts.contains(stream->attempt))
        return AddResult::CancelledBefore;
    if (!m_streams.emplace(stream->attempt, stream).second)
        return AddResult::Duplicate;
    ++m_counts.started;
    ++m_runs[stream->promptName].started;
    m_waiting.push_back(std::move(stream));
    m_stateChanged.notify_all();
    return AddResult::Added;
}

std::shared_ptr<EngineStream> Batch::find(const std::string& attempt)
{
    std::lock_guard lock(m_mutex);
    auto found = m_streams.find(attempt);
    return found == m_streams.end() ? nullptr : found->second;
}

bool Batch::cancel(const std::string& attempt)
{
    std::lock_guard lock(m_mutex);
    m_cancelledAttempts.insert(attempt);
    auto found = m_streams.find(attempt);
    if (found == m_streams.end())
        return true;
    EngineStream& stream = *found->second;
    if (stream.state == StreamState::Done)
        return false;
    if (stream.state != StreamState::Cancelled)
        endStream(stream, StreamState::Cancelled);
    std::erase_if(m_waiting, [](const auto& other) { return hasEnded(*other); });
    std::erase_if(m_running, [](const auto& other) { return hasEnded(*other); });
    return true;
}

void Batch::dropStreams()
{
    std::lock_guard lock(m_mutex);
    for (auto& [attempt, stream] : m_streams) {
        if (!hasEnded(*stream))
            endStream(*stream, StreamState::Cancelled);
    }
    m_streams.clear();
    m_waiting.clear();
    m_running.clear();
}

Batch::Progress Batch::waitFor(const EngineStream& stream, std::size_t position, std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_stateChanged.wait_for(lock, timeout, [&] { return stream.produced > position || hasEnded(stream) || m_isStopping; });
    return { stream.produced, stream.state };
}

void Batch::setSlowdown(double factor)
{
    std::lock_guard lock(m_mutex);
    m_slowdown = factor;
}

LoadSample Batch::loadBefore(std::chrono::milliseconds lag)
{
    std::lock_guard lock(m_mutex);
    auto limit = std::chrono::steady_clock::now() - lag;
    LoadSample out { .at = limit };
    for (const LoadSample& sample : m_samples) {
        if (sample.at <= limit)
            out = sample;
    }
    return out;
}

EngineCounts Batch::counts()
{
    std::lock_guard lock(m_mutex);
    return m_counts;
}

std::map<std::string, PromptRuns> Batch::runs()
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

std::vector<CacheEvent> Batch::cacheEvents(std::uint64_t after, std::chrono::milliseconds lag)
{
    std::lock_guard lock(m_mutex);
    return m_cache.eventsAfter(after, lag);
}

std::vector<std::uint64_t> Batch::cachedBlocks(const std::vector<std::uint64_t>& wanted)
{
    std::lock_guard lock(m_mutex);
    std::vector<std::uint64_t> out;
    std::copy_if(wanted.begin(), wanted.end(), std::back_inserter(out), [this](std::uint64_t block) { return m_cache.holds(block); });
    return out;
}

std::size_t Batch::importBlocks(const std::vector<std::uint64_t>& blocks)
{
    std::lock_guard lock(m_mutex);
    return m_cache.add(blocks);
}

void Batch::runSteps()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        sample();
        dropExpiredStreams();
        admit();
        if (m_running.empty()) {
            m_stateChanged.wait_for(lock, idleWait);
            continue;
        }
        auto length = step();
        lock.unlock();
        std::this_thread::sleep_for(length);
        m_stateChanged.notify_all();
        lock.lock();
    }
}

void Batch::admit()
{
    while (!m_waiting.empty() && m_running.size() < static_cast<std::size_t>(m_options.maxBatch)) {
        startPrefill(*m_waiting.front());
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
    m_counts.maxBatchSeen = std::max(m_counts.maxBatchSeen, static_cast<std::int64_t>(m_running.size()));
}

void Batch::startPrefill(EngineStream& stream)
{
    stream.cachedTokens = static_cast<std::int64_t>(m_cache.use(stream.blocks) * tokensPerBlock);
    stream.prefillLeft = stream.promptTokens - stream.cachedTokens;
    stream.state = StreamState::Prefilling;
    m_counts.cachedTokens += stream.cachedTokens;
}

// Computes one step and returns its duration.
std::chrono::duration<double> Batch::step()
{
    std::int64_t budget = m_options.prefillChunk;
    int decoding = 0;
    for (auto& stream : m_running) {
        if (stream->state == StreamState::Prefilling) {
            std::int64_t chunk = std::min(budget, stream->prefillLeft);
            budget -= chunk;
            stream->prefillLeft -= chunk;
            m_counts.prefillTokens += chunk;
            if (stream->prefillLeft)
                continue;
            m_cache.add(stream->blocks);
            stream->state = StreamState::Decoding;
        }
        ++decoding;
        ++stream->produced;
        ++m_counts.answerTokens;
        if (stream->produced >= stream->tokens.size())
            endStream(*stream, StreamState::Done);
    }
    std::erase_if(m_running, [](const auto& stream) { return hasEnded(*stream); });
    double prefill = static_cast<double>(m_options.prefillChunk - budget) / m_options.prefillRate;
    double decode = decoding ? (1 + m_options.batchSlope * (decoding - 1)) / m_options.decodeRate : 0;
    return std::chrono::duration<double>((prefill + decode) * m_slowdown);
}

void Batch::endStream(EngineStream& stream, StreamState state)
{
    PromptRuns& runs = m_runs[stream.promptName];
    bool isCompleted = state == StreamState::Done;
    ++(isCompleted ? m_counts.completed : m_counts.cancelled);
    ++(isCompleted ? runs.completed : runs.cancelled);
    if (!isCompleted && stream.state != StreamState::Waiting)
        m_counts.wastedPrefillTokens += stream.promptTokens - stream.cachedTokens - stream.prefillLeft;
    stream.state = state;
    stream.endedAt = std::chrono::steady_clock::now();
}

void Batch::sample()
{
    auto now = std::chrono::steady_clock::now();
    if (!m_samples.empty() && now - m_samples.back().at < samplePeriod)
        return;
    LoadSample sample { .at = now };
    sample.running = static_cast<std::int64_t>(m_running.size());
    sample.waiting = static_cast<std::int64_t>(m_waiting.size());
    for (const auto& stream : m_running)
        sample.tokensInProgress += tokensInProgress(*stream);
    for (const auto& stream : m_waiting)
        sample.tokensInProgress += tokensInProgress(*stream);
    m_samples.push_back(sample);
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
}

void Batch::dropExpiredStreams()
{
    auto limit = std::chrono::steady_clock::now() - endedStreamRetention;
    std::erase_if(m_streams, [&](const auto& entry) { return hasEnded(*entry.second) && entry.second->endedAt < limit; });
}

} // namespace limpetpond::fakes
