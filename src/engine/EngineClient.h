#pragma once

/// HTTP client of model engines: streamed answers that can be resumed and cancelled, load reports,
/// cache events, engine commands and KV cache transfer. docs/PROTOCOLS.md, "Model engines", has the protocol.

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
    std::string body; ///< The caller's body; the client always requests a stream with usage.
    std::chrono::milliseconds timeout { 60'000 }; ///< From the start of the call to the end of the answer.
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds idleTimeout { 10'000 }; ///< The stream is resumed when no byte arrives for this time.
    int maxResumes { 3 }; ///< Maximum consecutive resumes without a new event.
    std::optional<SteadyTime> sendBefore; ///< The request's body is not sent after this time.
    std::chrono::milliseconds cancelTimeout { 1'000 }; ///< The engine must confirm a cancel within this time.
};

/// One event of an answer's stream, as the engine sent it.
struct EngineChunk {
    std::string data; ///< The JSON text of the event.
    std::string text; ///< The answer text in this event; may be empty.
    std::string finishReason; ///< Empty before the last part of the answer.
    std::optional<TokenCount> promptTokens; ///< This and the next two are read from `usage`.
    std::optional<TokenCount> answerTokens;
    std::optional<TokenCount> cachedPromptTokens;
};

/// Callbacks of a running call, invoked on the calling thread.
struct EngineCallHandlers {
    std::function<void(std::optional<TokenCount> cachedPromptTokens)> started; ///< Called before the first chunk.
    std::function<bool(const EngineChunk&)> chunk; ///< Called once for each chunk, in order; false cancels the call because the caller disconnected.
};

/// The end of a call to an engine.
struct EngineCallEnd {
    DispatchEnd end { DispatchEnd::Lost };
    bool answerForwarded { false }; ///< At least one chunk was passed to the handler.
    TokenCount promptTokens;
    TokenCount answerTokens;
    std::optional<TokenCount> cachedPromptTokens;
    DroppedPieces dropped;
    int resumes { 0 };
    bool cancelConfirmed { false }; ///< The engine confirmed that it no longer runs the attempt.
    std::optional<HttpResponse> error; ///< The engine's own answer, for TargetError and refusals.
    std::string detail; ///< One line for the log; empty when completed.
};

/// Dispatches a request once, resumes an interrupted stream at the same engine, and returns when the
/// answer is whole, cancelled or lost. `stop` requests a cancel from another thread.
/// NotStarted: the request was not sent, or the engine answered 429 or 503 before it started.
/// Cancelled: the engine confirmed that it no longer runs the attempt, and either no chunk was passed
/// on or a cancel was requested. Lost: the engine did not confirm, or the answer broke off after chunks were
/// passed on. TargetError: the engine answered with any other error status.
///
///     EngineCallEnd end = callEngine(address, call, handlers, stop);
EngineCallEnd callEngine(const EngineAddress&, const EngineCall&, const EngineCallHandlers&, CallStop& stop);

/// Cancels an attempt, with retries until `timeout`. Returns whether the engine confirmed that it no longer
/// runs the attempt. The engine refuses an attempt that arrives after its cancel.
///
///     bool stopped = cancelAttempt(address, attempt, std::chrono::seconds(1));
bool cancelAttempt(const EngineAddress&, const AttemptId&, std::chrono::milliseconds timeout);

/// Parses the JSON of one event. Fails with `CallError` Malformed.
///
///     Result<EngineChunk> chunk = parseEngineChunk(data);
Result<EngineChunk> parseEngineChunk(std::string_view data);

/// Returns the caller's body with `stream` and `stream_options.include_usage` set. Fails with `CallError` Malformed.
///
///     Result<std::string> body = streamingBody(callerBody);
Result<std::string> streamingBody(std::string_view callerBody);

// ---- Reports ----

/// Reads an engine's load. `measuredAt` is `now` minus the age that the engine reports.
///
///     Result<TargetReported> report = readLoad(address, clock.steadyNow(), {});
Result<TargetReported> readLoad(const EngineAddress&, SteadyTime now, const HttpTimeouts&);

/// Reads the cache events after a sequence number. `gap` is set on the first event after a gap.
///
///     Result<std::vector<CacheChanged>> events = readCacheEvents(address, lastSequence, {});
Result<std::vector<CacheChanged>> readCacheEvents(const EngineAddress&, std::uint64_t afterSequence, const HttpTimeouts&);

// ---- Engine commands ----

/// A desired state for an engine, protected by a fencing number.
struct EngineCommand {
    FencingNumber fencing;
    EngineDesiredState desired;
};

enum class EngineCommandState {
    Reached, ///< The engine is in the desired state.
    InProgress, ///< The engine accepted the command and has not finished; send it again to read the state.
    RefusedOldFencing, ///< The engine has received a higher fencing number.
};

struct EngineCommandResponse {
    EngineCommandState state { EngineCommandState::InProgress };
    FencingNumber highestSeen; ///< 0 for an engine that ignores fencing numbers.
};

/// Sends a command. A call that fails without an answer may have taken effect.
///
///     Result<EngineCommandResponse> answer = sendEngineCommand(address, { FencingNumber(4), desired }, {});
Result<EngineCommandResponse> sendEngineCommand(const EngineAddress&, const EngineCommand&, const HttpTimeouts&);

// ---- KV cache ----

/// Exports the KV cache of the given prompt blocks, as far as the engine holds them, as opaque bytes.
///
///     Result<std::string> kv = exportKv(address, blocks, {});
Result<std::string> exportKv(const EngineAddress&, const std::vector<std::uint64_t>& blocks, const HttpTimeouts&);

/// Imports exported KV cache and returns the number of imported tokens.
///
///     Result<TokenCount> tokens = importKv(address, kv, {});
Result<TokenCount> importKv(const EngineAddress&, const std::string& kv, const HttpTimeouts&);

} // namespace limpetpond
