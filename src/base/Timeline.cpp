#include "base/Timeline.h"

#include <algorithm>
#include <chrono>

namespace limpetpond {

Timeline::Timeline(Options options, const Clock& clock)
    : m_options(std::move(options))
    , m_clock(clock)
{
}

void Timeline::record(TimelineEntry entry)
{
    auto sinceEpoch = m_clock.systemNow().time_since_epoch();
    std::lock_guard lock(m_mutex);
    m_entries.push_back({ .sequence = ++m_sequence,
        .systemMicros = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count(),
        .logicalTime = ++m_logicalTime,
        .entry = std::move(entry) });
    if (m_entries.size() > m_options.capacity)
        m_entries.pop_front();
}

void Timeline::observeLogicalTime(std::uint64_t logicalTime)
{
    std::lock_guard lock(m_mutex);
    m_logicalTime = std::max(m_logicalTime, logicalTime);
}

std::uint64_t Timeline::nextLogicalTime()
{
    std::lock_guard lock(m_mutex);
    return ++m_logicalTime;
}

std::vector<RecordedEntry> Timeline::entries(std::uint64_t afterSequence, const RequestId& request) const
{
    std::vector<RecordedEntry> found;
    std::lock_guard lock(m_mutex);
    for (const RecordedEntry& recorded : m_entries) {
        if (recorded.sequence <= afterSequence)
            continue;
        if (request.isEmpty() || recorded.entry.request == request)
            found.push_back(recorded);
    }
    return found;
}

} // namespace limpetpond
