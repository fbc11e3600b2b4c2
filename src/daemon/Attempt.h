#pragma once

/// One dispatch to a target, made on a thread of its own.

#include "daemon/CallParser.h"
#include "daemon/ControlThread.h"
#include "daemon/RequestInbox.h"
#include "daemon/Traffic.h"
#include <atomic>
#include <memory>

namespace limpetpond::detail {

/// One dispatch, shared by its thread and the conversation.
struct Attempt {
    Dispatch dispatch;
    std::shared_ptr<RequestInbox> inbox;
    std::shared_ptr<const ParsedCall> call;
    CallStop stop;
    std::atomic<bool> isAbandoned { false }; ///< Nobody reads the pieces any more.
};

/// Makes the dispatch and tells the conversation and the control thread how it ended. Nothing is sent after the
/// dispatch's `notAfter`.
void runAttempt(Attempt&, const TrafficOptions&, const TargetCalls&, ControlThread&, const Clock&);

} // namespace limpetpond::detail
