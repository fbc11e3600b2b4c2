#include "core/RolloutShare.h"

#include "core/Hash.h"
#include <algorithm>
#include <cmath>

namespace limpetpond {

namespace {

    /// Of the exposed share. The rest covers retries, by which more attempts than requests are sent, and instances that start again.
    constexpr double sampleStage = 0.4;
    constexpr double loadStage = 0.9;

    /// Of the exposed slack, given out at the order. The rest covers the random rounding and instances that start again.
    constexpr double slackStage = 0.4;

    /// The evidence leaves out the worst quarter of the sample targets, rounded up: two of five. It is rare that more of them fail or are
    /// slow for reasons of their own.
    constexpr std::size_t minSampleTargets = 5;

    /// Long enough for several answers of one target at its full load, short enough for each sample target to have its turn in `Load`.
    constexpr Duration loadTurn = std::chrono::milliseconds(500);

    constexpr std::size_t maxRoutes = 16;

    /// Most by which a rare route's part of the share exceeds its part of the requests.
    constexpr double maxRouteFactor = 4;

    double stageShare(RolloutPhase phase, const RolloutLimits& limits)
    {
        return limits.exposedShare * (phase == RolloutPhase::Sample ? sampleStage : loadStage);
    }

    /// Whether the route is within its own part of the share, which goes by the cube root of its requests: the answers needed to compare
    /// a route don't depend on how many it has. One request more is for the rounding.
    bool isRoutesTurn(RolloutPhase phase, const RolloutShare& share, const RolloutLimits& limits, std::uint32_t route)
    {
        auto found = share.routes.find(route);
        if (found == share.routes.end())
            return true;
        double roots = 0;
        for (const auto& [name, sends] : share.routes)
            roots += std::cbrt(static_cast<double>(sends.sent));
        auto sent = static_cast<double>(found->second.sent);
        double part = std::min(std::cbrt(sent) / roots, maxRouteFactor * sent / static_cast<double>(share.sent));
        double allowed = part * (stageShare(phase, limits) * static_cast<double>(share.sent + 1) + share.allowance);
        return static_cast<double>(found->second.sentToNew) <= allowed;
    }

    /// The number of new targets at which each gets about twice the load of an old target from the share in `Load`.
    double loadedTargets(const std::vector<SampleCandidate>& candidates, const RolloutLimits& limits)
    {
        auto old = std::count_if(candidates.begin(), candidates.end(), [](const SampleCandidate& candidate) { return !candidate.isNew; });
        return sampleStage * limits.exposedShare * static_cast<double>(old);
    }

} // namespace

RolloutShare initialShare(std::uint64_t hash, int members, const RolloutLimits& limits)
{
    double random = static_cast<double>(mixBits(hash) >> 11) / static_cast<double>(std::uint64_t(1) << 53);
    double slack = members > 0 ? slackStage * limits.exposedSlack / members : 0;
    return { .allowance = random + slack };
}

RolloutChoice chooseVersions(const RolloutPosition& position, const RolloutShare& share, const RolloutLimits& limits, std::optional<std::uint32_t> route)
{
    if (position.isStopped)
        return RolloutChoice::OnlyOld;
    switch (position.phase) {
    case RolloutPhase::NotStarted:
    case RolloutPhase::RolledBack:
        return RolloutChoice::OnlyOld;
    case RolloutPhase::Switch:
    case RolloutPhase::Succeeded:
        return RolloutChoice::OnlyNew;
    case RolloutPhase::Sample:
    case RolloutPhase::Load:
        break;
    }
    double allowed = stageShare(position.phase, limits) * static_cast<double>(share.sent + 1) + share.allowance;
    if (static_cast<double>(share.sentToNew + 1) > allowed)
        return RolloutChoice::OnlyOld;
    return !route || isRoutesTurn(position.phase, share, limits, *route) ? RolloutChoice::NewFirst : RolloutChoice::OnlyOld;
}

void recordSend(RolloutShare& share, bool isToNew, std::optional<std::uint32_t> route)
{
    ++share.sent;
    share.sentToNew += isToNew;
    if (!route || (share.routes.size() >= maxRoutes && !share.routes.contains(*route)))
        return;
    RolloutShare::Route& sends = share.routes[*route];
    ++sends.sent;
    sends.sentToNew += isToNew;
}

std::vector<std::size_t> sampleTargets(const std::vector<SampleCandidate>& candidates, const RolloutLimits& limits)
{
    std::vector<std::size_t> samples;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        if (candidates[position].isNew)
            samples.push_back(position);
    }
    auto rank = [&](std::size_t position) { return std::pair(mixBits(candidates[position].hash), position); };
    std::sort(samples.begin(), samples.end(), [&](std::size_t a, std::size_t b) { return rank(a) < rank(b); });
    auto wanted = std::max(minSampleTargets, static_cast<std::size_t>(std::ceil(loadedTargets(candidates, limits))));
    samples.resize(std::min(samples.size(), wanted));
    return samples;
}

std::vector<std::size_t> loadTargets(const std::vector<SampleCandidate>& candidates, const RolloutLimits& limits, Duration sinceOrder)
{
    std::vector<std::size_t> samples = sampleTargets(candidates, limits);
    auto wanted = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(loadedTargets(candidates, limits))));
    if (wanted >= samples.size())
        return samples;
    auto turn = static_cast<std::size_t>(std::max(sinceOrder, Duration::zero()) / loadTurn);
    std::rotate(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(turn * wanted % samples.size()), samples.end());
    samples.resize(wanted);
    return samples;
}

} // namespace limpetpond
