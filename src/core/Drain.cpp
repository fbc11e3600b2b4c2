#include "core/Drain.h"

#include "core/Guard.h"
#include <algorithm>

namespace limpetpond {

namespace detail {

    namespace {

        constexpr std::chrono::minutes forgetInstanceAfter { 10 };

        const TargetUpdate* updateOf(const InstanceWork& work, const TargetId& target)
        {
            auto update = work.targets.find(target);
            return update == work.targets.end() ? nullptr : &update->second;
        }

        /// Whether the instance has the mark in force and nothing in progress. This stays true, because an instance with
        /// the mark dispatches nothing more to the target.
        bool hasConfirmed(const InstanceWork& work, const TargetId& target, SettingsVersion mark)
        {
            const TargetUpdate* update = updateOf(work, target);
            return update && update->leavingMarkVersion >= mark && !update->requestsInProgress;
        }

        bool holdsMark(const InstanceWork& work, const TargetId& target, SettingsVersion mark)
        {
            const TargetUpdate* update = updateOf(work, target);
            return update && update->leavingMarkVersion >= mark;
        }

        bool majorityHoldsMark(const DrainTracker& tracker, const TargetId& target, SettingsVersion mark)
        {
            int listed = 0;
            int holding = 0;
            for (const auto& [instance, work] : tracker.instances) {
                listed += work.listed ? 1 : 0;
                holding += work.listed && holdsMark(work, target, mark) ? 1 : 0;
            }
            return listed && holding >= listed / 2 + 1;
        }

        std::optional<SteadyTime> markHeldSince(const DrainTracker& tracker, const TargetSettings& target)
        {
            auto since = tracker.majorityMarks.find(target.id);
            if (since == tracker.majorityMarks.end() || since->second.mark != target.markVersion)
                return std::nullopt;
            return since->second.since;
        }

        Duration callTimeoutOf(const Settings& settings, const TargetSettings& target)
        {
            auto pool = settings.pools.find(target.pool);
            return pool == settings.pools.end() ? PoolSettings().callTimeout : pool->second.callTimeout;
        }

        /// Until when an unreachable instance may have requests at the target; none when it certainly has none.
        std::optional<SteadyTime> unreachableWorkUntil(const DrainTracker& tracker, const Settings& settings, const TargetSettings& target, const InstanceWork& work, SteadyTime heldSince, SteadyTime now)
        {
            SteadyTime dispatchesUntil = std::max(work.lastSeenAt, heldSince) + std::max<Duration>(tracker.maxViewAgeLimit, settings.site.viewAgeLimit);
            auto report = tracker.reports.find(target.id);
            bool isReported = report != tracker.reports.end() && report->second.measuredAt > dispatchesUntil;
            if (isReported && report->second.idle)
                return std::nullopt;
            SteadyTime worksUntil = dispatchesUntil + callTimeoutOf(settings, target);
            if (isReported)
                return std::max(worksUntil, now);
            if (now > worksUntil)
                return std::nullopt;
            return worksUntil;
        }

        void addWork(DrainStatus& status, const InstanceWork& work, const TargetId& target)
        {
            const TargetUpdate* update = updateOf(work, target);
            if (!update)
                return;
            status.requestsInProgress += update->requestsInProgress;
            status.tokensInProgress += update->tokensInProgress;
        }

