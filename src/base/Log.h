#pragma once

/// The daemon's log: JSON lines on standard error, through Boost.Log. The gateway has RateLimitedLog.
///
/// Fields of every line: `time` (UTC, microseconds), `level`, `instance`, `event`. The caller adds
/// others; `request`, `attempt` and `target` hold ids. Bodies and secrets are never logged.
/// Lines over the rate limit of their event are dropped, and the next logged line of that event
/// has their number in the field `suppressed`.

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
    int linesPerSecond { 20 }; ///< The limit for each event name.
};

/// Starts the thread that writes queued lines to standard error; lines are dropped while the queue is full.
///
///     startLog({ .level = LogLevel::Info, .instance = "i1" });
///     logLine(LogLevel::Info, "started", { { "port", 8080 } });
void startLog(const LogOptions&);

/// Writes the queued lines and stops the thread.
void stopLog();

/// Parses the name of a level; Info for an unknown name.
LogLevel logLevelFromText(std::string_view);

/// Logs one event. Lines logged before startLog are discarded.
///
///     logLine(LogLevel::Warning, "peer_unreachable", { { "peer", id } });
void logLine(LogLevel, std::string_view event, boost::json::object fields = {});

/// Limits the lines of each event to a number per second.
///
///     LogRateLimiter limiter(20);
///     limiter.admit("event", now) >= 0;
class LogRateLimiter {
public:
    explicit LogRateLimiter(int linesPerSecond);
    ~LogRateLimiter();
    LogRateLimiter(const LogRateLimiter&) = delete;
    LogRateLimiter& operator=(const LogRateLimiter&) = delete;

    /// The number of lines of the event suppressed since its last admitted one, or -1 to suppress this line.
    long admit(std::string_view event, std::int64_t secondNow);

private:
    struct State;
    State* m_state;
};

} // namespace limpetpond
