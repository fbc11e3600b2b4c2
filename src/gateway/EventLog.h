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
struct LogValue {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

struct EventLogOptions {
    std::string instance;
    int descriptor { 1 }; ///< Negative for no log at all.
    int linesPerSecond { 300 };
    std::size_t mostBuffered { 262144 }; ///< Bytes.
};

class EventLog {
public:
    EventLog(const Clock&, EventLogOptions);

    /// Adds a line.
    ///
    ///     log.line("info", "request_refused", { { "request", id }, { "status", std::int64_t(503) } });
    void line(std::string_view level, std::string_view event, std::initializer_list<LogValue>);

    /// Writes what the reader takes now; returns at once.
    void flush();

    /// Lines that were left out since the start.
    std::uint64_t leftOut() const { return m_leftOut; }

private:
    bool admit(SteadyTime now);

    const Clock& m_clock;
    EventLogOptions m_options;
    std::string m_buffer;
    SteadyTime m_secondBegan;
    int m_linesThisSecond { 0 };
    std::uint64_t m_leftOut { 0 };
    std::uint64_t m_leftOutSinceLine { 0 };
};

} // namespace limpetpond
