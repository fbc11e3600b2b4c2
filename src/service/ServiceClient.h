#pragma once

/// Client of plain services: forwards HTTP calls unchanged except for some headers.

#include "core/Messages.h"
#include "http/HttpClient.h"
#include <chrono>
#include <optional>
#include <string>

namespace limpetpond {

/// One dispatch to a plain service.
struct ServiceCall {
    HttpEndpoint endpoint;
    AttemptId attempt;
    IdempotencyKey key; ///< Sent as `Idempotency-Key`; empty for none.
    HttpRequest request; ///< Hop-by-hop headers and the caller's authorization are not forwarded.
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds timeout { 60'000 };
    ByteCount maxAnswer { 16'777'216 }; ///< Maximum size of the answer's body.
};

/// The end of a call to a service.
struct ServiceCallEnd {
    DispatchEnd end { DispatchEnd::Lost };
    std::optional<HttpResponse> answer; ///< The service's answer, for Completed and TargetError.
    std::string detail; ///< One line for the log; empty when completed.
};

/// Dispatches a call once over a new connection. NotStarted: no byte can have reached the service.
/// TargetError: a whole answer with a status of 500 or above. Lost: the answer is incomplete, too large or late.
/// `stop` ends the wait; a call that has been sent is then Lost.
///
///     ServiceCallEnd end = callService(call, stop);
ServiceCallEnd callService(const ServiceCall&, CallStop& stop);

} // namespace limpetpond
