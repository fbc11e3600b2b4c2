#pragma once

/// Detects parts of prompts that crash the targets of a pool, so that requests with such a part are refused.
///
/// Load pattern: a part of the prompt crashes every target that begins to write an answer on it. Requests with the part
/// arrive at all instances, and a retry crashes a second target, so that a pool of any size is down within seconds. Other
/// requests share the client account, the route and the other parts of the prompt, and targets also crash for other
/// reasons, many at once, while requests with sound parts are in progress there.
///
/// A part is suspected after a crash if a request with it was at the target and its answer had hardly begun. It is
/// quarantined after several crashes in a row that were apart in time, without an answer to any request with the part in
/// between, while requests without it were answered. A pool of few targets is down before any other request is answered;
/// there a part without any answer in the past is quarantined if it was at almost all crashes, also after fewer that were
/// apart in time. Parts with many answers in the past need more crashes; an instance that has just started knows of none and
/// takes over what others have quarantined. Where all have just started and targets crash as soon as they are back, it
/// decides by itself if the part is the only one that explains the crashes. A quarantined part explains its crashes, so that
/// they no longer count against other parts. An answer clears the part. Instances merge their suspicions, which carry the ids
/// of the crashes, so that repeated and reordered reports do no harm.
///
/// Where targets crash before this instance has had enough answers, its common suspects are the parts without an answer that are
/// at almost all crashes. The crashing part is one of them, and a sound request never contains all of them. A request with
/// none of them is sent as usual. A request with some of them is a probe: an instance sends one at a time, with as few of them
/// as possible; its answer clears them, and its crash leaves only them. A request with all of them is kept back; it is only
/// sent after a time without crashes, by one instance after the other. docs/design/crashing-parts.md derives the bound.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limpetpond {

/// A part of a prompt, by a hash of its id that is the same at every instance.
using PromptPart = NumericId<struct PromptPartTag>;

/// One crash of a target, by a hash of the target's id and incarnation; 32 bits.
using CrashId = NumericId<struct CrashIdTag>;

/// An answer that has no more whole events than this has hardly begun; its request may have crashed the target. More events
/// show, like a whole answer, that it hasn't.
inline constexpr int maxEventsOfSuspect = 1;

struct TargetCrash {
    CrashId id;
    SteadyTime at;
};

/// The suspicion of one part.
struct SuspectPart {
    std::uint32_t clearings { 0 }; ///< How often an answer has cleared the part. A report with fewer clearings is outdated.
    std::vector<TargetCrash> crashes; ///< Since the last clearing, apart in time; bounded.
    std::vector<TargetCrash> simultaneousCrashes; ///< Further ones at almost the same time as one of `crashes`; bounded.
    int otherAnswers { 0 }; ///< Answers to requests without the part since the first crash, up to a maximum.
    bool isQuarantined { false }; ///< Until an answer clears the part.
    SteadyTime changedAt;
    SteadyTime reportedAt; ///< When an update for peers last held it.
    std::optional<SteadyTime> observedAt; ///< When this instance itself last saw a crash or cleared the part; none where it has only reports of peers.
    std::optional<SteadyTime> triedAt; ///< When this instance last sent a request with the part in spite of its quarantine.
    std::size_t storedCrashes { 0 }; ///< Number of crashes in the part's row in the store.
    bool isRowLost { false }; ///< The store has lost the row, which is to be written again.
};

/// Counts the answers to requests with a part, for a bounded number of parts: those not answered for the longest time are forgotten.
struct AnsweredParts {
    std::unordered_map<PromptPart, std::uint32_t> recent;
    std::unordered_map<PromptPart, std::uint32_t> older;
};

/// The suspicions of one pool.
struct CrashingParts {
    std::map<PromptPart, SuspectPart> suspects; ///< Bounded; the weakest suspicions are dropped first.
    std::vector<PromptPart> quarantined; ///< Those of `suspects` that are, in order; few.
    int answersToCount { 0 }; ///< Further answers that count for the suspected parts, until each has enough.
    std::vector<TargetCrash> recentCrashes; ///< Of all targets that no quarantined part explains; bounded.
    AnsweredParts answered;
    std::uint64_t answers { 0 }; ///< Since the start of this instance.
    bool hasCrashedBeforeAnswers { false }; ///< A crash was known before there were enough answers; until no common suspect is left.
    std::vector<PromptPart> commonSuspects; ///< In order; see `crashRisk()`.
    bool areCommonSuspectsOutdated { false };
    std::optional<SteadyTime> probedAt; ///< When this instance last sent a probe that hasn't changed the suspicions yet.
};

/// The parts of a request's prompt that it may share with others.
using PromptParts = std::vector<PromptPart>;

/// Records a crash of a target and the requests there whose answers had hardly begun. If one of them has a quarantined part,
/// that part explains the crash, and no other one is suspected.
///
///     recordCrash(pool.crashingParts, { .id = CrashId(7), .at = now }, { { systemPart, subjectPart } });
void recordCrash(CrashingParts&, const TargetCrash&, const std::vector<PromptParts>& requests);

