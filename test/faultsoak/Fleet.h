#pragma once

/// A few gateways as processes of their own, with stand-ins of the store and of targets behind relays.

#include "test/fakes/edge/StoreFake.h"
#include "test/fakes/edge/TargetFake.h"
#include "test/faultsoak/OutcomeChecker.h"
#include "test/process/Processes.h"
#include <atomic>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <thread>
#include <vector>

namespace limpetpond::faultsoak {

struct FleetOptions {
    std::uint64_t seed { 1 };
    int gateways { 3 };
    int targets { 4 };
    int disabledGuard { 0 }; ///< Number of a guard that is switched off in every gateway; 0 for none.
    std::string logFolder; ///< Where the gateways' lines go; empty for nowhere.
};

/// One gateway; a restart keeps its addresses.
struct GatewayProcess {
    std::string name;
    std::string ip;
    int callerPort { 0 };
    int readinessPort { 0 };
    std::string bootFile;
    std::unique_ptr<Process> process;
    std::thread output; ///< Empties its standard output.
    std::atomic<int> incarnation { 0 };
    std::atomic<Clock::time_point> lastFaultAt { Clock::time_point {} }; ///< Last fault that touched it.
    bool isPaused { false };
};

class Fleet {
public:
    Fleet(const FleetOptions&, OutcomeChecker&);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    std::vector<std::unique_ptr<GatewayProcess>>& gateways() { return m_gateways; }
    fakes::StoreFake& store() { return m_store; }

    void startGateway(GatewayProcess&);
    /// Ends the gateway by SIGKILL and starts it again.
    void killAndRestart(GatewayProcess&);
    /// Ends it by SIGTERM, waits for its end and starts it again; tells whether it ended in order.
    bool stopAndRestart(GatewayProcess&);
    void setPaused(GatewayProcess&, bool);

    /// Changes one link of the relay; link 0 is the first gateway's to the store, the targets' follow the gateways'.
    void setLink(int link, const boost::json::object&);
    int linkCount() const { return static_cast<int>(m_gateways.size() + m_targets.size()); }

    /// Writes settings of the next version, with a route more.
    void writeSettings();
    /// Writes the first settings again, as a store that was restored from a copy would show them.
    void restoreOldSettings();
    int settingsVersion() const { return m_version; }

    /// Writes all targets' entries again; those that drain say so.
    void writeTargets();
    void setDraining(std::size_t target, bool);
    bool isDraining(std::size_t target) const { return m_isDraining[target]; }

    /// Requests that the target got since the start.
    int requestsAt(std::size_t target) const { return m_targets[target]->calls(); }
    /// Runs of `/pay/slow` that were ended before their time.
    int cancelledSlowRequests() const { return m_cancelledSlowRequests; }

    /// Calls of targets fail in this share of the cases, 0 to 1.
    void setTargetFaultShare(double share) { m_targetFaultShare = share; }

    int readiness(const GatewayProcess&) const;

private:
    void serve(fakes::TargetCall&, const std::string& target);
    void serveStream(fakes::TargetCall&, const std::string& request);
    bool injectTargetFault(fakes::TargetCall&, const std::string& request, const std::string& target);
    double random();

    FleetOptions m_options;
    OutcomeChecker& m_checker;
    fakes::StoreFake m_store;
    std::vector<std::unique_ptr<fakes::TargetFake>> m_targets;
    std::vector<int> m_targetPorts; ///< Of the relay.
    std::vector<std::atomic<bool>> m_isDraining;
    std::unique_ptr<Process> m_relay;
    int m_relayControlPort { 0 };
    std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
    std::string m_folder;
    std::atomic<int> m_version { 0 };
    std::atomic<int> m_sequence { 0 };
    std::atomic<int> m_cancelledSlowRequests { 0 };
    std::atomic<double> m_targetFaultShare { 0 };
    std::mutex m_randomMutex;
    pcg32 m_random;
};

/// The number of events of every stream.
inline constexpr int eventsPerStream = 6;
/// How long a request to `/pay/slow` works.
inline constexpr std::chrono::milliseconds slowRequestTime { 1500 };

} // namespace limpetpond::faultsoak
