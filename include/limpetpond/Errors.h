#pragma once

/// The errors that functions of the library report through Boost.LEAF.
///
/// A function that can fail returns `Result<T>`; the error object is one of the
/// structs below, never a string.

#include "limpetpond/Ids.h"
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace limpetpond {

template <typename T>
using Result = boost::leaf::result<T>;

/// A setting, flag or environment variable that was refused.
struct InvalidSetting {
    std::string name; ///< The flag, variable or path in the settings tree.
    std::string value; ///< The refused value, as it was passed.
    std::string allowed; ///< The rule that the value violates, with unit and range.
};

/// An edit was based on a branch version that is no longer current, because another change modified the branch.
struct SettingsConflict {
    std::string path;
    SettingsVersion readVersion; ///< The version that the refused edit was based on.
    SettingsVersion currentVersion; ///< The current version of the branch.
    std::string currentValue; ///< The current branch, as JSON.
    std::string refusedValue; ///< The refused edit, as JSON.
};

/// How a call to another process failed.
enum class CallFailure {
    NotSent, ///< No byte of the request can have reached the other process.
    NoAnswer, ///< The request may have taken effect.
    Refused, ///< The other process answered that it did not execute the request.
    Throttled, ///< The other process requests a lower rate.
    Malformed, ///< The answer can't be parsed.
};

/// A failed call to a target, the platform or another instance.
struct CallError {
    CallFailure failure { CallFailure::NoAnswer };
    int status { 0 }; ///< The HTTP status, or 0 when there was no answer.
    std::string detail;
};

} // namespace limpetpond
