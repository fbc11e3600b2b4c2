#include "base/Log.h"

#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>

namespace limpetpond {

namespace {

    constexpr std::size_t maxQueuedLines = 8192;
    constexpr std::size_t maxTrackedEvents = 1024;

    using Backend = boost::log::sinks::text_ostream_backend;
    using Sink = boost::log::sinks::asynchronous_sink<Backend,
        boost::log::sinks::bounded_fifo_queue<maxQueuedLines, boost::log::sinks::drop_on_overflow>>;

    struct LogState {
        LogOptions options;
        LogRateLimiter rateLimiter;
        boost::shared_ptr<Sink> sink;
    };

    std::mutex stateMutex;
    std::shared_ptr<LogState> sharedState;

    std::shared_ptr<LogState> currentState()
    {
        std::lock_guard lock(stateMutex);
        return sharedState;
    }

    std::string_view levelText(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "info";
    }

    std::string timeText(std::chrono::system_clock::time_point now)
    {
        auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
        std::time_t seconds = micros / 1'000'000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char text[40];
        std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(text + length, sizeof text - length, ".%06dZ", static_cast<int>(micros % 1'000'000));
        return text;
    }

} // namespace

struct LogRateLimiter::State {
    struct Window {
        std::int64_t second { 0 };
        int admitted { 0 };
        long suppressed { 0 };
    };
    int linesPerSecond { 0 };
    std::mutex mutex;
    std::map<std::string, Window, std::less<>> windows;
};

LogRateLimiter::LogRateLimiter(int linesPerSecond)
    : m_state(new State)
{
    m_state->linesPerSecond = linesPerSecond;
}

LogRateLimiter::~LogRateLimiter() { delete m_state; }

long LogRateLimiter::admit(std::string_view event, std::int64_t secondNow)
{
    std::lock_guard lock(m_state->mutex);
    auto found = m_state->windows.find(event);
    if (found == m_state->windows.end()) {
        if (m_state->windows.size() >= maxTrackedEvents)
            m_state->windows.clear();
        found = m_state->windows.emplace(std::string(event), State::Window {}).first;
    }
    State::Window& window = found->second;
    if (window.second != secondNow) {
        window.second = secondNow;
        window.admitted = 0;
    }
    if (window.admitted >= m_state->linesPerSecond) {
        ++window.suppressed;
        return -1;
    }
    ++window.admitted;
    return std::exchange(window.suppressed, 0);
}

void startLog(const LogOptions& options)
{
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, [](std::ostream*) {}));
    backend->auto_flush(true);
    auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    std::lock_guard lock(stateMutex);
    sharedState = std::shared_ptr<LogState>(new LogState { options, LogRateLimiter(options.linesPerSecond), sink });
}

void stopLog()
{
    std::shared_ptr<LogState> state;
    {
        std::lock_guard lock(stateMutex);
        state.swap(sharedState);
    }
    if (!state)
        return;
    boost::log::core::get()->remove_sink(state->sink);
    state->sink->stop();
    state->sink->flush();
}

LogLevel logLevelFromText(std::string_view text)
{
    for (LogLevel level : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (levelText(level) == text)
            return level;
    }
    return LogLevel::Info;
}

void logLine(LogLevel level, std::string_view event, boost::json::object fields)
{
    std::shared_ptr<LogState> state = currentState();
    if (!state || level < state->options.level)
        return;
    auto now = std::chrono::system_clock::now();
    long suppressed = state->rateLimiter.admit(event, std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count());
    if (suppressed < 0)
        return;
    boost::json::object line;
    line["time"] = timeText(now);
    line["level"] = levelText(level);
    line["instance"] = state->options.instance;
    line["event"] = event;
    for (auto& field : fields)
        line[field.key()] = std::move(field.value());
    if (suppressed)
        line["suppressed"] = suppressed;
    static thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << boost::json::serialize(line);
}

} // namespace limpetpond
