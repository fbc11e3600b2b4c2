#pragma once

/// Logs as JSON lines on standard error, through Boost.Log.
///
/// Fields of every line: `time` (UTC, microseconds), `level`, `instance`, `event`. Further ones
/// are named by the caller; `request`, `attempt` and `target` carry ids. Bodies and secrets
/// are never logged. Lines beyond the rate limit of their event are counted and the count
/// rides on the next line as `suppressed`.

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpetpond {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogOptions {
    LogLevel level { LogLevel::Info };
    std::string instance;
    int linesPerSecond { 20 }; ///< For each event name.
};

/// Starts writing to standard error from a thread of its own; a full queue drops lines.
///
///     startLog({ .level = LogLevel::Info, .instance = "i1" });
///     logLine(LogLevel::Info, "started", { { "port", 8080 } });
void startLog(const LogOptions&);

/// Writes out what is queued and stops the thread.
void stopLog();

/// Reads a level's name; Info for an unknown one.
LogLevel logLevelFromText(std::string_view);

/// Logs one event. Lines before startLog are thrown away.
///
///     logLine(LogLevel::Warning, "peer_unreachable", { { "peer", id } });
void logLine(LogLevel, std::string_view event, boost::json::object fields = {});

/// Decides which repeats of an event are logged.
///
///     LogRateLimiter limiter(20);
///     limiter.admit("event", now) >= 0;
class LogRateLimiter {
public:
    explicit LogRateLimiter(int linesPerSecond);
    ~LogRateLimiter();
    LogRateLimiter(const LogRateLimiter&) = delete;
    LogRateLimiter& operator=(const LogRateLimiter&) = delete;

    /// The number of lines suppressed since the last admitted one, or -1 to suppress this line.
    long admit(std::string_view event, std::int64_t secondNow);

private:
    struct State;
    State* m_state;
};

} // namespace limpetpond
