#pragma once

/// Builds the text of HTTP/1.1 messages: requests to targets and answers to callers.

#include "traffic/HttpParser.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetpond {

/// A non-negative decimal number at the beginning of the text; nothing for other text.
std::optional<double> parseDecimal(std::string_view text);

/// Header fields that the gateway sets in a request to a target.
struct TargetRequestFields {
    std::string_view target; ///< Id of the target.
    std::string_view account; ///< Empty for none.
    std::int64_t millisecondsLeft { 0 }; ///< Until the deadline.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller has; replaces the caller's field.
};

/// The head of the request as sent to the target; the request's body follows it.
///
///     connection.send(targetRequestHead(request, { .target = "i-1", .millisecondsLeft = 900 }), ...);
std::string targetRequestHead(const ReceivedRequest&, const TargetRequestFields&);

/// How the body of an answer is delimited.
enum class BodyFraming {
    Length,
    Chunks,
    None, ///< No body, as in an answer to HEAD; the Content-Length of the target is passed on.
};

/// The head of a target's answer as sent to the caller, with the blank line at its end.
std::string callerAnswerHead(const HttpAnswerHead&, BodyFraming, std::size_t bodyLength, bool keepAlive);

/// A whole answer that the gateway gives itself.
struct GatewayAnswer {
    int status { 503 };
    std::string_view reason; ///< Machine-readable code, such as "overloaded"; sent as Limpetpond-Reason.
    std::string_view requestId;
    std::optional<std::chrono::milliseconds> retryAfter;
    bool keepAlive { true };
    std::string_view contentType; ///< Empty for none.
    std::string_view body;
};
std::string gatewayAnswerText(const GatewayAnswer&);

/// Appends one chunk of a chunked body; nothing for no bytes, since an empty chunk would end the body.
void appendChunk(std::string& out, std::string_view bytes);

/// The end of a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace limpetpond
