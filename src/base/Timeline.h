#pragma once

/// A bounded record of what this process did, for the time line over all processes.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace limpetpond {

/// One named detail of an event.
struct TimelineField {
    std::string name;
    std::string value;
};

/// What happened. An empty id stands for "none".
struct TimelineEntry {
    std::string kind; ///< Such as `request_arrived` or `dispatch_ended`.
    RequestId request;
    AttemptId attempt;
    TargetId target;
    std::vector<TimelineField> fields;
};

/// An entry with its place in time.
struct RecordedEntry {
    std::uint64_t sequence { 0 }; ///< Counts from 1 in this process.
    std::int64_t systemMicros { 0 }; ///< Microseconds since the epoch.
    std::uint64_t logicalTime { 0 }; ///< Lamport time.
    TimelineEntry entry;
};

/// Keeps the last `capacity` entries. Any thread may record; the lock covers one insertion.
///
///     Timeline timeline({ .capacity = 1000, .process = "i1" }, clock);
///     timeline.record({ .kind = "request_arrived", .request = id });
class Timeline {
public:
    struct Options {
        std::size_t capacity { 20'000 };
        std::string process; ///< The instance that the events belong to.
    };

    Timeline(Options, const Clock&);

    /// Adds an entry and advances the Lamport time.
    void record(TimelineEntry);

    /// Moves the Lamport time past one that another process sent.
    void observeLogicalTime(std::uint64_t logicalTime);

    /// The Lamport time to send to another process; advances it.
    std::uint64_t nextLogicalTime();

    /// Entries after a sequence number, oldest first; an empty request matches all.
    std::vector<RecordedEntry> entries(std::uint64_t afterSequence, const RequestId&) const;

    const std::string& process() const { return m_options.process; }

private:
    Options m_options;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::deque<RecordedEntry> m_entries;
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_logicalTime { 0 };
};

} // namespace limpetpond
