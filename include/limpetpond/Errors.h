#pragma once

/// The failures that functions of the library report through Boost.LEAF.
///
/// A function that can fail returns `Result<T>`; the error object is one of the
/// structs below, never a bare string.

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
    std::string name; ///< Flag, variable or path in the settings tree.
    std::string value; ///< The value as it was given.
    std::string allowed; ///< The rule that the value broke, with unit and range.
};

/// Two operators edited one branch: the edit was made on a version that is no longer current.
struct SettingsConflict {
    std::string path;
    SettingsVersion readVersion; ///< What the refused edit was based on.
    SettingsVersion currentVersion; ///< What the branch has now.
    std::string currentValue; ///< The branch as it stands, as JSON.
    std::string refusedValue; ///< The refused edit, as JSON.
};

/// How a call to a peer of the system failed.
enum class CallFailure {
    NotSent, ///< No byte of the request can have reached the peer.
    NoAnswer, ///< The request may have taken effect.
    Refused, ///< The peer answered that it did not do it.
    Throttled, ///< The peer asks to slow down.
    Malformed, ///< The peer's answer can't be understood.
};

/// A failed call to a target, the platform or another instance.
struct CallError {
    CallFailure failure { CallFailure::NoAnswer };
    int status { 0 }; ///< The HTTP status, or 0 where there was no answer.
    std::string detail;
};

} // namespace limpetpond
