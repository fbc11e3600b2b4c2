#pragma once

/// Asks peers for the rows of a table that they have read and this instance has not.

#include "core/PeerVersionLag.h"
#include "gateway/TimedHttpCall.h"
#include "gateway/TableCopy.h"
#include <functional>
#include <string>

namespace limpetpond {

struct TableFetcherOptions {
    std::string path; ///< Where peers pass the table on.
    int peerPort { 0 }; ///< The same on every instance.
    std::function<void(const TableDelta&)> onDelta;
};

class TableFetcher {
public:
    TableFetcher(boost::asio::io_context&, const Clock&, TableFetcherOptions);

    /// A peer's version of the table, as its update say.
    void recordPeerVersion(std::uint64_t version, const std::string& ip, SteadyTime now) { recordPeerVersion(m_lead, version, ip, now); }

    /// To be called several times a second, with the version that this instance has, and for how long
    /// a peer may be ahead before it is asked.
    void tick(std::uint64_t ownVersion, Duration maxLag, SteadyTime now);

private:
    void onCallDone(const TimedHttpCallResult&);

    TableFetcherOptions m_options;
    TimedHttpCall m_call;
    PeerVersionLag m_lead;
    SteadyTime m_nextRequestAt;
};

} // namespace limpetpond
