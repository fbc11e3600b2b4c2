#pragma once

/// The HTTP API for callers as pure functions: routes, error bodies, statuses, headers, stored answers.
///
/// Every final answer carries `Limpetpond-Request-Id`, `Limpetpond-Outcome` and
/// `Limpetpond-Reason`; a streamed one has the latter two in its last SSE comment or its error event.

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
inline constexpr const char* timeoutHeader = "Limpetpond-Timeout"; ///< The time limit that the caller sets, such as `5s`.
inline constexpr const char* storedAnswerHeader = "Limpetpond-Stored-Answer"; ///< `true` on an answer that was stored for an earlier request with the same key.
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

/// The route of a request, with the service and its path where the route is Service.
struct RoutedCall {
    CallRoute route { CallRoute::NotFound };
    std::string service; ///< For Service, NAME in /services/NAME/.
    std::string servicePath; ///< For Service, the rest of the request target as it was sent, with the query.
    std::string decodedServicePath; ///< For Service, the rest of the path, percent-decoded.
};

/// Finds the route of a request line. `target` is the request target as it was sent.
///
///     routeCall("POST", "/services/fees/pay", "/services/fees/pay?x=1").servicePath == "/pay?x=1";
RoutedCall routeCall(std::string_view method, std::string_view decodedPath, std::string_view target);

/// Whether every HTTP server reads a path the same way: it has no dot segments, empty segments, encoded
/// separators or control characters. With these a call could evade the pool's rules.
///
///     isPlainPath("/tags/../fees", "/tags/%2e%2e/fees") == false;
bool isPlainPath(std::string_view decodedPath, std::string_view target);

/// Whether the pool's rules require that a call runs at most once.
///
///     if (runsAtMostOnce(pool, "POST", "/pay")) requireKey();
bool runsAtMostOnce(const PoolSettings&, std::string_view method, std::string_view decodedPath);

/// Returns the pool that serves a model, or null.
const PoolSettings* findModelPool(const Settings&, const std::string& model);

/// Returns the pool that serves a plain service, or null.
const PoolSettings* findServicePool(const Settings&, const std::string& service);

/// Returns the body of `/v1/models` as JSON.
std::string modelsBody(const Settings&);

// ---- Errors ----

/// A final answer that limpetpond itself gives, not a target.
struct ApiError {
    int status { 500 };
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::BadRequest };
    std::string message; ///< One sentence for people; if empty, that of `messageOf`.
    std::string param; ///< The invalid field or header, if any.
    std::optional<std::chrono::seconds> retryAfter;
    std::uint64_t retryToken { 0 }; ///< 0 for none.
};

/// Returns the HTTP status of a final answer that no target gave.
///
///     statusOf(Outcome::NotRun, Reason::Overloaded) == 503;
int statusOf(Outcome, Reason);

/// Returns the outcome of a refusal made without the control thread. A call with an idempotency key may be
/// running under an earlier attempt, so its outcome is Unknown unless the earlier attempt was refused as well.
///
///     refusalOutcome(Reason::Overloaded, true) == Outcome::Unknown;
Outcome refusalOutcome(Reason, bool hasKey);

/// Returns a sentence that explains a reason to the caller.
std::string_view messageOf(Outcome, Reason);

/// Returns the error as JSON in OpenAI's format.
///
///     errorBody(error, id); // {"error":{"message":...,"type":...,"code":"overloaded",...}}
std::string errorBody(const ApiError&, const RequestId&);

// ---- Streams ----

/// Returns one SSE event with a chunk as its data.
std::string streamEvent(std::string_view data);

/// Returns the end of a completed stream: a comment with the outcome, then `[DONE]`.
std::string streamEnd(const RequestId&);

/// Returns the end of a stream that can't be completed: an event of type `error`, without `[DONE]`.
std::string streamError(const ApiError&, const RequestId&);

// ---- Headers and stored answers ----

/// Returns the request headers to forward to a service, without hop-by-hop headers, authorization and
/// limpetpond's own headers.
std::vector<HttpHeader> headersForService(const std::vector<HttpHeader>&);

/// Returns the headers of a service's answer to forward to the caller, without hop-by-hop headers,
/// Content-Length and limpetpond's own headers.
std::vector<HttpHeader> headersForCaller(const std::vector<HttpHeader>&);

/// Encodes a whole answer as text for the table service. Never empty.
///
///     decodeStoredAnswer(encodeStoredAnswer(answer))->body == answer.body;
std::string encodeStoredAnswer(const HttpResponse&);

/// Decodes the text that encodeStoredAnswer wrote; no value for other text.
std::optional<HttpResponse> decodeStoredAnswer(std::string_view);

} // namespace limpetpond
