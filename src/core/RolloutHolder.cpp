#include "core/RolloutHolder.h"

#include <algorithm>

namespace limpetpond {

namespace {

    // Of the order's time. A version that turns bad halfway is seen in `Load`, and requests at old targets can end before the deadline.
    constexpr double sampleEnd = 0.35;
    constexpr double loadEnd = 0.7;
    constexpr double decisionEnd = 0.85;

    /// Between the turns of two instances, so that the first one's write is usually known before the second one's turn.
    constexpr Duration turnTime = std::chrono::milliseconds(300);

    /// An instance without updates for this time has usually ended or is frozen or cut off.
    constexpr Duration holderSilence = std::chrono::milliseconds(1500);

    /// The lease of a silent instance begins with its last word of the holder, which may have come by way of another instance.
    constexpr Duration leaseMargin = std::chrono::seconds(1);

    SteadyTime atPart(const Rollout& rollout, double part) { return rollout.orderedAt + fromSeconds(part * toSeconds(rollout.order.time)); }

    bool mayTakeOver(const RolloutHolderInput& input, SteadyTime now)
    {
        const Rollout& rollout = *input.rollout;
        if (!rollout.position.generation)
            return now - rollout.orderedAt > input.turn * turnTime;
        return now - rollout.heardAt > holderSilence + input.turn * turnTime;
    }

    /// What the members allow with regard to the end of the old targets.
    struct SwitchState {
        bool isMajorityHeard { false };
        std::string waitsFor; ///< Empty if all have left the old targets.
    };

    SwitchState switchState(const RolloutHolderInput& input, SteadyTime now)
    {
        const Rollout& rollout = *input.rollout;
        SwitchState state;
        int heard = 1;
        if (input.ownOldInProgress > 0)
            state.waitsFor = "own requests at old targets";
        for (const RolloutMember& member : input.members) {
            Duration silence = now - member.heardAt;
            if (silence > rolloutLease + leaseMargin)
                continue;
            if (silence > rolloutLease) {
                state.waitsFor = "the lease of a silent instance";
                continue;
            }
            ++heard;
            if (member.position != rollout.position)
                state.waitsFor = "an instance's acknowledgement";
            else if (member.oldInProgress > 0)
                state.waitsFor = "requests at old targets";
        }
        state.isMajorityHeard = 2 * heard > rollout.members;
        return state;
    }

    RolloutStep stepInSwitch(const RolloutHolderInput& input, SteadyTime now)
    {
        SwitchState state = switchState(input, now);
        if (state.isMajorityHeard && state.waitsFor.empty())
            return { .action = RolloutAction::Succeed, .reason = "all requests have left the old targets" };
        if (!input.newSlots)
            return { .action = RolloutAction::RollBack, .reason = "no usable target of the new version" };
        if (!state.isMajorityHeard && now >= input.rollout->deadline())
            return { .action = RolloutAction::RollBack, .reason = "no majority of the instances is heard at the deadline" };
        return {};
    }

    RolloutStep stepBeforeSwitch(const RolloutHolderInput& input, SteadyTime now)
    {
        const Rollout& rollout = *input.rollout;
        bool areSlotsEnough = input.newSlots > 0 && 2 * input.newSlots >= input.oldSlots;
        if (input.isOnlyEstablished)
            return { .action = RolloutAction::Succeed, .reason = "the version is the only one established" };
        if (now >= decisionTime(rollout)) {
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
    // In `Switch`, only the holder may return to the old targets: it decides on their end too.
    bool mayStop = !input.isOnlyEstablished && (input.isHolder || position.phase < RolloutPhase::Switch);
    if (input.verdict == RolloutVerdict::Bad && !position.isStopped && mayStop)
        return { .action = RolloutAction::Stop, .reason = "the new version is bad" };
    if (!input.isStoreReachable)
        return {};
    if (!input.isHolder) {
        if (mayTakeOver(input, now))
            return { .action = RolloutAction::TakeOver, .reason = position.generation ? "no word of the holder" : "no holder" };
        return {};
    }
    if (position.isStopped)
        return { .action = RolloutAction::RollBack, .reason = "the new version is bad" };
    return position.phase == RolloutPhase::Switch ? stepInSwitch(input, now) : stepBeforeSwitch(input, now);
}

SteadyTime decisionTime(const Rollout& rollout) { return atPart(rollout, decisionEnd); }

} // namespace limpetpond
