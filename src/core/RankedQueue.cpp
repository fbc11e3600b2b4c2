#include "core/RankedQueue.h"

#include <algorithm>
#include <limits>

namespace limpetpond {

namespace {

    /// Leaves a margin: the rate is of the recent past, and an admitted request must be sent in time even when the rate
    /// falls a little.
    constexpr double usableShareOfTimeToExpiry = 0.5;
    /// The next few answers free enough slots for a queue this short, whatever the rate is.
    constexpr std::size_t alwaysAdmittedAhead = 4;
    constexpr double minSentPerSecond = 2;
    constexpr Duration minRetryAfter = std::chrono::milliseconds(250);
    constexpr Duration maxRetryAfter = std::chrono::seconds(5);
    constexpr Duration maxRetryAfterPause = std::chrono::seconds(60); ///< A caller that has waited for longer may as well ask again.
    /// A caller's time to return is lengthened by up to this share.
    constexpr double retryAfterJitter = 0.5;
    constexpr Duration rateInterval = std::chrono::milliseconds(250);
    constexpr double rateWeight = 0.4;

    /// Share of a late request's time from arrival to expiry, at its end, in which it goes before all less urgent ranks.
    constexpr double promotedShare = 1.0 / 6;

    SteadyTime promotedAt(const RankedRequest& request)
    {
        return request.expiresAt - fromSeconds(promotedShare * toSeconds(request.expiresAt - request.arrivedAt));
    }

    /// Moves requests that can no longer meet their objective from `inTime` to `late`.
    void separateLate(RankedQueue& queue, RankedQueue::Level& rank, SteadyTime now)
    {
        while (!rank.inTime.empty() && rank.inTime.begin()->first < now) {
            WaitTicket ticket = rank.inTime.begin()->second;
            rank.inTime.erase(rank.inTime.begin());
            rank.late.emplace(promotedAt(queue.requests.at(ticket)), ticket);
        }
    }

} // namespace

void enqueue(RankedQueue& queue, const RankedRequest& request)
{
    queue.requests.emplace(request.ticket, request);
    queue.ranks[request.rank].inTime.emplace(request.objectiveAt, request.ticket);
}

void removeWaiting(RankedQueue& queue, WaitTicket ticket)
{
    auto found = queue.requests.find(ticket);
    if (found == queue.requests.end())
        return;
    const RankedRequest& request = found->second;
    RankedQueue::Level& rank = queue.ranks.at(request.rank);
    rank.inTime.erase({ request.objectiveAt, ticket });
    rank.late.erase({ promotedAt(request), ticket });
    queue.requests.erase(found);
}

std::vector<WaitTicket> firstWaiting(RankedQueue& queue, std::size_t maxCount, SteadyTime now)
{
    std::vector<WaitTicket> first;
    auto take = [&](auto begin, auto end) {
        for (auto waiting = begin; waiting != end && first.size() < maxCount; ++waiting)
            first.push_back(waiting->second);
    };
    const std::pair lastPromoted { now, std::numeric_limits<WaitTicket>::max() };
    for (auto& [level, rank] : queue.ranks) {
        separateLate(queue, rank, now);
        take(rank.inTime.begin(), rank.inTime.end());
        take(rank.late.begin(), rank.late.upper_bound(lastPromoted));
    }
    for (const auto& [level, rank] : queue.ranks)
        take(rank.late.upper_bound(lastPromoted), rank.late.end());
    return first;
}

std::optional<WaitTicket> nextWaiting(RankedQueue& queue, SteadyTime now)
{
    std::vector<WaitTicket> first = firstWaiting(queue, 1, now);
    return first.empty() ? std::nullopt : std::optional(first.front());
}

std::vector<WaitTicket> expiredRequests(const RankedQueue& queue, SteadyTime now)
{
    std::vector<WaitTicket> expired;
    for (const auto& [ticket, request] : queue.requests) {
        if (request.expiresAt <= now)
            expired.push_back(ticket);
    }
    std::sort(expired.begin(), expired.end());
    return expired;
}

std::size_t countAhead(const RankedQueue& queue, int rank)
{
    std::size_t count = 0;
    for (const auto& [level, waiting] : queue.ranks) {
        if (level <= rank)
            count += waiting.inTime.size() + waiting.late.size();
    }
    return count;
}

void beginCounting(SendRate& rate, SteadyTime now)
{
    rate.counted = 0;
    rate.countedFrom = now;
}

void recordSent(SendRate& rate, SteadyTime now)
{
    ++rate.counted;
    Duration elapsed = now - rate.countedFrom;
    if (elapsed < rateInterval)
        return;
    double measured = rate.counted / toSeconds(elapsed);
    rate.perSecond = rate.perSecond > 0 ? rate.perSecond + rateWeight * (measured - rate.perSecond) : measured;
    rate.counted = 0;
    rate.countedFrom = now;
}

AdmissionDecision decideAdmission(const AdmissionInput& admission)
{
    bool isPaused = admission.pauseLeft > Duration::zero();
    if (admission.sentPerSecond <= 0 && !isPaused)
        return {};
    double wait = toSeconds(admission.pauseLeft);
    if (admission.sentPerSecond > 0)
        wait += static_cast<double>(admission.ahead) / std::max(admission.sentPerSecond, minSentPerSecond);
    bool isNearFront = admission.ahead < alwaysAdmittedAhead && !isPaused;
    if (isNearFront || wait <= usableShareOfTimeToExpiry * toSeconds(admission.timeToExpiry))
        return {};
    Duration retryAfter = std::clamp(fromSeconds(wait), minRetryAfter, isPaused ? maxRetryAfterPause : maxRetryAfter);
    return { .mayWait = false, .retryAfter = retryAfter };
}

Duration timeToReturn(const RetryAfterInput& input)
{
    double wait = toSeconds(input.pauseLeft);
    if (input.sentPerSecond > 0)
        wait += static_cast<double>(input.ahead) / input.sentPerSecond;
    Duration longest = input.pauseLeft > Duration::zero() ? maxRetryAfterPause : maxRetryAfter;
    return std::clamp(fromSeconds(wait * (1 + retryAfterJitter * input.random)), minRetryAfter, longest);
}

} // namespace limpetpond
