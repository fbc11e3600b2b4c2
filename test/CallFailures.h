#pragma once

/// Helpers for tests of failed calls.

#include "limpetpond/Errors.h"
#include <optional>

namespace limpetpond {

/// Returns the `CallError` that a call fails with; no value when it succeeds or fails with another error.
///
///     std::optional<CallError> error = callErrorOf([&] { return table.get(key); });
template <typename Call>
std::optional<CallError> callErrorOf(Call call)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<CallError>> {
            BOOST_LEAF_CHECK(call());
            return std::optional<CallError>();
        },
        [](const CallError& error) { return std::optional(error); },
        [] { return std::optional<CallError>(); });
}

/// Whether a call fails with a `CallError` of this kind.
template <typename Call>
bool failsAs(CallFailure failure, Call call)
{
    std::optional<CallError> error = callErrorOf(call);
    return error && error->failure == failure;
}

} // namespace limpetpond
