#pragma once

/// Requests from peers the rows of a table that they have read and this instance has not.

#include "core/PeerVersionLag.h"
#include "gateway/TableCopy.h"
#include "gateway/TimedHttpCall.h"
#include <functional>
#include <string>

namespace limpetpond {

struct TableFetcherOptions {
    std::string path; ///< HTTP path at which peers serve the table.
    int peerPort { 0 }; ///< The same on every instance.
    std::function<void(const TableDelta&)> onDelta;
};

class TableFetcher {
public:
    TableFetcher(boost::asio::io_context&, const Clock&, TableFetcherOptions);

    /// Records the version of the table that a peer reported.
    void recordPeerVersion(const TableVersion& version, const std::string& ip, SteadyTime now) { limpetpond::recordPeerVersion(m_versionLag, version, ip, now); }

    /// Requests rows from a peer that has been ahead of `ownVersion` for longer than `maxLag`, and ends a call that has
    /// timed out. Call it several times a second.
    void tick(const TableVersion& ownVersion, Duration maxLag, SteadyTime now);

    /// Whether a peer has reported a newer version than this instance has.
    bool isBehind() const { return m_versionLag.ahead > m_versionLag.own; }

private:
    void onCallDone(const TimedHttpCallResult&);

    TableFetcherOptions m_options;
    TimedHttpCall m_call;
    PeerVersionLag m_versionLag;
    SteadyTime m_nextRequestAt;
};

} // namespace limpetpond
