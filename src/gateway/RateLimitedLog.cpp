#include "gateway/RateLimitedLog.h"

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace limpetpond {

namespace {

    void appendText(std::string& out, std::string_view text)
    {
        out += '"';
        for (char c : text) {
            if (c == '"' || c == '\\') {
                out += '\\';
                out += c;
            } else if (static_cast<unsigned char>(c) < 0x20) {
                char escaped[8];
                std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned char>(c));
                out += escaped;
            } else {
                out += c;
            }
        }
        out += '"';
    }

    void appendNumber(std::string& out, std::int64_t number)
    {
        char digits[24];
        auto end = std::to_chars(digits, digits + sizeof digits, number);
        out.append(digits, end.ptr);
    }

    void appendValue(std::string& out, const LogField& value)
    {
        if (const auto* text = std::get_if<std::string_view>(&value.value)) {
            appendText(out, *text);
        } else if (const auto* number = std::get_if<std::int64_t>(&value.value)) {
            appendNumber(out, *number);
        } else if (const auto* fraction = std::get_if<double>(&value.value)) {
            char digits[32];
            std::snprintf(digits, sizeof digits, "%.3f", *fraction);
            out += digits;
        } else {
            out += std::get<bool>(value.value) ? "true" : "false";
        }
    }

    std::int64_t unixMilliseconds(SystemTime time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }

} // namespace

RateLimitedLog::RateLimitedLog(const Clock& clock, RateLimitedLogOptions options)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_secondStartedAt(clock.steadyNow())
{
    if (m_options.descriptor < 0)
        return;
    int flags = fcntl(m_options.descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(m_options.descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool RateLimitedLog::acceptLine(SteadyTime now)
{
    if (now - m_secondStartedAt >= std::chrono::seconds(1)) {
        m_secondStartedAt = now;
        m_linesThisSecond = 0;
    }
    if (m_linesThisSecond >= m_options.linesPerSecond || m_buffer.size() >= m_options.maxBufferedBytes) {
        ++m_droppedLines;
        ++m_droppedSinceLastLine;
        return false;
    }
    ++m_linesThisSecond;
    return true;
}

void RateLimitedLog::line(std::string_view level, std::string_view event, std::initializer_list<LogField> values)
{
    if (m_options.descriptor < 0 || !acceptLine(m_clock.steadyNow()))
        return;
    m_buffer += "{\"time_ms\":";
    appendNumber(m_buffer, unixMilliseconds(m_clock.systemNow()));
    m_buffer += ",\"level\":";
    appendText(m_buffer, level);
    m_buffer += ",\"instance\":";
    appendText(m_buffer, m_options.instance);
    m_buffer += ",\"event\":";
    appendText(m_buffer, event);
    for (const LogField& value : values) {
        m_buffer += ',';
        appendText(m_buffer, value.name);
        m_buffer += ':';
        appendValue(m_buffer, value);
    }
    if (m_droppedSinceLastLine) {
        m_buffer += ",\"left_out\":";
        appendNumber(m_buffer, static_cast<std::int64_t>(m_droppedSinceLastLine));
        m_droppedSinceLastLine = 0;
    }
    m_buffer += "}\n";
}

void RateLimitedLog::flush()
{
    if (m_buffer.empty())
        return;
    ssize_t written = ::write(m_options.descriptor, m_buffer.data(), m_buffer.size());
    if (written > 0)
        m_buffer.erase(0, static_cast<std::size_t>(written));
}

} // namespace limpetpond
