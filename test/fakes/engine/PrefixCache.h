#pragma once

/// The bounded prefix cache of the fake engine, and the events of its changes.

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetpond::fakes {

/// One change. A missing event simulates a gap in the sequence numbers.
struct CacheEvent {
    std::uint64_t sequence { 0 };
    std::chrono::steady_clock::time_point at;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;
    bool isMissing { false }; ///< Never published.
};

/// Holds blocks by their chained hash and evicts the least recently used first. Not thread-safe.
class PrefixCache {
public:
    PrefixCache(std::size_t capacityBlocks, int gapEvery)
        : m_capacity(capacityBlocks)
        , m_gapEvery(gapEvery)
    {
    }

    /// Returns the number of leading blocks in the cache and marks them as used.
    std::size_t use(const std::vector<std::uint64_t>& blocks)
    {
        std::size_t held = 0;
        for (std::uint64_t block : blocks) {
            auto found = m_entries.find(block);
            if (found == m_entries.end())
                break;
            m_byRecency.splice(m_byRecency.begin(), m_byRecency, found->second);
            ++held;
        }
        return held;
    }

    bool holds(std::uint64_t block) const { return m_entries.contains(block); }

    /// Adds blocks, evicts blocks over the capacity and publishes one event. Returns the number of new blocks.
    std::size_t add(const std::vector<std::uint64_t>& blocks)
    {
        CacheEvent event { .sequence = m_sequence + 1, .at = std::chrono::steady_clock::now() };
        for (std::uint64_t block : blocks) {
            if (m_entries.contains(block))
                continue;
            m_byRecency.push_front(block);
            m_entries[block] = m_byRecency.begin();
            event.added.push_back(block);
        }
        while (m_byRecency.size() > m_capacity) {
            event.evicted.push_back(m_byRecency.back());
            m_entries.erase(m_byRecency.back());
            m_byRecency.pop_back();
        }
        std::size_t added = event.added.size();
        publish(std::move(event));
        return added;
    }

    /// The events after a sequence number that are older than `lag`.
    std::vector<CacheEvent> eventsAfter(std::uint64_t sequence, std::chrono::milliseconds lag) const
    {
        std::vector<CacheEvent> out;
        auto limit = std::chrono::steady_clock::now() - lag;
        for (const CacheEvent& event : m_events) {
            if (event.sequence > sequence && event.at <= limit && !event.isMissing)
                out.push_back(event);
        }
        return out;
    }

    std::size_t size() const { return m_byRecency.size(); }

private:
    void publish(CacheEvent event)
    {
        constexpr std::size_t maxEvents = 1'000;
        if (event.added.empty() && event.evicted.empty())
            return;
        ++m_sequence;
        event.isMissing = m_gapEvery && !(m_sequence % static_cast<std::uint64_t>(m_gapEvery));
        m_events.push_back(std::move(event));
        if (m_events.size() > maxEvents)
            m_events.pop_front();
    }

    std::size_t m_capacity;
    int m_gapEvery;
    std::uint64_t m_sequence { 0 };
    std::list<std::uint64_t> m_byRecency;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_entries;
    std::deque<CacheEvent> m_events;
};

} // namespace limpetpond::fakes