/// Records an answer to a request with these parts, whole or with more than `maxEventsOfSuspect` events, and clears them. Returns
/// those that were suspected before.
///
///     PromptParts cleared = recordAnswer(pool.crashingParts, facts.promptParts, now);
PromptParts recordAnswer(CrashingParts&, const PromptParts&, SteadyTime now);

/// The first of the parts that is quarantined.
///
///     if (std::optional<PromptPart> part = findQuarantined(pool.crashingParts, facts.promptParts))
///         refuse(timeToTrial(pool.crashingParts, *part, 0, now));
std::optional<PromptPart> findQuarantined(const CrashingParts&, const PromptParts&);

/// Whether a target has crashed with the part since the last answer to a request with it. One crash is enough to refuse a
/// part that another pool has quarantined.
bool hasCrashed(const CrashingParts&, PromptPart);

/// The time until this instance may send a request with the quarantined part to find out whether it still crashes targets;
/// zero or less if it may do so now. The interval grows with the number of crashes. `turn` is the position of this instance
/// in an order of all instances, which differs from part to part, so that usually only one of them sends a request.
///
///     bool mayTry = timeToTrial(pool.crashingParts, part, 3, now) <= Duration::zero();
Duration timeToTrial(const CrashingParts&, PromptPart, int turn, SteadyTime now);

/// Records that this instance sends a request with the quarantined part.
void recordTrial(CrashingParts&, PromptPart, SteadyTime now);

/// The sum of the crashes of the common suspects among the parts; 0 for a request that may be sent at any time. It is always 0 where
/// enough answers were seen before the first crash. Requests with a lower risk are to be sent first.
///
///     std::stable_sort(waiting.begin(), waiting.end(), [&](const auto& a, const auto& b) { return risk(a) < risk(b); });
std::size_t crashRisk(CrashingParts&, const PromptParts&);

/// The place of an instance in the order in which instances send probes.
struct ProbeTurn {
    int turn { 0 }; ///< Position of this instance in an order of all instances.
    int instances { 1 };
    int targets { 1 }; ///< Of the pool.
};

/// Whether a request may be sent as far as the common suspects are concerned.
struct ProbePermission {
    bool isAllowed { true };
    std::optional<int> target; ///< The only one that it may be sent to, by position in an order of all targets.
};

/// Whether a request with these parts may be sent now. Instances take turns, so that usually no two send probes to one target
/// at the same time: a crash there would leave the suspects of both.
ProbePermission probePermission(CrashingParts&, const PromptParts&, const ProbeTurn&, SteadyTime now);

/// Records that this instance sends a request with these parts.
void recordProbe(CrashingParts&, const PromptParts&, SteadyTime now);

/// A suspicion as sent to peers and kept in the store.
struct SuspectReport {
    struct Crash {
        CrashId id;
        Duration age { 0 };
    };
    PromptPart part;
    std::uint32_t clearings { 0 };
    int otherAnswers { 0 };
    bool isQuarantined { false };
    std::vector<Crash> crashes;
};

/// How much an update for peers holds.
enum class ReportScope {
    Changes, ///< What has changed lately.
    All, ///< Everything, so that a lost update is made up for.
};

/// The suspicions to report, the strongest ones first; bounded. Equally strong ones take turns. Changes are those that this
/// instance made; all are these and every suspicion that is more than a coincidence.
///
///     update.suspects = suspectsToReport(pool.crashingParts, ReportScope::Changes, now);
std::vector<SuspectReport> suspectsToReport(CrashingParts&, ReportScope, SteadyTime now);

/// Merges a report of a peer or of the store. The result doesn't depend on the order of reports or on repetitions, except
/// for crashes at almost the same time, of which any one is kept.
///
///     mergeSuspect(pool.crashingParts, report, now);
void mergeSuspect(CrashingParts&, const SuspectReport&, SteadyTime now);

/// Merges the part's row in the store. It differs from `mergeSuspect()` in that the row is deleted when the part is cleared.
void mergeStoredSuspect(CrashingParts&, const SuspectReport&, SteadyTime now);

/// The parts that have a row in the store, as far as this instance knows.
PromptParts storedParts(const CrashingParts&);

/// Records that the store has lost the part's row. Any instance that knows the row then writes it again, since those that saw
/// the crashes may have stopped.
///
///     recordLostRow(pool.crashingParts, part);
void recordLostRow(CrashingParts&, PromptPart);

/// A change of a part's row in the store.
struct SuspectRowChange {
    SuspectReport report;
    bool isCleared { false }; ///< The row is to be deleted.
};

/// The rows to change: those of quarantined parts with a crash that this instance saw, those that the store has lost, and those
/// of cleared parts. Each change is returned once.
///
///     for (const SuspectRowChange& change : takeRowChanges(pool.crashingParts, now)) write(change);
std::vector<SuspectRowChange> takeRowChanges(CrashingParts&, SteadyTime now);

/// Forgets suspicions without a crash for a long time.
void expireSuspects(CrashingParts&, SteadyTime now);

} // namespace limpetpond
