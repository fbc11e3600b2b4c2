#include "core/TargetNotices.h"

#include <algorithm>

namespace limpetpond {

namespace {

    /// More targets than leave a large fleet in the time for which an outdated entry may come back.
    constexpr std::size_t maxKeptNotices = 1024;
    /// A longer time is rather a mistake than a plan. The target is lost to this instance until then.
    constexpr Duration maxPause = std::chrono::hours(1);
    /// An instance that returns late may have requests for which it has no other target.
    constexpr Duration maxReturnSpread = std::chrono::milliseconds(250);

    bool isBinding(const TargetNotice& notice, SteadyTime now) { return notice.isLeaving || now < notice.pausedUntil; }

    void dropOldest(KeptNotices& notices)
    {
        auto oldest = std::min_element(notices.byTarget.begin(), notices.byTarget.end(),
            [](const auto& a, const auto& b) { return a.second.keptAt < b.second.keptAt; });
        notices.byTarget.erase(oldest);
    }

} // namespace

bool keepNotice(KeptNotices& notices, const TargetId& target, std::int64_t startedAt, const TargetNotice& notice, SteadyTime now)
{
    if (!isBinding(notice, now))
        return false;
    auto [found, isNew] = notices.byTarget.try_emplace(target, KeptNotices::Kept { .startedAt = startedAt, .notice = notice, .keptAt = now });
    if (isNew) {
        if (notices.byTarget.size() > maxKeptNotices)
            dropOldest(notices);
        return true;
    }
    KeptNotices::Kept& known = found->second;
    if (startedAt < known.startedAt)
        return false;
    TargetNotice all = notice;
    if (startedAt == known.startedAt) {
        all.isLeaving = all.isLeaving || known.notice.isLeaving;
        all.pausedUntil = std::max(all.pausedUntil, known.notice.pausedUntil);
    }
    bool saysMore = startedAt > known.startedAt || all.isLeaving != known.notice.isLeaving || all.pausedUntil != known.notice.pausedUntil;
    known = { .startedAt = startedAt, .notice = all, .keptAt = now };
    return saysMore;
}

TargetNotice noticeOf(const KeptNotices& notices, const TargetId& target, std::int64_t startedAt)
{
    auto found = notices.byTarget.find(target);
    if (found == notices.byTarget.end() || startedAt > found->second.startedAt)
        return {};
    return startedAt == found->second.startedAt ? found->second.notice : TargetNotice { .isLeaving = true };
}

Duration pauseTime(double seconds) { return fromSeconds(std::min(seconds, toSeconds(maxPause))); }

Duration returnDelay(const PauseEnd& pause)
{
    int instances = std::max(pause.instances, 1);
    double spread = toSeconds(maxReturnSpread);
    if (pause.serviceTime > Duration::zero())
        spread = std::min(spread, instances * toSeconds(pause.serviceTime) / std::max(pause.slots, 1));
    return fromSeconds(spread * pause.turn / instances);
}

} // namespace limpetpond
