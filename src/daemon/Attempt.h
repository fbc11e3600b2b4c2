#pragma once

/// Executes one dispatch to a target on a worker thread.

#include "daemon/CallParser.h"
#include "daemon/ControlThread.h"
#include "daemon/RequestInbox.h"
#include "daemon/Traffic.h"
#include <atomic>
#include <memory>

namespace limpetpond::detail {

/// One dispatch, shared by the worker thread that executes it and the request's `CallHandler`.
struct Attempt {
    Dispatch dispatch;
    std::shared_ptr<RequestInbox> inbox;
    std::shared_ptr<const ParsedCall> call;
    CallStop stop;
    std::atomic<bool> isAbandoned { false }; ///< The handler reads no more chunks; stops waiting for buffer space.
};

/// Executes the dispatch and posts its end to the request's inbox and to the control thread. Nothing is sent after the
/// dispatch's `notAfter`.
void runAttempt(Attempt&, const TrafficOptions&, const TargetCalls&, ControlThread&, const Clock&);

} // namespace limpetpond::detail
