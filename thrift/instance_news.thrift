// What instances in front of one platform tell each other, several times a second, in one datagram.
// Fields are only ever added, with new numbers. Lists that name the same things run in parallel.

namespace cpp limpetpond.rpc

// The suspicion that a prompt part crashes the targets of a pool.
struct SuspectPart {
  1: i32 pool                  // hash of the pool's id
  2: i64 part                  // the part's id, or a hash of it
  3: i32 clearings             // how often an answer has cleared the part
  4: i16 otherAnswers          // answers to requests without the part since the first crash, up to a maximum
  5: list<i32> crashes         // hashes of the ids and incarnations of the targets that crashed
  6: list<i32> ages            // of each of them: milliseconds since the crash
  7: bool quarantined          // the sender refuses requests with the part
}

// A suspicion as stored in the platform's table.
struct StoredSuspectPart {
  1: SuspectPart suspect
  2: i64 writtenAt             // unix milliseconds
}

// Answers of one route that the sender has seen from one target of the new version, or from all of the old ones.
struct RolloutAnswers {
  1: i32 route                 // hash of the route's name
  2: i32 target                // hash of the id of a target of the new version; 0 for all targets of old versions
  3: i32 answers
  4: i32 failures
  5: i32 slow                  // several times the median of the old versions
  6: i32 verySlow              // of these, far longer than nearly all answers of the old versions
}

// A rollout as the sender knows it.
struct RolloutNews {
  1: i32 pool                  // hash of the pool's id
  2: i64 orderEpoch            // counts the restores of the store; of orderNumber
  3: i64 orderNumber           // the store's version of the order's row
  4: string to                 // the version that the order names
  5: i64 orderTime             // milliseconds from the order to its deadline
  6: i64 orderAge              // milliseconds since the sender learned of the order
  7: i64 generation            // rises with each instance that becomes the holder; 0 for none
  8: i32 phase                 // 0 not started, 1 sample, 2 load, 3 switch, 4 succeeded, 5 rolled back
  9: bool stopped              // the new version gets no more requests
  10: i64 beatAge              // milliseconds since the holder was last known to hold the rollout; of beat
  11: i32 oldInProgress        // requests of the sender at targets of old versions
  12: list<RolloutAnswers> answers // since the order
  13: i64 beatGeneration       // of the holder that the sender has heard last, itself or by way of others
  14: i64 beat                 // the number of that holder's last update; only the holder raises it
}

// A rollout's row in the platform's table.
struct StoredRollout {
  1: i64 orderEpoch
  2: i64 orderNumber
  3: string to
  4: i64 orderTime             // milliseconds
  5: i64 orderedAt             // unix milliseconds
  6: i64 generation
  7: i32 phase                 // as in RolloutNews
  8: bool stopped
  9: string holder             // the instance that wrote the row
  10: i64 holderIncarnation    // unix milliseconds of its start
}

// The row with the versions of a pool's targets.
struct StoredVersions {
  1: list<string> established  // get requests
  2: list<string> excluded     // were rolled back
}

struct InstanceNews {
  1: string instance
  2: i64 incarnation           // unix milliseconds of the sender's start
  3: i64 sequence              // rises with each message of one incarnation
  4: i64 settingsVersion       // 0 for none
  5: list<i32> targets         // hashes of the ids of targets that have work of the sender
  6: list<i16> inProgress      // requests of the sender at each of them
  7: list<i32> accounts        // hashes of the ids of client accounts
  8: list<i64> admitted        // units that the sender admitted of each, since its start
  9: bool leaving
  10: string failureDomain
  11: list<i32> closedTargets  // hashes of the ids of targets that the sender can't reach
  12: list<i32> waitingPools   // hashes of the ids of pools in which requests wait at the sender
  13: list<i32> demands        // of each of them: waiting requests, the urgent ones counted several times
  14: i64 targetsVersion       // the store's version of the last change of a target known to the sender; 0 for none
  15: bool readsTargets        // the sender follows the targets' table, and the store answers it
  16: list<i32> activePools    // hashes of the ids of pools for which requests arrive at the sender
  17: list<i32> arrivals       // of each of them: requests that arrive in a second, the urgent ones counted several times
  18: list<SuspectPart> suspectParts
  19: list<i32> limitedTargets // hashes of the ids of targets that stated a rate limit, or the end of one, in answers to the sender
  20: list<i32> rateLimits     // of each of them: thousandths of a request a second over all instances; -1 for no limit
  21: list<i32> limitAges      // of each of them: milliseconds since the answer
  22: optional i64 targetsEpoch // counts the restores of the store from a copy, after which it gives out versions again; of targetsVersion
  23: optional i32 storeCheckAge // milliseconds since the store last answered a check of its newest version by the sender
  24: optional list<RolloutNews> rollouts // only where the operator orders rollouts
}
