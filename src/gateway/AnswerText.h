#pragma once

/// Writes HTTP/1.1 heads: requests to targets, answers to callers.

#include "traffic/HttpParser.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetpond {

/// What the gateway sets in a request that it passes on.
struct TargetRequestFields {
    std::string_view target; ///< The id of the target that is meant.
    std::string_view account; ///< Empty for none.
    std::int64_t millisecondsLeft { 0 };
    std::optional<std::uint64_t> resumeAfter; ///< Replaces what the caller sent.
};

/// The request as the target gets it, body included.
///
///     connection.send(targetRequestText(request, { .target = "i-1", .millisecondsLeft = 900 }), ...);
std::string targetRequestText(const ReceivedRequest&, const TargetRequestFields&);

/// How the body of an answer is delimited.
enum class BodyFraming {
    Length,
    Chunks,
    None, ///< No body, as of an answer to HEAD; a stated length is passed on.
};

/// The head of a target's answer as the caller gets it, with the blank line at its end.
std::string callerAnswerHead(const HttpAnswerHead&, BodyFraming, std::size_t bodyLength, bool keepAlive);

/// A whole answer of the gateway's own.
struct OwnAnswer {
    int status { 503 };
    std::string_view reason; ///< A typed code for the caller, such as "overloaded".
    std::string_view requestId;
    std::optional<std::chrono::milliseconds> retryAfter;
    bool keepAlive { true };
    std::string_view contentType; ///< Empty for none.
    std::string_view body;
};
std::string ownAnswerText(const OwnAnswer&);

/// Appends one chunk.
void appendChunk(std::string& out, std::string_view bytes);

/// The end of a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace limpetpond
