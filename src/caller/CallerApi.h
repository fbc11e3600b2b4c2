#pragma once

/// The callers' API as pure functions: routes, error bodies, statuses, headers, stored answers.
///
/// Every final answer carries `Limpetpond-Request-Id`, `Limpetpond-Outcome` and
/// `Limpetpond-Reason`; a streamed one says the latter two in its last SSE comment or its error event.

#include "http/HttpClient.h"
#include "limpetpond/Errors.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Outcome.h"
#include "limpetpond/Settings.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

inline constexpr const char* outcomeHeader = "Limpetpond-Outcome";
inline constexpr const char* reasonHeader = "Limpetpond-Reason";
inline constexpr const char* requestIdHeader = "Limpetpond-Request-Id";
inline constexpr const char* retryTokenHeader = "Limpetpond-Retry-Token";
inline constexpr const char* timeoutHeader = "Limpetpond-Timeout"; ///< A caller's deadline, such as `5s`.
inline constexpr const char* storedAnswerHeader = "Limpetpond-Stored-Answer"; ///< `true` on the answer to a second arrival.
inline constexpr const char* idempotencyKeyHeader = "Idempotency-Key";

// ---- Routes ----

enum class CallRoute {
    ChatCompletions,
    Completions,
    Models,
    Service,
    Health,
    Ready,
    Metrics,
    NotFound,
    WrongMethod,
};

struct RoutedCall {
    CallRoute route { CallRoute::NotFound };
    std::string service; ///< Service: NAME in /services/NAME/.
    std::string servicePath; ///< Service: the rest of the target as it was sent, with the query.
    std::string decodedServicePath; ///< Service: the rest of the path, percent-decoded.
};

/// Finds what a request line asks for.
///
///     routeCall("POST", "/services/fees/pay", "/services/fees/pay?x=1").servicePath == "/pay?x=1";
RoutedCall routeCall(std::string_view method, std::string_view decodedPath, std::string_view target);

/// Whether a path means the same to every reader: no dot segments, empty segments, encoded
/// separators or control characters, by which a call could evade the pool's rules.
///
///     isPlainPath("/tags/../fees", "/tags/%2e%2e/fees") == false;
bool isPlainPath(std::string_view decodedPath, std::string_view target);

/// Whether the pool's rules say that a call may run at most once.
///
///     if (runsAtMostOnce(pool, "POST", "/pay")) requireKey();
bool runsAtMostOnce(const PoolSettings&, std::string_view method, std::string_view decodedPath);

/// The pool that serves a model; null for none.
const PoolSettings* findModelPool(const Settings&, const std::string& model);

/// The pool that serves a service; null for none.
const PoolSettings* findServicePool(const Settings&, const std::string& service);

/// The body of `/v1/models`.
std::string modelsBody(const Settings&);

// ---- Errors ----

/// A final answer other than a target's own.
struct ApiError {
    int status { 500 };
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::BadRequest };
    std::string message; ///< One sentence for a person.
    std::string param; ///< The field or header at fault, if any.
    std::optional<std::chrono::seconds> retryAfter;
    std::uint64_t retryToken { 0 };
};

/// The HTTP status of a final answer that no target gave.
///
///     statusOf(Outcome::NotRun, Reason::Overloaded) == 503;
int statusOf(Outcome, Reason);

/// The outcome of a refusal that was made without asking the control thread. A call with a key
/// may run elsewhere under an earlier attempt, so a refusal that could differ between the two is unknown.
///
///     refusalOutcome(Reason::Overloaded, true) == Outcome::Unknown;
Outcome refusalOutcome(Reason, bool hasKey);

/// A sentence that explains a reason to the caller.
std::string_view messageOf(Outcome, Reason);

/// The error as JSON in OpenAI's shape.
///
///     errorBody(error, id); // {"error":{"message":...,"type":...,"code":"overloaded",...}}
std::string errorBody(const ApiError&, const RequestId&);

// ---- Streams ----

/// One SSE event that carries a chunk.
std::string streamEvent(std::string_view data);

/// The end of a completed stream: a comment with the outcome, then `[DONE]`.
std::string streamEnd(const RequestId&);

/// The end of a stream that can't be completed: an event of type `error`; no `[DONE]` follows.
std::string streamError(const ApiError&, const RequestId&);

// ---- Headers and stored answers ----

/// The headers to pass to a service: no hop-by-hop ones, no authorization, none of ours.
std::vector<HttpHeader> headersForService(const std::vector<HttpHeader>&);

/// The headers of a service's answer to pass on: no hop-by-hop ones, no length, none of ours.
std::vector<HttpHeader> headersForCaller(const std::vector<HttpHeader>&);

/// A whole answer as text that the table service can keep. Never empty.
///
///     decodeStoredAnswer(encodeStoredAnswer(answer))->body == answer.body;
std::string encodeStoredAnswer(const HttpResponse&);

/// The answer that encodeStoredAnswer wrote; none for other text.
std::optional<HttpResponse> decodeStoredAnswer(std::string_view);

} // namespace limpetpond
