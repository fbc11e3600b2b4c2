#pragma once

/// The outcome of a request and the reason for it.

#include <string_view>

namespace limpetpond {

/// The outcome of a request.
enum class Outcome {
    Completed, ///< The whole answer was delivered.
    NotRun, ///< No target ran the request, and none will run it for this attempt.
    Unknown, ///< The request may or may not have run.
};

/// Why a request ended with its outcome; the API returns the code as text.
enum class Reason {
    None,
    BadRequest,
    Unauthorized,
    NotFound,
    TooLarge,
    KeyRequired, ///< A non-idempotent call had no idempotency key.
    KeyReused, ///< The key was used before with a different body.
    KeyClosed, ///< An earlier attempt with the key ended as not run; a new one needs its retry token.
    InProgress, ///< The first call with the key is still in progress.
    Overloaded, ///< The request was shed under load.
    AccountLimit, ///< The client account has too many requests waiting.
    DeadlineExceeded, ///< The deadline passed before a target was selected.
    NoTarget, ///< No target of the pool can serve the request now.
    StoreUnavailable, ///< The table service is unavailable and an earlier attempt can't be excluded.
    ViewStale, ///< The settings of this instance were not confirmed recently, so it must not dispatch.
    NotReady, ///< The instance has no settings yet.
    ShuttingDown,
    TargetFailed, ///< The target failed before the request started there.
    AnswerLost, ///< The target ended or interrupted the answer after the request had started.
    CallerDisconnected, ///< The caller closed its connection.
};

/// The code that the API and the logs use, such as `not_run`.
///
///     toString(Outcome::NotRun) == "not_run";
std::string_view toString(Outcome);

/// The code that the API and the logs use, such as `store_unavailable`.
///
///     toString(Reason::Overloaded) == "overloaded";
std::string_view toString(Reason);

} // namespace limpetpond
