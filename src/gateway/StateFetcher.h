#pragma once

/// Asks other instances in turn for the rows that they last read, while this one has none and the store is away.

#include "gateway/SmallCall.h"
#include "gateway/StateCopy.h"
#include <cstddef>
#include <functional>
#include <string>

namespace limpetpond {

/// The request target at which an instance passes its rows on, at the peers' port over TCP.
inline constexpr std::string_view statePath = "/state";

struct StateFetcherOptions {
    int peerPort { 0 }; ///< The same on every instance.
    std::function<std::vector<std::string>()> addresses; ///< IPs of the instances to ask.
    std::function<void(const StateCopy&)> onState;
};

class StateFetcher {
public:
    StateFetcher(boost::asio::io_context&, const Clock&, StateFetcherOptions);

    /// To be called several times a second; `isWanted` while the state is still missing.
    void tick(SteadyTime now, bool isWanted);

private:
    void askNext(SteadyTime now);
    void onCallEnd(const SmallCallEnd&);

    StateFetcherOptions m_options;
    SmallCall m_call;
    SteadyTime m_nextAskAt;
    std::size_t m_asked { 0 };
};

} // namespace limpetpond
