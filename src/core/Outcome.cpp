#include "limpetpond/Outcome.h"

namespace limpetpond {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::BadRequest:
        return "bad_request";
    case Reason::Unauthorized:
        return "unauthorized";
    case Reason::NotFound:
        return "not_found";
    case Reason::TooLarge:
        return "too_large";
    case Reason::KeyRequired:
        return "key_required";
    case Reason::KeyReused:
        return "key_reused";
    case Reason::KeyClosed:
        return "key_closed";
    case Reason::InProgress:
        return "in_progress";
    case Reason::Overloaded:
        return "overloaded";
    case Reason::AccountLimit:
        return "account_limit";
    case Reason::DeadlineExceeded:
        return "deadline_exceeded";
    case Reason::NoTarget:
        return "no_target";
    case Reason::StoreUnavailable:
        return "store_unavailable";
    case Reason::ViewStale:
        return "view_stale";
    case Reason::NotReady:
        return "not_ready";
    case Reason::ShuttingDown:
        return "shutting_down";
    case Reason::TargetFailed:
        return "target_failed";
    case Reason::AnswerLost:
        return "answer_lost";
    case Reason::CallerDisconnected:
        return "caller_gone";
    }
    return "none";
}

} // namespace limpetpond
