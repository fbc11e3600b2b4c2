#pragma once

/// The source of time, injected so that tests can control it.

#include <chrono>

namespace limpetpond {

using SteadyTime = std::chrono::steady_clock::time_point;
using SystemTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::nanoseconds;

/// The duration in seconds.
///
///     toSeconds(std::chrono::milliseconds(250)) == 0.25;
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// The duration in milliseconds.
inline double toMilliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

/// The duration of so many seconds or milliseconds.
///
///     fromMilliseconds(0.5) == std::chrono::microseconds(500);
inline Duration fromSeconds(double seconds) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)); }
inline Duration fromMilliseconds(double milliseconds) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds)); }

/// Gives the current time. Ages, leases and deadlines use only the steady clock;
/// the system clock is for timelines and cleaning windows.
///
///     SystemClock clock;
///     SteadyTime start = clock.steadyNow();
class Clock {
public:
    virtual ~Clock() = default;
    virtual SteadyTime steadyNow() const = 0;
    virtual SystemTime systemNow() const = 0;
};

/// The clocks of the operating system. The steady clock advances while the process is stopped.
class SystemClock final : public Clock {
public:
    SteadyTime steadyNow() const override { return std::chrono::steady_clock::now(); }
    SystemTime systemNow() const override { return std::chrono::system_clock::now(); }
};

/// A clock that advances only when `advance` is called.
///
///     ManualClock clock;
///     clock.advance(std::chrono::seconds(3));
class ManualClock final : public Clock {
public:
    SteadyTime steadyNow() const override { return SteadyTime(m_sinceStart); }
    SystemTime systemNow() const override { return m_systemStart + std::chrono::duration_cast<SystemTime::duration>(m_sinceStart); }
    void advance(Duration step) { m_sinceStart += step; }
    void setSystemStart(SystemTime start) { m_systemStart = start; }

private:
    Duration m_sinceStart { std::chrono::hours(1) };
    SystemTime m_systemStart {};
};

} // namespace limpetpond
