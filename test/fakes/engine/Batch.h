#pragma once

/// The stand-in engine's work: continuous batching, streams that outlive their connection, cancels.

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
    double prefillRate { 8000 }; ///< Prompt tokens a second.
    double decodeRate { 100 }; ///< Answer tokens a second of a lone stream.
    double batchSlope { 0.03 }; ///< How much longer a step takes for each further stream.
    int maxBatch { 32 };
    int prefillChunk { 512 }; ///< Prompt tokens that one step processes.
    std::size_t cacheBlocks { 12'500 };
    int cacheGapEvery { 0 }; ///< Each so manieth cache event is never published; 0 for none.
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

/// What the engine did for one prompt, for checks from outside.
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
    std::int64_t prefillTokens { 0 }; ///< Prompt tokens that were computed.
    std::int64_t cachedTokens { 0 }; ///< Prompt tokens that were taken from the cache.
    std::int64_t wastedPrefillTokens { 0 }; ///< Prompt tokens computed for streams that were cancelled.
    std::int64_t answerTokens { 0 };
    std::int64_t maxBatchSeen { 0 };
};

/// How `add` went.
enum class AddResult {
    Added,
    Duplicate, ///< The attempt arrived before.
    CancelledBefore, ///< Its cancel came first.
};

/// Runs one thread that steps the batch. Thread-safe.
class Batch {
public:
    explicit Batch(BatchOptions);
    ~Batch();
    Batch(const Batch&) = delete;
    Batch& operator=(const Batch&) = delete;

    AddResult add(std::shared_ptr<EngineStream>);

    /// The stream of an attempt, or null.
    std::shared_ptr<EngineStream> find(const std::string& attempt);

    /// Stops an attempt for good, also one that hasn't arrived. False: it had ended whole.
    bool cancel(const std::string& attempt);

    /// Drops all memory of streams, as a restart would.
    void forgetStreams();

    /// What a reader of a stream may send now; waits up to `patience` for something after `position`.
    struct Progress {
        std::size_t produced { 0 };
        StreamState state { StreamState::Waiting };
    };
    Progress waitFor(const EngineStream&, std::size_t position, std::chrono::milliseconds patience);

    void setSlowdown(double factor);
    LoadSample loadBefore(std::chrono::milliseconds lag);
    EngineCounts counts();
    std::map<std::string, PromptRuns> runs();
    std::vector<CacheEvent> cacheEvents(std::uint64_t after, std::chrono::milliseconds lag);
    std::vector<std::uint64_t> heldBlocks(const std::vector<std::uint64_t>& wanted);
    std::size_t importBlocks(const std::vector<std::uint64_t>&);

private:
    void stepForever();
    std::chrono::duration<double> step();
    void admit();
    void begin(EngineStream&);
    void end(EngineStream&, StreamState);
    void sample();
    void dropOldStreams();

    BatchOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stops { false };
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
