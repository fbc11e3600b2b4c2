#pragma once

/// Parses and authenticates a caller's HTTP request.

#include "caller/CallerApi.h"
#include "caller/CallerServer.h"
#include "core/Messages.h"
#include "daemon/ControlThread.h"
#include "http/HttpClient.h"
#include "limpetpond/Clock.h"
#include <boost/leaf/error.hpp>
#include <httplib.h>
#include <memory>
#include <string>

namespace limpetpond::detail {

/// A parsed and authenticated request.
struct ParsedCall {
    RoutedCall routed;
    RequestArrived arrival;
    PoolSettings pool;
    bool stream { false };
    bool forwardsUsage { false }; ///< The caller gets the chunk with the token usage.
    std::string body; ///< Sent to the engine; model calls only.
    HttpRequest serviceRequest; ///< Sent to the service; service calls only.
};

/// The error of a request that is rejected before it is posted to the control thread. With an idempotency key, an
/// earlier request may have run the call.
///
///     return refuse(Reason::NotFound, false, "There is no such model.", "model");
boost::leaf::error_id refuse(Reason, bool hasKey, std::string message = {}, std::string param = {});

/// The client account of the request's bearer key. Fails with an `ApiError` if there is none, or no settings are in
/// force.
Result<ClientAccountSettings> authenticate(const PublishedView&, const CallerConnection&, bool hasKey);

/// Parses a model request or a service call; fails with an `ApiError`.
Result<std::shared_ptr<const ParsedCall>> parseCall(RoutedCall, const PublishedView&, const httplib::Request&, const CallerConnection&, RequestId, SteadyTime now);

} // namespace limpetpond::detail
