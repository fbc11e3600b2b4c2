#include "core/CleaningSchedule.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace limpetpond {

namespace detail {

    namespace {

        constexpr std::chrono::seconds drainMargin { 10 };
        constexpr std::chrono::seconds checkPeriod { 1 };
        constexpr std::chrono::seconds proposalPeriod { 5 };
        constexpr std::chrono::seconds proposerDelay { 2 };
        constexpr std::size_t maxDelayedProposers { 10 };
        constexpr std::size_t maxRemembered { 16'384 };
        constexpr std::chrono::seconds lateMarkTolerance { 30 };

        std::string dateText(std::chrono::year_month_day date)
        {
            std::array<char, 32> text {};
            std::snprintf(text.data(), text.size(), "%04d-%02u-%02u", static_cast<int>(date.year()), static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
            return text.data();
        }

        std::chrono::year_month_day localDate(const TimeZone& zone, SystemTime time)
        {
            return std::chrono::floor<std::chrono::days>(time + offsetAt(zone, time));
        }

        ChangeId leaveChange(const CleaningSlot& slot)
        {
            return ChangeId("clean-" + slot.target.value() + "-" + dateText(slot.date));
        }

        ChangeId returnChange(const TargetSettings& target)
        {
            return ChangeId("cleaned-" + target.id.value() + "-" + std::to_string(target.markVersion.value()));
        }

        /// Divides one window into turns and appends the slots of its targets.
        void planWindow(const Settings& settings, const PoolSettings& pool, const std::vector<const TargetSettings*>& targets, SystemTime now, std::vector<CleaningSlot>& out)
        {
            namespace chrono = std::chrono;
            const CleaningWindow& window = *targets.front()->cleaningWindow;
            Result<TimeZone> zone = parseTimeZone(window.timeZone);
            if (!zone)
                return;
            TimeRange range = windowAt(window, *zone, now);
            chrono::seconds lead = drainLeadTime(settings, pool);
            chrono::seconds needed { 0 };
            for (const TargetSettings* target : targets)
                needed = std::max<chrono::seconds>(needed, target->cleaningTime);
            std::size_t limit = leavingLimit(pool);
            auto turns = static_cast<std::int64_t>((targets.size() + limit - 1) / limit);
            chrono::seconds length = window.length;
            chrono::seconds share = (length - (turns - 1) * lead) / turns;
            chrono::seconds cleaning = std::max(share, needed);
            for (std::size_t i = 0; i < targets.size(); ++i) {
                auto turn = static_cast<std::int64_t>(i / limit);
                SystemTime cleanFrom = range.begin + turn * (cleaning + lead);
                SystemTime returnAt = cleanFrom + cleaning;
                out.push_back({ .target = targets[i]->id, .drainFrom = cleanFrom - lead, .cleanFrom = cleanFrom, .returnAt = returnAt, .date = localDate(*zone, range.begin), .fits = returnAt <= range.end });
            }
        }

        /// Bounds the remembered steps and alarms. A dropped step is proposed once more, and the store reports it as
        /// accepted already.
        void dropOldSteps(CleaningState& state)
        {
            if (state.settled.size() > maxRemembered)
                state.settled.clear();
            if (state.alarmed.size() > maxRemembered)
                state.alarmed.clear();
        }

        void raiseOnce(CleaningState& state, const std::string& subject, ControlActions& out)
        {
            if (state.alarmed.insert(subject).second)
                out.push_back(RaiseAlarm { .kind = AlarmKind::CleaningWindowMissed, .subject = subject });
        }

        /// Proposes a step periodically until it is settled. Instances of a later rank wait longer.
        void propose(CleaningState& state, const CleaningInput& input, const MarkTarget& step, SystemTime due, ControlActions& out)
        {
            if (state.settled.contains(step.change))
                return;
            if (input.systemNow < due + proposerDelay * std::min(input.proposerRank, maxDelayedProposers))
                return;
            auto proposed = state.proposedAt.find(step.change);
            if (proposed != state.proposedAt.end() && input.steadyNow - proposed->second < proposalPeriod)
                return;
            state.proposedAt[step.change] = input.steadyNow;
            out.push_back(step);
        }

        std::size_t countLeaving(const Settings& settings, const PoolSettings& pool)
        {
            return std::ranges::count_if(pool.targets, [&](const TargetId& id) { return settings.targets.at(id).mark == TargetMark::Leaving; });
        }

        bool isInSlot(const CleaningSlot& slot, SystemTime now) { return slot.fits && now >= slot.drainFrom && now < slot.returnAt; }

        /// Proposes the mark of a target whose slot has begun, and raises an alarm when the mark is late.
        void startSlot(CleaningState& state, const CleaningInput& input, const TargetSettings& target, const CleaningSlot& slot, bool mayLeave, ControlActions& out)
        {
            MarkTarget step { .change = leaveChange(slot), .target = target.id, .cleaning = true, .branchVersion = target.branchVersion };
            if (state.settled.contains(step.change))
                return;
            if (mayLeave)
                propose(state, input, step, slot.drainFrom, out);
            if (input.systemNow >= slot.drainFrom + lateMarkTolerance)
                raiseOnce(state, "target/" + target.id.value() + " " + dateText(slot.date) + ": not marked in time", out);
        }

        void advanceTarget(CleaningState& state, const CleaningInput& input, const TargetSettings& target, const CleaningSlot* slot, bool mayLeave, ControlActions& out)
        {
            bool isInCurrentSlot = slot && isInSlot(*slot, input.systemNow);
            if (target.mark == TargetMark::Serving) {
                if (isInCurrentSlot)
                    startSlot(state, input, target, *slot, mayLeave, out);
                return;
            }
            if (!target.markedForCleaning)
                return;
            if (!isInCurrentSlot) {
                MarkTarget step { .change = returnChange(target), .target = target.id, .cleaning = false, .branchVersion = target.branchVersion };
                propose(state, input, step, input.systemNow - proposerDelay * maxDelayedProposers, out);
                return;
            }
            if (input.systemNow >= slot->cleanFrom && !input.emptyTargets.contains(target.id))
                raiseOnce(state, "target/" + target.id.value() + " " + dateText(slot->date) + ": not empty at the begin of its cleaning", out);
        }

        void advancePool(CleaningState& state, const Settings& settings, const PoolSettings& pool, const CleaningInput& input, ControlActions& out)
        {
            std::map<TargetId, CleaningSlot> slots;
            for (CleaningSlot& slot : planSlots(settings, pool.id, input.systemNow))
                slots.emplace(slot.target, slot);
            std::size_t leaving = countLeaving(settings, pool);
            std::size_t limit = leavingLimit(pool);
            for (const TargetId& id : pool.targets) {
                const TargetSettings& target = settings.targets.at(id);
                auto slot = slots.find(id);
                const CleaningSlot* own = slot == slots.end() ? nullptr : &slot->second;
                if (own && !own->fits)
                    raiseOnce(state, "target/" + id.value() + " " + dateText(own->date) + ": the window is too short for the pool", out);
                std::size_t before = out.size();
                advanceTarget(state, input, target, own, leaving < limit, out);
                bool proposedMark = out.size() > before && std::holds_alternative<MarkTarget>(out.back()) && std::get<MarkTarget>(out.back()).cleaning;
                leaving += proposedMark ? 1 : 0;
            }
        }

    } // namespace

} // namespace detail

TimeRange windowAt(const CleaningWindow& window, const TimeZone& zone, SystemTime now)
{
    namespace chrono = std::chrono;
    chrono::local_days today { chrono::local_days(detail::localDate(zone, now)) };
    for (chrono::local_days date = today - chrono::days(8);; date += chrono::days(1)) {
        if (chrono::weekday(date) != window.day)
            continue;
        SystemTime begin = instantOf(zone, date + window.startOfDay);
        if (begin + window.length > now)
            return { .begin = begin, .end = begin + window.length };
    }
}

std::chrono::seconds drainLeadTime(const Settings& settings, const PoolSettings& pool)
{
    auto lead = pool.callTimeout + settings.site.viewAgeLimit + settings.site.suspectAfter;
    return std::chrono::ceil<std::chrono::seconds>(lead) + detail::drainMargin;
}

std::size_t leavingLimit(const PoolSettings& pool)
{
    auto share = static_cast<std::size_t>(std::floor(pool.maxLeavingShare * static_cast<double>(pool.targets.size())));
    return std::max<std::size_t>(share, 1);
}

std::vector<CleaningSlot> planSlots(const Settings& settings, const PoolId& id, SystemTime now)
{
    const PoolSettings& pool = settings.pools.at(id);
    std::map<std::string, std::vector<const TargetSettings*>> byWindow;
    for (const TargetId& targetId : pool.targets) {
        const TargetSettings& target = settings.targets.at(targetId);
        if (target.cleaningWindow)
            byWindow[target.cleaningWindow->name].push_back(&target);
    }
    std::vector<CleaningSlot> slots;
    for (const auto& [name, targets] : byWindow)
        detail::planWindow(settings, pool, targets, now, slots);
    return slots;
}

ControlActions advanceCleaning(CleaningState& state, const Settings& settings, const CleaningInput& input)
{
    ControlActions out;
    if (state.checkedAt && input.steadyNow - *state.checkedAt < detail::checkPeriod)
        return out;
    state.checkedAt = input.steadyNow;
    detail::dropOldSteps(state);
    for (const auto& [id, pool] : settings.pools)
        detail::advancePool(state, settings, pool, input, out);
    return out;
}

void handleMarkAnswered(CleaningState& state, const MarkAnswered& answer)
{
    if (!answer.settled)
        return;
    state.settled.insert(answer.change);
    state.proposedAt.erase(answer.change);
}

} // namespace limpetpond
