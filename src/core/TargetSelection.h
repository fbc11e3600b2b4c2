#pragma once

/// Selects the target of a request at the gateway, by expected time. core/PolicyRouting.h selects targets for the daemon,
/// by the pool's routing policy and prefix cache.
///
/// Load pattern: targets of different speed, some three times slower than others, some failing a part of their
/// requests, shared by up to several dozen instances that receive each other's updates only a few times a second.
/// A target receives few more requests than it has slots; of the targets with a free slot, the one with the least
/// expected time is selected. Rendezvous hashing orders the instances differently for each target, so that instances
/// with the same updates don't all select the same target.

#include "core/ServingSettings.h"
#include "core/SlotDivision.h"
#include "core/TargetNotices.h"
#include "core/TargetRateLimit.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace limpetpond {

/// A typical rate at which engines process prompts.
inline constexpr double typicalPromptTokensPerMillisecond = 100;

/// The state of one target as this instance knows it.
struct TargetState {
    TargetEntry entry;
    std::optional<SteadyTime> missingSince; ///< Its entry expired while the store was unavailable; the target is used for a short time after that.
    int ownInProgress { 0 }; ///< Requests of this instance.
    int peersInProgress { 0 }; ///< Requests of its peers, by their last updates.
    double ownPromptTokens { 0 }; ///< Prompt tokens of this instance's requests that have no first event yet.
    double millisecondsPerUnit { 0 }; ///< Moving average of the time for a unit of work; 0 before the first answer.
    double failureRate { 0 }; ///< Moving average of the share of failed requests, 0 to 1.
    SteadyTime failureRateAt; ///< When `failureRate` was last updated.
    int consecutiveFailures { 0 }; ///< Consecutive connections that were refused, closed early or timed out, without an answer in between.
    SteadyTime ejectedUntil; ///< No request is sent before; a single probe request may be sent after.
    bool probeInProgress { false };
    SteadyTime lastAnswerAt; ///< When the target last sent this instance a whole answer.
    double distance { 0 }; ///< Rendezvous distance from this instance: 0 at the nearest instance, 1 at the farthest.
    std::optional<int> assignedSlots; ///< Slots assigned to this instance while requests wait at several instances; none for no assignment.
    int ejectedByPeers { 0 }; ///< Number of peers that have ejected the target.
    TargetNotice notice; ///< What its answers to this instance have said.
    TargetRateLimit rateLimit; ///< Requests a second over all instances that the target states in its answers.
    bool isVersionAllowed { true }; ///< False where targets of its version get no requests.
    bool isSample { false }; ///< It gets only those requests that may reach a new version of which little is known.
    double ownConcurrencyLimit { 0 }; ///< Requests that this instance may have in progress at the target, adapted to its rejections; 0 for no limit.
};

/// Records an answer. `unitMilliseconds` is its time for a unit of work, when it is known.
///
///     recordAnswer(target, 4.1, now);
void recordAnswer(TargetState&, std::optional<double> unitMilliseconds, SteadyTime now);

/// Records an answer with an error status or a malformed answer.
void recordFailedAnswer(TargetState&, SteadyTime now);

/// When a connection failed.
enum class ConnectionFailure {
    Immediate, ///< Before any work can have been done. Its free slot would attract further requests, so the target is ejected at once.
    Late, ///< After work may have been done.
};

/// Records a connection that was refused, closed early or timed out.
///
///     recordConnectionFailure(target, ConnectionFailure::Immediate, now);
void recordConnectionFailure(TargetState&, ConnectionFailure, SteadyTime now);

/// Records that the target rejected a request for lack of a free slot. Lowers this instance's concurrency limit for the
/// target; later answers raise it again.
///
///     recordTargetFull(target);
void recordTargetFull(TargetState&);

/// Whether the target is ejected after connection failures.
bool isEjected(const TargetState&, SteadyTime now);

/// The request and the pool's conditions that `chooseTarget` decides on.
struct TargetSelectionInput {
    FailureDomainId ownFailureDomain;
    double promptTokens { 0 };
    double work { 1 }; ///< Expected units of work, such as events of a stream.
    Duration timeLeft { std::chrono::hours(1) }; ///< Until the request's deadline.
    std::optional<Duration> timeToObjective; ///< Time in which the first event still meets the latency objective; none for no such limit.
    double firstEventFactor { 1 }; ///< Measured time to the first event over the estimated time; see `updateFirstEventFactor()`.
    double requestsPerSlot { 1 }; ///< Requests allowed for each slot; see `requestsPerSlot()`.
    std::optional<int> ownRequestsAllowed; ///< Requests of this instance that may be in progress in the pool; none for no limit.
    double peerUpdateWeight { 1 }; ///< Weight of peers' counts for single targets against the pool's mean, 0 to 1.
    std::vector<double> cachedTokens; ///< Tokens of the prompt that each target has in its cache, in the order of the targets; empty for unknown.
    bool usesSamples { false }; ///< The request may reach sample targets only; otherwise it may reach all others.
    const std::vector<TargetId>* avoid { nullptr }; ///< Targets that were tried already; null for none.
};

/// The index of the target to send to. None when no target has a free slot, or when all free targets are too slow for
/// the time left and a busy one isn't.
///
///     std::optional<std::size_t> index = chooseTarget(targets, { .ownFailureDomain = here }, now);
std::optional<std::size_t> chooseTarget(const std::vector<TargetState>&, const TargetSelectionInput&, SteadyTime now);

/// The estimated time from sending to the first event, without queueing at the target.
///
///     double estimate = estimatedFirstEventMilliseconds(targets, index, promptTokens);
double estimatedFirstEventMilliseconds(const std::vector<TargetState>&, std::size_t index, double promptTokens);

/// Updates a pool's moving average of measured over estimated times to the first event.
///
///     updateFirstEventFactor(pool.firstEventFactor, 240, attempt.estimatedFirstEventMilliseconds);
void updateFirstEventFactor(double& factor, double measuredMilliseconds, double estimatedMilliseconds);

/// Whether the target wants no requests now.
bool isPaused(const TargetState&, SteadyTime now);

/// When the first usable target takes requests again, if all of them are paused.
///
///     if (std::optional<SteadyTime> until = poolPausedUntil(targets, now)) refuseUntil(*until);
std::optional<SteadyTime> poolPausedUntil(const std::vector<TargetState>&, SteadyTime now);

/// Whether the target's entry or one of its answers says that it leaves.
bool isLeaving(const TargetState&);

/// Whether the target takes further requests at all: its version is allowed, and it doesn't leave.
bool isUsable(const TargetState&);

/// Whether the pool has at least one usable target.
bool hasUsableTarget(const std::vector<TargetState>&);

/// How many requests may be in progress for each slot of a target. More than 1 for short calls: many counted by the
/// last updates have ended already, and counting them in full would leave slots free.
///
///     input.requestsPerSlot = requestsPerSlot(50ms, 100ms);
double requestsPerSlot(Duration serviceTime, Duration updateInterval);

/// The requests that may be in progress at the target, of all instances.
///
///     requestsAllowed(target, 1.5) == 9; // 6 slots
int requestsAllowed(const TargetState&, double requestsPerSlot);

/// The weight of the differences between targets in peers' updates, 0 to 1. It is low for short calls: their updates are
/// outdated on arrival, and instances that relied on them would all send to the same target.
///
///     input.peerUpdateWeight = peerUpdateWeight(50ms, 100ms);
double peerUpdateWeight(Duration serviceTime, Duration updateInterval);

} // namespace limpetpond
