#pragma once

/// One caller's request from its arrival at the control thread to its final answer.

#include "daemon/CallParser.h"
#include "daemon/Traffic.h"
#include <httplib.h>
#include <memory>

namespace limpetpond::detail {

/// The content type of answers that aren't streams.
inline constexpr const char* jsonContentType = "application/json";

/// Runs on the caller's thread until the answer's status is known and fills the response in. A stream goes on from the
/// response's content provider.
void handleCall(Traffic&, std::shared_ptr<const ParsedCall>, int callerSocket, httplib::Response&);

/// Fills an error in, with the headers that tell the outcome where they are not set yet; returns the status.
int fillError(httplib::Response&, const ApiError&, const RequestId&);

} // namespace limpetpond::detail
