#include "core/PeerNumbers.h"

namespace limpetpond {

namespace {

    constexpr Duration reuseAfter = std::chrono::minutes(1); ///< Nothing that is kept about a peer is used for longer after its last update.

} // namespace

PeerNumber PeerNumbers::numberOf(const InstanceId& peer, SteadyTime now)
{
    if (auto known = m_entries.find(peer); known != m_entries.end()) {
        known->second.heardAt = now;
        return known->second.number;
    }
    if (m_free.empty())
        releaseOldNumbers(now);
    PeerNumber number = m_free.empty() ? m_next++ : m_free.back();
    if (!m_free.empty())
        m_free.pop_back();
    m_entries[peer] = { .number = number, .heardAt = now };
    return number;
}

void PeerNumbers::releaseOldNumbers(SteadyTime now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (now - entry->second.heardAt < reuseAfter) {
            ++entry;
            continue;
        }
        m_free.push_back(entry->second.number);
        entry = m_entries.erase(entry);
    }
}

} // namespace limpetpond
