#pragma once

/// The final answer of a request: one outcome and one typed reason.

#include <string_view>

namespace limpetpond {

/// What became of a request.
enum class Outcome {
    Completed, ///< The whole answer was delivered.
    NotRun, ///< The request ran nowhere and never will under this attempt.
    Unknown, ///< The request may have run; the caller must not assume either.
};

/// Why a request ended as it did; the API gives the code as text.
enum class Reason {
    None,
    BadRequest,
    Unauthorized,
    NotFound,
    TooLarge,
    KeyRequired, ///< A non-idempotent call came without an idempotency key.
    KeyReused, ///< The key was used before with another body.
    KeyClosed, ///< The key's earlier attempt ended as not run; a retry token is needed.
    InProgress, ///< The key's first call still runs.
    Overloaded, ///< Shed under load.
    AccountLimit, ///< The client account has too many requests waiting.
    DeadlineExceeded, ///< The deadline passed before a target was chosen.
    NoTarget, ///< No target of the pool can serve the request now.
    StoreUnavailable, ///< The table service could not be reached and an earlier attempt can't be excluded.
    ViewStale, ///< This instance is cut off and must not dispatch.
    NotReady, ///< The instance holds no settings yet.
    ShuttingDown,
    TargetFailed, ///< The target failed before the request started there.
    AnswerLost, ///< The target ended or broke the answer after the request had started.
    CallerDisconnected,
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
