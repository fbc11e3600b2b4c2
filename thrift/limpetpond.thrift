// The protocol between the system's own processes: instances to each other,
// and the command-line tool to an instance. Fields are only ever added, with new numbers.

namespace cpp limpetpond.rpc

// What one instance has in progress or waiting in one pool.
struct PoolNews {
  1: string pool
  2: i32 floorLevel            // no tier below this level is served here
  3: i64 floorSequence         // counts the raises of the floor by their owner
  4: i32 lowestServedLevel     // the lowest tier in progress or waiting here; -1 for none
  5: list<i64> waitingTokensByTier
  6: i32 wantedFloorLevel      // the floor that this instance asks all others to hold
}

// What one instance has in progress at one target.
struct TargetNews {
  1: string target
  2: i64 tokensInProgress
  3: i32 requestsInProgress
  4: i64 leavingMarkVersion    // the settings version of the leaving mark that is in force here; 0 for none
}

// What one instance knows of another.
struct MemberNews {
  1: string instance
  2: i64 incarnation
  3: i32 state                 // 0 live, 1 suspected, 2 departed
  4: i64 sequence
}

struct Heartbeat {
  1: string instance
  2: i64 incarnation
  3: i64 sequence
  4: i64 settingsVersion
  5: i64 storeConfirmedAgeMs   // since the start of the last read that confirmed the version; -1 for never
  6: bool leaving
  7: list<PoolNews> pools
  8: list<TargetNews> targets
  9: list<MemberNews> members
  10: i64 logicalTime          // Lamport time of the sender's time line
}

// One accepted change of the settings tree.
struct SettingsChange {
  1: i64 version
  2: string changeId
  3: string author
  4: i64 acceptedAtMs          // system clock, since the epoch
  5: string body               // the edits as JSON
}

// The whole tree at one version, as JSON.
struct SettingsSnapshot {
  1: i64 version
  2: string tree
}

// Changes after a version, or a snapshot where the changes are no longer held.
struct SettingsUpdate {
  1: i64 currentVersion
  2: list<SettingsChange> changes
  3: optional SettingsSnapshot snapshot
}

exception PeerRefused {
  1: string code
  2: string detail
}

service PeerService {
  Heartbeat heartbeat(1: string secret, 2: Heartbeat news) throws (1: PeerRefused refused)
  SettingsUpdate fetchSettings(1: string secret, 2: i64 afterVersion) throws (1: PeerRefused refused)
}

struct Edit {
  1: string path               // such as pool/drafts or target/engine-1
  2: string field              // empty: the whole branch
  3: string value              // JSON; empty: remove, so that the inherited value counts
  4: i64 readVersion           // the version of the branch that the edit is based on; -1: not checked
}

struct ChangeRequest {
  1: string changeId
  2: string author
  3: list<Edit> edits
  4: bool dryRun
}

struct ChangeEffect {
  1: string path
  2: string field
  3: string before             // JSON
  4: string after              // JSON
}

struct ChangeReply {
  1: i64 version               // the version that the change made; 0 for a dry run
  2: list<ChangeEffect> effects
}

exception OperatorRefused {
  1: string code               // conflict, invalid_setting, store_unavailable, unknown_outcome, unauthorized, cut_off, not_found
  2: string detail             // one line for a person
  3: string path
  4: i64 readVersion
  5: i64 currentVersion
  6: string currentValue
}

struct ExplainedValue {
  1: string path
  2: string field
  3: string value              // JSON
  4: string inheritedFrom      // the branch that the value comes from
  5: i64 version               // the change that set it; 0 for a built-in default
  6: string author
  7: i64 acceptedAtMs
}

struct TargetStatus {
  1: string target
  2: string pool
  3: string mark               // serving, leaving, empty
  4: i64 tokensInProgress      // over all instances that answered
  5: i32 requestsInProgress
  6: list<string> notConfirmed // instances whose confirmation of the mark is missing
  7: string detail
}

// One event of the time line. Fields are text so that the tool can merge and filter any kind.
struct TimelineEvent {
  1: i64 sequence              // counts per process
  2: i64 systemMicros          // system clock, since the epoch
  3: i64 logicalTime           // Lamport time, for causal order over processes
  4: string process
  5: string kind
  6: string request
  7: string target
  8: map<string, string> fields
}

service OperatorService {
  string getTree(1: string secret, 2: string path) throws (1: OperatorRefused refused)
  ChangeReply change(1: string secret, 2: ChangeRequest request) throws (1: OperatorRefused refused)
  // Brings a table service that was restored to an older state back up to the settings in force.
  ChangeReply raiseStore(1: string secret, 2: string changeId, 3: string author) throws (1: OperatorRefused refused)
  list<ExplainedValue> explain(1: string secret, 2: string path) throws (1: OperatorRefused refused)
  list<SettingsChange> history(1: string secret, 2: i64 afterVersion) throws (1: OperatorRefused refused)
  TargetStatus targetStatus(1: string secret, 2: string target) throws (1: OperatorRefused refused)
  string status(1: string secret) throws (1: OperatorRefused refused)   // JSON, documented in docs/OPERATIONS.md
  list<TimelineEvent> timeline(1: string secret, 2: i64 afterSequence, 3: string request) throws (1: OperatorRefused refused)
}
