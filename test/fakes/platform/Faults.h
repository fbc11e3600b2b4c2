#pragma once

/// Injected faults of the table service, set by control calls, and its rate limits.

#include "test/fakes/common/FakeServer.h"
#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>

namespace limpetpond::fakes {

/// Limits the calls per second, with bursts of up to the calls of one second.
class RateLimit {
public:
    void set(double perSecond)
    {
        m_perSecond = perSecond;
        m_tokens = std::min(m_tokens, perSecond);
    }

    bool acquire()
    {
        auto now = std::chrono::steady_clock::now();
        std::chrono::duration<double> passed = now - m_last;
        m_last = now;
        m_tokens = std::min(m_perSecond, m_tokens + passed.count() * m_perSecond);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond { 0 };
    double m_tokens { 1'000'000 };
    std::chrono::steady_clock::time_point m_last { std::chrono::steady_clock::now() };
};

/// The faults of one call.
struct CallFaults {
    bool isBroken { false }; ///< The call has no effect and gets no answer.
    bool isThrottled { false };
    bool losesAnswer { false }; ///< The call takes effect but gets no answer.
    std::chrono::milliseconds delay { 0 }; ///< Before the effect.
};

/// Chooses the faults of each call. Thread-safe. Fields of `set`: `broken`, `delay_ms`, `hang_ms` (delay of broken calls),
/// `lose_writes` (number of next writes that lose their answer; -1: all), `writes_per_second`, `reads_per_second`.
class Faults {
public:
    Faults(double readsPerSecond, double writesPerSecond)
    {
        m_reads.set(readsPerSecond);
        m_writes.set(writesPerSecond);
    }

    void set(const json::object& wanted)
    {
        std::lock_guard lock(m_mutex);
        m_isBroken = flagIn(wanted, "broken", m_isBroken);
        m_delay = std::chrono::milliseconds(static_cast<int>(numberIn(wanted, "delay_ms", static_cast<double>(m_delay.count()))));
        m_hang = std::chrono::milliseconds(static_cast<int>(numberIn(wanted, "hang_ms", static_cast<double>(m_hang.count()))));
        m_loseWrites = static_cast<int>(numberIn(wanted, "lose_writes", m_loseWrites));
        if (wanted.contains("reads_per_second"))
            m_reads.set(numberIn(wanted, "reads_per_second", 0));
        if (wanted.contains("writes_per_second"))
            m_writes.set(numberIn(wanted, "writes_per_second", 0));
    }

    CallFaults faultsOfNextCall(bool isWrite)
    {
        std::lock_guard lock(m_mutex);
        CallFaults out;
        out.delay = m_isBroken ? m_hang : m_delay;
        out.isBroken = m_isBroken;
        if (m_isBroken)
            return out;
        out.isThrottled = !(isWrite ? m_writes : m_reads).acquire();
        out.losesAnswer = isWrite && !out.isThrottled && m_loseWrites;
        if (out.losesAnswer && m_loseWrites > 0)
            --m_loseWrites;
        m_throttled += out.isThrottled;
        m_lost += out.losesAnswer;
        return out;
    }

    json::object counts()
    {
        std::lock_guard lock(m_mutex);
        return { { "throttled", m_throttled }, { "lost_answers", m_lost } };
    }

private:
    std::mutex m_mutex;
    bool m_isBroken { false };
    std::chrono::milliseconds m_delay { 0 };
    std::chrono::milliseconds m_hang { 0 };
    int m_loseWrites { 0 };
    RateLimit m_reads;
    RateLimit m_writes;
    std::int64_t m_throttled { 0 };
    std::int64_t m_lost { 0 };
};

} // namespace limpetpond::fakes
