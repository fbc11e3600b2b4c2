#pragma once

/// The latest events of this process; the operators' tool merges those of all processes into one time line.

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

/// An event of this process; an empty id means that it has none.
struct TimelineEntry {
    std::string kind; ///< Such as `request_arrived` or `dispatch_ended`.
    RequestId request;
    AttemptId attempt;
    TargetId target;
    std::vector<TimelineField> fields;
};

/// An entry with its sequence number and times.
struct RecordedEntry {
    std::uint64_t sequence { 0 }; ///< Starts at 1 in each process.
    std::int64_t systemMicros { 0 }; ///< Microseconds since the epoch.
    std::uint64_t logicalTime { 0 }; ///< Lamport time.
    TimelineEntry entry;
};

/// Keeps the latest `capacity` entries. Thread-safe.
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

    /// Adds an entry with the current time and advances the Lamport time.
    void record(TimelineEntry);

    /// Raises the Lamport time to one received from another process, if that is later.
    void observeLogicalTime(std::uint64_t logicalTime);

    /// Advances the Lamport time and returns it, for a message to another process.
    std::uint64_t nextLogicalTime();

    /// Entries after a sequence number, oldest first, of one request; an empty id matches all requests.
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
