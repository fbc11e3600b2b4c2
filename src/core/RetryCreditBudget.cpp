#include "core/RetryCreditBudget.h"

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>

namespace limpetpond {

namespace {

    constexpr double maxCredit = 10; // retries
    constexpr double completionGain = 0.05; // of the moving average of the time between completions
    constexpr double minCompletionsPerSecond = 0.2;
    constexpr double maxCompletionsPerSecond = 10'000;
    constexpr Duration maxRetryAfter = std::chrono::seconds(60);

    Duration serviceTime(const RetryAfterSchedule& schedule)
    {
        return fromSeconds(1 / schedule.completionsPerSecond);
    }

    // A random time between half the maximum and the maximum, once the assigned times exceed the maximum.
    Duration randomLateRetryAfter(RetryAfterSchedule& schedule)
    {
        pcg32 generator(schedule.random);
        auto halfMillis = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(maxRetryAfter).count() / 2);
        Duration extra = std::chrono::milliseconds(generator(halfMillis));
        schedule.random = (std::uint64_t { generator() } << 32) | generator();
        return maxRetryAfter / 2 + extra;
    }

} // namespace

void earnRetryCredit(RetryCreditBudget& budget)
{
    budget.credit = std::min(maxCredit, budget.credit + budget.share);
}

bool spendRetryCredit(RetryCreditBudget& budget)
{
    if (budget.credit < 1)
        return false;
    budget.credit -= 1;
    return true;
}

void recordCompletion(RetryAfterSchedule& schedule, SteadyTime now)
{
    if (schedule.lastCompletion != SteadyTime()) {
        double gap = toSeconds(now - schedule.lastCompletion);
        double meanGap = 1 / schedule.completionsPerSecond;
        meanGap += completionGain * (gap - meanGap);
        schedule.completionsPerSecond = std::clamp(1 / std::max(meanGap, 1e-9), minCompletionsPerSecond, maxCompletionsPerSecond);
    }
    schedule.lastCompletion = now;
}

std::chrono::seconds nextRetryAfter(RetryAfterSchedule& schedule, int waiting, SteadyTime now)
{
    Duration step = serviceTime(schedule);
    SteadyTime afterQueue = now + step * std::max(waiting, 1);
    schedule.lastRetryAt = std::max(schedule.lastRetryAt + step, afterQueue);
    Duration wait = schedule.lastRetryAt - now;
    if (wait > maxRetryAfter) {
        schedule.lastRetryAt = now + maxRetryAfter;
        wait = randomLateRetryAfter(schedule);
    }
    return std::max(std::chrono::ceil<std::chrono::seconds>(wait), std::chrono::seconds(1));
}

} // namespace limpetpond
