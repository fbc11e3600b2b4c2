#pragma once

/// Finds out whether a target has crashed after it closed a connection early: a process that has ended refuses further
/// connections, while one that only reset a connection accepts them.

#include "core/CrashingParts.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace limpetpond {

/// A target whose connection was lost.
struct LostTarget {
    TargetId id;
    PoolId pool;
    CrashId crash; ///< The crash of this incarnation of the target, if it is one.
    boost::asio::ip::tcp::endpoint endpoint;
};

/// Tries to connect to each lost target, and passes on the requests that may have crashed it. A target that accepts the
/// first connection is tried once more soon after, since a process that ends may close its connections before its listener.
class CrashChecks {
public:
    using OnCrash = std::function<void(const LostTarget&, const std::vector<PromptParts>& suspects)>;

    CrashChecks(boost::asio::io_context&, const Clock&, OnCrash);

    /// Records that the target closed the connection of a request with these parts before the answer had properly begun.
    void recordLoss(const LostTarget&, const PromptParts&);

    /// Ends checks that take too long; their targets don't count as crashed. Call it several times a second.
    void tick(SteadyTime now);

private:
    struct Check {
        LostTarget target;
        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer; ///< For the second attempt.
        SteadyTime startedAt;
        std::vector<PromptParts> suspects;
        int attempts { 0 };
    };
    void connect(const std::shared_ptr<Check>&);
    void onConnected(const std::shared_ptr<Check>&, boost::system::error_code);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    OnCrash m_onCrash;
    std::map<CrashId, std::shared_ptr<Check>> m_checks;
};

} // namespace limpetpond