        void replaceUpdates(InstanceWork& work, const std::vector<TargetUpdate>& targets)
        {
            work.targets.clear();
            for (const TargetUpdate& update : targets)
                work.targets.emplace(update.target, update);
        }

    } // namespace

} // namespace detail

std::string_view toString(DrainState state)
{
    switch (state) {
    case DrainState::Serving:
        return "serving";
    case DrainState::Leaving:
        return "leaving";
    case DrainState::Empty:
        return "empty";
    }
    return "serving";
}

DrainTracker makeDrainTracker(InstanceId self, SteadyTime now)
{
    DrainTracker tracker { .self = std::move(self) };
    tracker.endedIncarnations.push_back({ .state = MemberState::Departed, .lastSeenAt = now });
    return tracker;
}

void recordWork(DrainTracker& tracker, const Heartbeat& heartbeat, SteadyTime now)
{
    if (heartbeat.instance == tracker.self)
        return;
    auto [entry, isNew] = tracker.instances.try_emplace(heartbeat.instance);
    InstanceWork& work = entry->second;
    bool isOlder = heartbeat.incarnation < work.incarnation || (heartbeat.incarnation == work.incarnation && heartbeat.sequence < work.sequence);
    if (!isNew && isOlder)
        return;
    if (!work.incarnation.isNone() && heartbeat.incarnation > work.incarnation)
        tracker.endedIncarnations.push_back(work);
    work.incarnation = heartbeat.incarnation;
    work.sequence = heartbeat.sequence;
    work.state = MemberState::Live;
    work.lastSeenAt = now;
    detail::replaceUpdates(work, heartbeat.targets);
}

void recordOwnWork(DrainTracker& tracker, Incarnation incarnation, const std::vector<TargetUpdate>& targets, SteadyTime now)
{
    InstanceWork& work = tracker.instances[tracker.self];
    work.incarnation = incarnation;
    work.state = MemberState::Live;
    work.lastSeenAt = now;
    detail::replaceUpdates(work, targets);
}

void recordMemberState(DrainTracker& tracker, const InstanceId& instance, MemberState state)
{
    auto entry = tracker.instances.find(instance);
    if (entry != tracker.instances.end() && instance != tracker.self)
        entry->second.state = state;
}

void handleInstanceListRead(DrainTracker& tracker, const InstanceListRead& read, SteadyTime now)
{
    for (auto& [instance, work] : tracker.instances)
        work.listed = false;
    for (const ListedInstance& listed : read.instances) {
        auto [entry, isNew] = tracker.instances.try_emplace(listed.instance);
        entry->second.listed = true;
        if (isNew)
            entry->second.lastSeenAt = now;
    }
}

void recordTargetReport(DrainTracker& tracker, const TargetReported& report)
{
    if (report.failed)
        return;
    TargetIdleReport& own = tracker.reports[report.target];
    if (report.measuredAt < own.measuredAt)
        return;
    own = { .measuredAt = report.measuredAt, .idle = !report.runningRequests && !report.waitingRequests };
}

void updateDrains(DrainTracker& tracker, const Settings& settings, SteadyTime now)
{
    tracker.maxViewAgeLimit = std::max<Duration>(tracker.maxViewAgeLimit, settings.site.viewAgeLimit);
    std::erase_if(tracker.reports, [&](const auto& report) { return !settings.targets.contains(report.first); });
    std::erase_if(tracker.majorityMarks, [&](const auto& held) {
        auto target = settings.targets.find(held.first);
        return target == settings.targets.end() || target->second.mark == TargetMark::Serving;
    });
    for (const auto& [id, target] : settings.targets) {
        if (target.mark == TargetMark::Serving || detail::markHeldSince(tracker, target))
            continue;
        if (detail::majorityHoldsMark(tracker, id, target.markVersion))
            tracker.majorityMarks[id] = { target.markVersion, now };
    }
    std::erase_if(tracker.instances, [&](const auto& entry) {
        const InstanceWork& work = entry.second;
        return !work.listed && work.state == MemberState::Departed && now - work.lastSeenAt > detail::forgetInstanceAfter;
    });
    Duration longestCall {};
    for (const auto& [id, pool] : settings.pools)
        longestCall = std::max<Duration>(longestCall, pool.callTimeout);
    std::erase_if(tracker.endedIncarnations, [&](const InstanceWork& work) { return now - work.lastSeenAt > longestCall + detail::forgetInstanceAfter; });
}

DrainStatus drainStatus(const DrainTracker& tracker, const Settings& settings, const TargetId& id, SteadyTime now)
{
    DrainStatus status;
    for (const auto& [instance, work] : tracker.instances)
        detail::addWork(status, work, id);
    auto found = settings.targets.find(id);
    if (found == settings.targets.end() || found->second.mark == TargetMark::Serving)
        return status;
    const TargetSettings& target = found->second;
    std::optional<SteadyTime> heldSince = detail::markHeldSince(tracker, target);
    status.state = DrainState::Leaving;
    for (const auto& [instance, work] : tracker.instances) {
        if (detail::hasConfirmed(work, id, target.markVersion))
            continue;
        if (work.state == MemberState::Live || !heldSince) {
            status.notConfirmed.push_back(instance);
            continue;
        }
        std::optional<SteadyTime> until = detail::unreachableWorkUntil(tracker, settings, target, work, *heldSince, now);
        if (until)
            status.unreachableWorkUntil = std::max(status.unreachableWorkUntil.value_or(*until), *until);
    }
    for (const InstanceWork& work : tracker.endedIncarnations) {
        if (!heldSince || detail::hasConfirmed(work, id, target.markVersion))
            continue;
        std::optional<SteadyTime> until = detail::unreachableWorkUntil(tracker, settings, target, work, *heldSince, now);
        if (until)
            status.unreachableWorkUntil = std::max(status.unreachableWorkUntil.value_or(*until), *until);
    }
    bool isProvenEmpty = heldSince && status.notConfirmed.empty() && !status.unreachableWorkUntil;
    if (!isProvenEmpty && !isGuardDisabled(GuardId::EmptyIsProved))
        return status;
    // Requests that departed instances last reported have ended too.
    status.state = DrainState::Empty;
    status.requestsInProgress = 0;
    status.tokensInProgress = {};
    return status;
}

} // namespace limpetpond
