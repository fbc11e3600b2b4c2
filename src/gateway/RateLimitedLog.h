#pragma once

/// Structured log of the gateway: JSON lines on standard output, one for each decision.
///
/// Writing never blocks the event loop: lines are buffered up to a limit and written as fast as the reader reads them.
/// Lines over the buffer limit or the rate limit are dropped, and the next line states how many. The daemon's log is
/// base/Log, which uses Boost.Log.

#include "limpetpond/Clock.h"
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace limpetpond {

/// One named value in a line.
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

struct RateLimitedLogOptions {
    std::string instance;
    int descriptor { 1 }; ///< File descriptor to write to; negative for no log.
    int linesPerSecond { 300 };
    std::size_t maxBufferedBytes { 262144 };
};

class RateLimitedLog {
public:
    RateLimitedLog(const Clock&, RateLimitedLogOptions);

    /// Adds a line to the buffer, or drops it where a limit is reached.
    ///
    ///     log.line("info", "request_refused", { { "request", id }, { "status", std::int64_t(503) } });
    void line(std::string_view level, std::string_view event, std::initializer_list<LogField>);

    /// Writes as much of the buffer as is possible without blocking.
    void flush();

    /// The number of lines dropped since the start.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    bool acceptLine(SteadyTime now);

    const Clock& m_clock;
    RateLimitedLogOptions m_options;
    std::string m_buffer;
    SteadyTime m_secondStartedAt;
    int m_linesThisSecond { 0 };
    std::uint64_t m_droppedLines { 0 };
    std::uint64_t m_droppedSinceLastLine { 0 };
};

} // namespace limpetpond
