#pragma once

/// Structured log of the gateway: JSON lines on standard output, one for each decision.
///
/// Writing never blocks: lines are kept in a bounded buffer and written as far as the reader takes
/// them. Lines over the bound or the rate are counted, and the count rides on the next line.

#include "limpetpond/Clock.h"
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace limpetpond {

/// One named value of a line.
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

struct RateLimitedLogOptions {
    std::string instance;
    int descriptor { 1 }; ///< Negative for no log at all.
    int linesPerSecond { 300 };
    std::size_t maxBufferedBytes { 262144 }; ///< Bytes.
};

class RateLimitedLog {
public:
    RateLimitedLog(const Clock&, RateLimitedLogOptions);

    /// Adds a line.
    ///
    ///     log.line("info", "request_refused", { { "request", id }, { "status", std::int64_t(503) } });
    void line(std::string_view level, std::string_view event, std::initializer_list<LogField>);

    /// Writes what the reader takes now; returns at once.
    void flush();

    /// Lines that were left out since the start.
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
