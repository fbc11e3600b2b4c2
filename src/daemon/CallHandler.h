#pragma once

/// Handles one caller's request from its arrival to its final answer.

#include "daemon/CallParser.h"
#include "daemon/Traffic.h"
#include <httplib.h>
#include <memory>

namespace limpetpond::detail {

/// The content type of answers that aren't streams.
inline constexpr const char* jsonContentType = "application/json";

/// Waits on the caller's thread until the status of the answer is known and fills in the response. The response's
/// content provider sends the chunks of a stream.
void handleCall(Traffic&, std::shared_ptr<const ParsedCall>, int callerSocket, httplib::Response&);

/// Fills in an error, sets the outcome headers unless they are set already, and returns the status.
int fillError(httplib::Response&, const ApiError&, const RequestId&);

} // namespace limpetpond::detail
