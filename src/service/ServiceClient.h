#pragma once

/// Plain services: HTTP calls passed through as they are.

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
    IdempotencyKey key; ///< Forwarded as `Idempotency-Key`; empty for none.
    HttpRequest request; ///< Hop-by-hop headers and the caller's authorization are left out.
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds timeout { 60'000 };
    ByteCount maxAnswer { 16'777'216 };
};

/// How a call to a service ended.
struct ServiceCallEnd {
    DispatchEnd end { DispatchEnd::Lost };
    std::optional<HttpResponse> answer; ///< Completed and TargetError: the service's answer.
    std::string detail; ///< One line for the log; empty when completed.
};

/// Dispatches a call once over a connection of its own. NotStarted only where no byte can have
/// reached the service; TargetError for a whole answer of 500 or above; anything cut off is Lost.
/// `stop` breaks off the wait; a call that was sent then is Lost.
///
///     ServiceCallEnd end = callService(call, stop);
ServiceCallEnd callService(const ServiceCall&, CallStop& stop);

} // namespace limpetpond
