#pragma once

/// The fake engine's scheduler: continuous batching, streams that outlive their connection, and cancellation.

#include "test/fakes/engine/PrefixCache.h"
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace limpetpond::fakes {

struct BatchOptions {
    double prefillRate { 8000 }; ///< Prompt tokens per second.
    double decodeRate { 100 }; ///< Answer tokens per second of a single stream.
    double batchSlope { 0.03 }; ///< Relative increase of the step duration for each further stream.
    int maxBatch { 32 };
    int prefillChunk { 512 }; ///< Prompt tokens that one step processes.
    std::size_t cacheBlocks { 12'500 };
    int cacheGapEvery { 0 }; ///< Every n-th cache event is never published; 0 for none.
};

enum class StreamState {
    Waiting,
    Prefilling,
    Decoding,
    Done,
    Cancelled,
};

/// One attempt. Guarded by the batch's mutex.
struct EngineStream {
    std::string attempt;
    std::string promptName;
    bool isChat { true };
    std::vector<std::uint64_t> blocks;
    std::int64_t promptTokens { 0 };
    std::int64_t cachedTokens { 0 };
    std::int64_t prefillLeft { 0 };
    std::vector<std::string> tokens; ///< The whole answer.
    std::size_t produced { 0 };
    StreamState state { StreamState::Waiting };
    std::chrono::steady_clock::time_point endedAt;
};

/// Runs of one prompt, for the checks of tests.
struct PromptRuns {
    std::int64_t started { 0 };
    std::int64_t completed { 0 };
    std::int64_t cancelled { 0 };
};

struct LoadSample {
    std::chrono::steady_clock::time_point at;
    std::int64_t running { 0 };
    std::int64_t waiting { 0 };
    std::int64_t tokensInProgress { 0 };
};

struct EngineCounts {
    std::int64_t started { 0 };
    std::int64_t completed { 0 };
    std::int64_t cancelled { 0 };
    std::int64_t prefillTokens { 0 }; ///< Computed prompt tokens.
    std::int64_t cachedTokens { 0 }; ///< Prompt tokens found in the cache.
    std::int64_t wastedPrefillTokens { 0 }; ///< Prompt tokens computed for streams that were cancelled.
    std::int64_t answerTokens { 0 };
    std::int64_t maxBatchSeen { 0 };
};

/// The result of `add`.
enum class AddResult {
    Added,
    Duplicate, ///< The attempt is already known.
    CancelledBefore, ///< The attempt was cancelled before it arrived.
};

/// Runs the steps of the batch in a thread of its own. Thread-safe.
class Batch {
public:
    explicit Batch(BatchOptions);
    ~Batch();
    Batch(const Batch&) = delete;
    Batch& operator=(const Batch&) = delete;

    AddResult add(std::shared_ptr<EngineStream>);

    /// The stream of an attempt, or null.
    std::shared_ptr<EngineStream> find(const std::string& attempt);

    /// Cancels an attempt, also one that arrives later. Returns false if it had already completed.
    bool cancel(const std::string& attempt);

    /// Cancels and removes all streams, as a restart does.
    void dropStreams();

    /// The tokens produced so far and the state of a stream.
    struct Progress {
        std::size_t produced { 0 };
        StreamState state { StreamState::Waiting };
    };

    /// Waits until the stream has tokens after `position` or has ended, at most for `timeout`.
    Progress waitFor(const EngineStream&, std::size_t position, std::chrono::milliseconds timeout);

    void setSlowdown(double factor);
    LoadSample loadBefore(std::chrono::milliseconds lag);
    EngineCounts counts();
    std::map<std::string, PromptRuns> runs();
    std::vector<CacheEvent> cacheEvents(std::uint64_t after, std::chrono::milliseconds lag);
    std::vector<std::uint64_t> cachedBlocks(const std::vector<std::uint64_t>& wanted);
    std::size_t importBlocks(const std::vector<std::uint64_t>&);

private:
    void runSteps();
    std::chrono::duration<double> step();
    void admit();
    void startPrefill(EngineStream&);
    void endStream(EngineStream&, StreamState);
    void sample();
    void dropExpiredStreams();

    BatchOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    bool m_isStopping { false };
    double m_slowdown { 1 };
    std::deque<std::shared_ptr<EngineStream>> m_waiting;
    std::vector<std::shared_ptr<EngineStream>> m_running;
    std::map<std::string, std::shared_ptr<EngineStream>> m_streams;
    std::set<std::string> m_cancelledAttempts;
    std::map<std::string, PromptRuns> m_runs;
    std::deque<LoadSample> m_samples;
    EngineCounts m_counts;
    PrefixCache m_cache;
    std::thread m_thread;
};

} // namespace limpetpond::fakes
