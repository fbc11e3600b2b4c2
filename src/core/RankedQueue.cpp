#include "core/RankedQueue.h"

#include <algorithm>
#include <limits>

namespace limpetpond {

namespace {

    /// The learned rate is of the recent past: a request admitted on it must still be sent in time when it falls a little.
    constexpr double trustedPatience = 0.5;
    /// Lines this short are drained by the next few answers, whatever the learned rate says.
    constexpr std::size_t alwaysAdmitted = 4;
    constexpr double leastSentPerSecond = 2;
    constexpr Duration leastRetryAfter = std::chrono::milliseconds(250);
    constexpr Duration longestRetryAfter = std::chrono::seconds(5);
    constexpr Duration rateInterval = std::chrono::milliseconds(250);
    constexpr double rateWeight = 0.4;

    /// The last part of a late request's patience, in which it goes before all lower ranks.
    constexpr double lastCallShare = 1.0 / 6;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Duration fromSeconds(double value) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value)); }

    SteadyTime lastCallAt(const RankedRequest& request)
    {
        return request.expiresAt - fromSeconds(lastCallShare * seconds(request.expiresAt - request.arrivedAt));
    }

    /// Moves requests that can't meet their objective any more behind those that can.
    void separateLate(RankedQueue& line, RankedQueue::Level& rank, SteadyTime now)
    {
        while (!rank.inTime.empty() && rank.inTime.begin()->first < now) {
            WaitTicket ticket = rank.inTime.begin()->second;
            rank.inTime.erase(rank.inTime.begin());
            rank.late.emplace(lastCallAt(line.requests.at(ticket)), ticket);
        }
    }

} // namespace

void enqueue(RankedQueue& line, const RankedRequest& request)
{
    line.requests.emplace(request.ticket, request);
    line.ranks[request.rank].inTime.emplace(request.objectiveAt, request.ticket);
}

void removeWaiting(RankedQueue& line, WaitTicket ticket)
{
    auto found = line.requests.find(ticket);
    if (found == line.requests.end())
        return;
    const RankedRequest& request = found->second;
    RankedQueue::Level& rank = line.ranks.at(request.rank);
    rank.inTime.erase({ request.objectiveAt, ticket });
    rank.late.erase({ lastCallAt(request), ticket });
    line.requests.erase(found);
}

std::vector<WaitTicket> firstWaiting(RankedQueue& line, std::size_t most, SteadyTime now)
{
    std::vector<WaitTicket> first;
    auto take = [&](auto begin, auto end) {
        for (auto waiting = begin; waiting != end && first.size() < most; ++waiting)
            first.push_back(waiting->second);
    };
    const std::pair lastDue { now, std::numeric_limits<WaitTicket>::max() };
    for (auto& [level, rank] : line.ranks) {
        separateLate(line, rank, now);
        take(rank.inTime.begin(), rank.inTime.end());
        take(rank.late.begin(), rank.late.upper_bound(lastDue));
    }
    for (const auto& [level, rank] : line.ranks)
        take(rank.late.upper_bound(lastDue), rank.late.end());
    return first;
}

std::optional<WaitTicket> nextWaiting(RankedQueue& line, SteadyTime now)
{
    std::vector<WaitTicket> first = firstWaiting(line, 1, now);
    return first.empty() ? std::nullopt : std::optional(first.front());
}

std::vector<WaitTicket> expiredRequests(const RankedQueue& line, SteadyTime now)
{
    std::vector<WaitTicket> past;
    for (const auto& [ticket, request] : line.requests) {
        if (request.expiresAt <= now)
            past.push_back(ticket);
    }
    std::sort(past.begin(), past.end());
    return past;
}

std::size_t countAhead(const RankedQueue& line, int rank)
{
    std::size_t count = 0;
    for (const auto& [level, waiting] : line.ranks) {
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
    double measured = rate.counted / seconds(elapsed);
    rate.perSecond = rate.perSecond > 0 ? rate.perSecond + rateWeight * (measured - rate.perSecond) : measured;
    rate.counted = 0;
    rate.countedFrom = now;
}

AdmissionDecision decideAdmission(const AdmissionInput& admission)
{
    if (admission.sentPerSecond <= 0)
        return {};
    double wait = static_cast<double>(admission.ahead) / std::max(admission.sentPerSecond, leastSentPerSecond);
    if (admission.ahead < alwaysAdmitted || wait <= trustedPatience * seconds(admission.timeToExpiry))
        return {};
    Duration retryAfter = std::clamp(fromSeconds(wait), leastRetryAfter, longestRetryAfter);
    return { .mayWait = false, .retryAfter = retryAfter };
}

} // namespace limpetpond
