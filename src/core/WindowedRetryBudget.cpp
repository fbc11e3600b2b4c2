#include "core/WindowedRetryBudget.h"

#include <algorithm>

namespace limpetpond {

namespace {

    /// Leaves a margin below the bound, because instances and targets count at slightly different times.
    constexpr double usedShare = 0.75;

    void dropBefore(std::deque<SteadyTime>& times, SteadyTime oldest)
    {
        while (!times.empty() && times.front() <= oldest)
            times.pop_front();
    }

} // namespace

void recordRequest(WindowedRetryBudget& budget, SteadyTime now)
{
    budget.requests.push_back(now);
    dropBefore(budget.requests, now - budget.options.window);
}

bool hasRetryLeft(WindowedRetryBudget& budget, int instances, SteadyTime now)
{
    dropBefore(budget.requests, now - budget.options.window);
    dropBefore(budget.retries, now - budget.options.window);
    double allowed = budget.options.ratio * static_cast<double>(budget.requests.size()) + budget.options.slack / std::max(instances, 1);
    return static_cast<double>(budget.retries.size()) + 1 <= usedShare * allowed;
}

bool spendRetry(WindowedRetryBudget& budget, int instances, SteadyTime now)
{
    if (!hasRetryLeft(budget, instances, now))
        return false;
    budget.retries.push_back(now);
    return true;
}

} // namespace limpetpond
