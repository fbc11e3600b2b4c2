#pragma once

/// Model engines: streamed answers that can be resumed and cancelled, load, cache events,
/// orders and KV cache. The protocol is in docs/PROTOCOLS.md under "Model engines".

#include "core/Messages.h"
#include "core/StreamAssembler.h"
#include "http/HttpClient.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

struct EngineAddress {
    TargetId target;
    HttpEndpoint endpoint;
};

// ---- Answers ----

/// One dispatch to an engine.
struct EngineCall {
    AttemptId attempt;
    std::string path { "/v1/chat/completions" };
    std::string body; ///< The caller's body; the client asks for a stream with usage in any case.
    std::chrono::milliseconds timeout { 60'000 }; ///< From here to the end of the answer.
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds idleTimeout { 10'000 }; ///< Without a byte for so long, the stream is resumed.
    int maxResumes { 3 }; ///< In a row without a new event.
    std::optional<SteadyTime> sendBefore; ///< The request's body is not sent later.
    std::chrono::milliseconds cancelTimeout { 1'000 }; ///< For the confirmation of a cancel.
};

/// One event of an answer's stream, as the engine sent it.
struct EngineChunk {
    std::string data; ///< The JSON text of the event.
    std::string text; ///< The part of the answer in it, which may be empty.
    std::string finishReason; ///< Empty before the last part.
    std::optional<TokenCount> promptTokens; ///< From `usage`, as the next two.
    std::optional<TokenCount> answerTokens;
    std::optional<TokenCount> cachedPromptTokens;
};

/// What a call reports while it runs, on the calling thread.
struct EngineCallHandlers {
    std::function<void(std::optional<TokenCount> cachedPromptTokens)> started; ///< Before the first chunk.
    std::function<bool(const EngineChunk&)> chunk; ///< In order, each once; false: the caller is gone, cancel.
};

/// How a call to an engine ended.
struct EngineCallEnd {
    DispatchEnd end { DispatchEnd::Lost };
    bool answerForwarded { false }; ///< At least one chunk was given out.
    TokenCount promptTokens;
    TokenCount answerTokens;
    std::optional<TokenCount> cachedPromptTokens;
    DroppedPieces dropped;
    int resumes { 0 };
    bool cancelConfirmed { false }; ///< The engine runs the attempt no longer.
    std::optional<HttpResponse> error; ///< TargetError and refusals: the engine's own answer.
    std::string detail; ///< One line for the log; empty when completed.
};

/// Dispatches a request once, resumes a cut stream at the same engine and returns when the answer
/// is whole, cancelled or lost. `stop` asks for a cancel from another thread.
/// NotStarted: the connection was refused, or the engine answered 429 or 503 before it started.
/// Cancelled: the engine confirmed that it runs the attempt no longer and no chunk was given out,
/// or a cancel was asked for. Lost: neither can be known, or chunks were given out.
///
///     EngineCallEnd end = callEngine(address, call, handlers, stop);
EngineCallEnd callEngine(const EngineAddress&, const EngineCall&, const EngineCallHandlers&, CallStop& stop);

/// Cancels an attempt and returns whether the engine confirmed that it runs it no longer.
/// The engine refuses an attempt that arrives after its cancel.
///
///     bool stopped = cancelAttempt(address, attempt, std::chrono::seconds(1));
bool cancelAttempt(const EngineAddress&, const AttemptId&, std::chrono::milliseconds timeout);

/// Reads one event's JSON. Fails with `CallError` Malformed.
///
///     Result<EngineChunk> chunk = parseEngineChunk(data);
Result<EngineChunk> parseEngineChunk(std::string_view data);

/// The caller's body with `stream` and `stream_options.include_usage` set. Fails with `CallError` Malformed.
///
///     Result<std::string> body = streamingBody(callerBody);
Result<std::string> streamingBody(std::string_view callerBody);

// ---- Reports ----

/// Reads an engine's load. `measuredAt` is `now` minus the lag that the engine states.
///
///     Result<TargetReported> report = readLoad(address, clock.steadyNow(), {});
Result<TargetReported> readLoad(const EngineAddress&, SteadyTime now, const HttpTimeouts&);

/// Reads the cache events after a sequence number. A gap is marked at the first event behind it.
///
///     Result<std::vector<CacheChanged>> events = readCacheEvents(address, lastSequence, {});
Result<std::vector<CacheChanged>> readCacheEvents(const EngineAddress&, std::uint64_t afterSequence, const HttpTimeouts&);

// ---- Orders ----

struct EngineCommand {
    FencingNumber fencing;
    EngineDesiredState desired;
};

enum class EngineCommandState {
    Reached, ///< The engine is in the desired state.
    InProgress, ///< The engine took the order and is on its way; ask again.
    RefusedOldFencing, ///< A higher fencing number was seen.
};

struct EngineCommandResponse {
    EngineCommandState state { EngineCommandState::InProgress };
    FencingNumber highestSeen; ///< None for an engine that ignores the numbers.
};

/// Gives an order. A call without an answer may have taken effect.
///
///     Result<EngineCommandResponse> answer = sendEngineCommand(address, { FencingNumber(4), desired }, {});
Result<EngineCommandResponse> sendEngineCommand(const EngineAddress&, const EngineCommand&, const HttpTimeouts&);

// ---- KV cache ----

/// Exports the KV cache of prompt blocks that the engine holds, as opaque bytes.
///
///     Result<std::string> kv = exportKv(address, blocks, {});
Result<std::string> exportKv(const EngineAddress&, const std::vector<std::uint64_t>& blocks, const HttpTimeouts&);

/// Imports exported KV cache and returns the tokens that were taken in.
///
///     Result<TokenCount> tokens = importKv(address, kv, {});
Result<TokenCount> importKv(const EngineAddress&, const std::string& kv, const HttpTimeouts&);

} // namespace limpetpond
