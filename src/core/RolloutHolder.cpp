#include "core/RolloutHolder.h"

#include <algorithm>

namespace limpetpond {

namespace {

    // Of the order's time. A version that turns bad halfway is seen in `Load`. Requests at old targets can end before the deadline, and
    // so can the lease of an instance that is lost as `Switch` begins, if the order has 12 seconds or more.
    constexpr double sampleEnd = 0.35;
    constexpr double loadEnd = 0.65;
    constexpr double decisionEnd = 0.85;

    /// Between the turns of two instances, so that the first one's write is usually known before the second one's turn.
    constexpr Duration turnTime = std::chrono::milliseconds(300);

    /// An instance without updates for this time has usually ended or is frozen or cut off.
    constexpr Duration holderSilence = std::chrono::milliseconds(1500);

    /// The lease of a silent instance begins when it last heard of the holder, which may be later than its own last update by an interval
    /// between updates and their delay.
    constexpr Duration leaseMargin = std::chrono::milliseconds(500);

    SteadyTime atPart(const Rollout& rollout, double part) { return rollout.orderedAt + fromSeconds(part * toSeconds(rollout.order.time)); }

    bool mayTakeOver(const RolloutHolderInput& input, SteadyTime now)
    {
        const Rollout& rollout = *input.rollout;
        if (!rollout.position.generation)
            return now - rollout.orderedAt > input.turn * turnTime;
        return now - std::max(rollout.heardAt, rollout.generationAt) > holderSilence + input.turn * turnTime;
    }

    /// Without a majority for this time, a holder ends the rollout before the leases of those that it still hears are over.
    constexpr Duration minorityTime = std::chrono::seconds(2);

    int heardInstances(const RolloutHolderInput& input, SteadyTime now)
    {
        return 1 + static_cast<int>(std::count_if(input.members.begin(), input.members.end(), [&](const RolloutMember& member) { return now - member.heardAt <= rolloutLease; }));
    }

    /// Whether no request is in progress at old targets, nor can begin there: each member has acknowledged the phase, or is silent for
    /// so long that its lease is over.
    bool areOldTargetsLeft(const RolloutHolderInput& input, SteadyTime now)
    {
        if (input.ownOldInProgress > 0)
            return false;
        return std::all_of(input.members.begin(), input.members.end(), [&](const RolloutMember& member) {
            Duration silence = now - member.heardAt;
            if (silence > rolloutLease)
                return silence > rolloutLease + leaseMargin;
            return member.position == input.rollout->position && !member.oldInProgress;
        });
    }

    RolloutStep stepInSwitch(const RolloutHolderInput& input, SteadyTime now)
    {
        if (isMajority(*input.rollout, heardInstances(input, now)) && areOldTargetsLeft(input, now))
            return { .action = RolloutAction::Succeed, .reason = "all requests have left the old targets" };
        if (!input.newSlots)
            return { .action = RolloutAction::RollBack, .reason = "no usable target of the new version" };
        return {};
    }

    RolloutStep stepBeforeSwitch(const RolloutHolderInput& input, SteadyTime now)
    {
        const Rollout& rollout = *input.rollout;
        bool areSlotsEnough = input.newSlots > 0 && 2 * input.newSlots >= input.oldSlots;
        if (input.isOnlyEstablished)
            return { .action = RolloutAction::Succeed, .reason = "the version is the only one established" };
        if (now >= rollout.deadline())
            return { .action = RolloutAction::RollBack, .reason = "the deadline has passed" };
        if (now >= decisionTime(rollout)) {
            if (rollout.position.phase < RolloutPhase::Load)
                return { .action = RolloutAction::RollBack, .reason = "the new version has not run under load" };
            if (!areSlotsEnough)
                return { .action = RolloutAction::RollBack, .reason = "too few usable targets of the new version" };
            if (input.verdict != RolloutVerdict::Sound)
                return { .action = RolloutAction::RollBack, .reason = "too little evidence for the new version" };
        }
        if (rollout.position.phase == RolloutPhase::Sample && now >= atPart(rollout, sampleEnd))
            return { .action = RolloutAction::BeginLoad, .reason = "the sample has ended" };
        if (rollout.position.phase == RolloutPhase::Load && now >= atPart(rollout, loadEnd) && input.verdict == RolloutVerdict::Sound && areSlotsEnough)
            return { .action = RolloutAction::BeginSwitch, .reason = "the new version is sound" };
        return {};
    }

} // namespace

RolloutStep nextStep(const RolloutHolderInput& input, SteadyTime now)
{
    const RolloutPosition& position = input.rollout->position;
    if (isFinal(position.phase))
        return {};
    // In `Switch`, a write of `Succeeded` without an answer may still be performed: old targets get requests again only once
    // `RolledBack` is written, after which it no longer can.
    bool mayStop = !input.isOnlyEstablished && position.phase < RolloutPhase::Switch;
    if (input.verdict == RolloutVerdict::Bad && !position.isStopped && mayStop)
        return { .action = RolloutAction::Stop, .reason = "the new version is bad" };
    if (!input.isStoreReachable)
        return {};
    if (!input.isHolder) {
        if (mayTakeOver(input, now))
            return { .action = RolloutAction::TakeOver, .reason = position.generation ? "no word of the holder" : "no holder" };
        return {};
    }
    bool isBad = input.verdict == RolloutVerdict::Bad && !input.isOnlyEstablished;
    if (position.isStopped || isBad)
        return { .action = RolloutAction::RollBack, .reason = "the new version is bad" };
    if (now - input.rollout->heardAt > minorityTime && !isMajority(*input.rollout, heardInstances(input, now)))
        return { .action = RolloutAction::RollBack, .reason = "no majority of the instances is heard" };
    return position.phase == RolloutPhase::Switch ? stepInSwitch(input, now) : stepBeforeSwitch(input, now);
}

SteadyTime decisionTime(const Rollout& rollout) { return atPart(rollout, decisionEnd); }

} // namespace limpetpond
