#pragma once

#include "limpetpond/Clock.h"
#include <ctime>

namespace limpetpond {

/// A steady clock (CLOCK_BOOTTIME) that also counts the time in which the machine is suspended, so that
/// leases, ages and deadlines expire here when they expire for other instances.
///
///     BootTimeClock clock;
///     SteadyTime start = clock.steadyNow();
class BootTimeClock final : public Clock {
public:
    SteadyTime steadyNow() const override
    {
        timespec now {};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return SteadyTime(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
    }
    SystemTime systemNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace limpetpond
