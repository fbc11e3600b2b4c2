#pragma once

/// The inbox of one request: its traffic thread receives the control thread's decisions and the chunks of the answer.

#include "core/Messages.h"
#include "daemon/Mailbox.h"
#include "engine/EngineClient.h"
#include "http/HttpClient.h"
#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace limpetpond {

/// One event of an engine's stream, to be forwarded to the caller.
struct StreamedChunk {
    AttemptId attempt;
    EngineChunk chunk;
};

/// The end of a dispatch, posted after all its chunks.
struct AttemptEnded {
    AttemptId attempt;
    DispatchEnd end { DispatchEnd::Lost };
    std::optional<HttpResponse> answer; ///< A service's answer, or an engine's error.
    std::optional<TokenCount> promptTokens;
    std::optional<TokenCount> cachedPromptTokens;
    bool started { false }; ///< The target had begun to answer.
    std::string detail;
};

using RequestMessage = std::variant<Dispatch, CancelDispatch, FinalAnswer, StreamedChunk, AttemptEnded>;

/// The control thread and the worker thread of the dispatch post messages; the traffic thread receives them.
struct RequestInbox {
    Mailbox<RequestMessage> mailbox;
    std::atomic<bool> cancelRequested { false }; ///< Stops the dispatch even while a slow caller blocks the traffic thread.
    std::atomic<std::int64_t> bufferedBytes { 0 }; ///< Bytes of chunks that were not sent to the caller yet.
};

} // namespace limpetpond
