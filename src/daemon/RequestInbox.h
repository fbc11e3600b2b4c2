#pragma once

/// Where the traffic thread of one request waits for what the control thread decides and
/// for the pieces of the answer.

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

/// One event of an engine's stream, for the caller.
struct StreamedChunk {
    AttemptId attempt;
    EngineChunk chunk;
};

/// A dispatch ended; all its pieces were posted before.
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

/// One request's mailbox. The control thread and the dispatch's thread post, the traffic thread receives.
struct RequestInbox {
    Mailbox<RequestMessage> mailbox;
    std::atomic<bool> cancelRequested { false }; ///< Of the dispatch under way, also while the traffic thread waits for a slow caller.
    std::atomic<std::int64_t> bufferedBytes { 0 }; ///< Bytes of pieces that the caller hasn't been sent yet.
};

} // namespace limpetpond
