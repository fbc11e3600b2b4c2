#pragma once

/// Reads a caller's HTTP request into what the control thread and the targets need, and authenticates it.

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
    bool passUsage { false };
    std::string body; ///< Model calls.
    HttpRequest serviceRequest;
};

/// The error of a request that is refused before it reaches the control thread.
///
///     return refuse(Reason::NotFound, false, "There is no such model.", "model");
boost::leaf::error_id refuse(Reason, bool hasKey, std::string message = {}, std::string param = {});

/// The client account whose key the request carries.
Result<ClientAccountSettings> authenticate(const PublishedView&, const CallerConnection&, bool hasKey);

/// Parses a model request or a service call; fails with an `ApiError`.
Result<std::shared_ptr<const ParsedCall>> parseCall(RoutedCall, const PublishedView&, const httplib::Request&, const CallerConnection&, RequestId, SteadyTime now);

} // namespace limpetpond::detail
