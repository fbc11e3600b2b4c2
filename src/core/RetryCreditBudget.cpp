#include "core/RetryCreditBudget.h"

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>

namespace limpetpond {

namespace {

    constexpr double mostCredit = 10; // second dispatches
    constexpr double completionGain = 0.05;
    constexpr double slowestCompletions = 0.2; // a second
    constexpr double fastestCompletions = 10'000;
    constexpr Duration longestReturn = std::chrono::seconds(60);

    Duration serviceTime(const ReturnSchedule& schedule)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / schedule.completionsPerSecond));
    }

    // A time between half and the whole of the longest wait.
    Duration randomLateReturn(ReturnSchedule& schedule)
    {
        pcg32 generator(schedule.random);
        auto halfMillis = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(longestReturn).count() / 2);
        Duration extra = std::chrono::milliseconds(generator(halfMillis));
        schedule.random = (std::uint64_t { generator() } << 32) | generator();
        return longestReturn / 2 + extra;
    }

} // namespace

void earnRetryCredit(RetryCreditBudget& budget)
{
    budget.credit = std::min(mostCredit, budget.credit + budget.share);
}

bool spendRetryCredit(RetryCreditBudget& budget)
{
    if (budget.credit < 1)
        return false;
    budget.credit -= 1;
    return true;
}

void noteCompletion(ReturnSchedule& schedule, SteadyTime now)
{
    if (schedule.lastCompletion != SteadyTime()) {
        double gap = std::chrono::duration<double>(now - schedule.lastCompletion).count();
        double meanGap = 1 / schedule.completionsPerSecond;
        meanGap += completionGain * (gap - meanGap);
        schedule.completionsPerSecond = std::clamp(1 / std::max(meanGap, 1e-9), slowestCompletions, fastestCompletions);
    }
    schedule.lastCompletion = now;
}

std::chrono::seconds nextReturn(ReturnSchedule& schedule, int waiting, SteadyTime now)
{
    Duration step = serviceTime(schedule);
    SteadyTime afterQueue = now + step * std::max(waiting, 1);
    schedule.lastReturn = std::max(schedule.lastReturn + step, afterQueue);
    Duration wait = schedule.lastReturn - now;
    if (wait > longestReturn) {
        schedule.lastReturn = now + longestReturn;
        wait = randomLateReturn(schedule);
    }
    return std::max(std::chrono::ceil<std::chrono::seconds>(wait), std::chrono::seconds(1));
}

} // namespace limpetpond
