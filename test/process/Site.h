#pragma once

/// A complete site of real daemons and fakes, for tests of failures.

#include "core/Guard.h"
#include "gen/OperatorService.h"
#include "http/HttpClient.h"
#include "test/process/Processes.h"
#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// The bearer keys of the site's client accounts: one of the higher tier, one of the lower.
inline const std::string urgentKey = "urgent-key-of-tests";
inline const std::string plainKey = "plain-key-of-tests";

struct SiteOptions {
    int daemons { 4 };
    int engines { 2 };
    std::vector<std::string> engineFlags;
    std::vector<std::string> daemonFlags;
    boost::json::object draftPool; ///< Further settings of the pool of engines.
    boost::json::object targets; ///< Further settings of each engine target.
    bool relaysTargets { false }; ///< Connects the daemons to the engines and the service through a relay.
    bool relaysTable { false }; ///< Connects the daemons to the table service through a relay.
    GuardId disabledGuard { GuardId::None }; ///< Disabled in every daemon, to check that a test fails without it.
};

struct DaemonPorts {
    int caller { 0 };
    int peer { 0 };
};

/// The callers' outcomes, in the order in which the calls ended.
struct LoadResult {
    boost::json::object summary;
    std::vector<boost::json::object> records;

    std::int64_t count(const std::string& outcome) const; ///< From the summary.
    std::int64_t countOf(const std::string& key, const std::string& outcome) const; ///< For one bearer key.
};

/// Simulated callers in a process of their own.
///
///     LoadGenerator load(site.callerPorts(), { "--requests=100" });
///     LoadResult result = load.finish();
class LoadGenerator {
public:
    LoadGenerator(const std::vector<int>& ports, std::vector<std::string> flags);

    /// Waits for all callers.
    LoadResult finish();

    /// Waits until this number of calls have ended.
    void waitForRecords(std::size_t);

private:
    bool readRecord();

    Process m_process;
    LoadResult m_result;
    bool m_ended { false };
};

/// Starts the fakes and the daemons, writes the site's settings and waits until all daemons are ready with them.
class Site {
public:
    explicit Site(SiteOptions = {});

    Process& daemon(std::size_t i) { return *m_daemons.at(i); }
    const DaemonPorts& ports(std::size_t i) const { return m_ports.at(i); }
    std::vector<int> callerPorts() const;

    /// Control calls and counters of the fakes.
    void setStore(const boost::json::object& faults) const;
    void setEngine(std::size_t i, const boost::json::object& faults) const;
    void setService(const boost::json::object& faults) const;
    void setTargetLink(int link, const boost::json::object& faults) const; ///< Engines in their order, then the service.
    void setTableLink(const boost::json::object& faults) const;
    boost::json::object engineRuns(std::size_t i) const;
    std::int64_t engineCount(std::size_t i, const std::string& name) const;
    boost::json::object serviceRuns() const;

    /// Sends an operator's change to one daemon. An empty field sets a whole branch.
    rpc::ChangeReply change(std::size_t daemon, const std::string& path, const std::string& field, const std::string& value, std::int64_t readVersion = -1) const;
    rpc::TargetStatus targetStatus(std::size_t daemon, const std::string& target) const;
    std::string valueAt(std::size_t daemon, const std::string& path, const std::string& field) const;
    bool isReady(std::size_t daemon) const;

    /// Returns the violated promises, one line each; empty if there are none. Checks that each caller has one outcome and
    /// its own complete answer, that no request ran twice and that none ran that was answered as not run.
    std::string promiseViolations(const LoadResult&) const;

private:
    void startFakes();
    void startDaemons();
    void seedSettings();
    bool startsServing(std::size_t daemon) const;

    SiteOptions m_options;
    std::unique_ptr<Process> m_platform;
    std::vector<std::unique_ptr<Process>> m_engines;
    std::unique_ptr<Process> m_service;
    std::unique_ptr<Process> m_targetRelay;
    std::unique_ptr<Process> m_tableRelay;
    std::vector<std::unique_ptr<Process>> m_daemons;
    int m_tablePort { 0 };
    int m_platformPort { 0 };
    std::vector<int> m_enginePorts;
    int m_servicePort { 0 };
    std::vector<int> m_targetPorts; ///< As the daemons see them; the service last.
    int m_targetRelayPort { 0 };
    int m_tableRelayPort { 0 };
    int m_tablePortOfDaemons { 0 };
    std::vector<DaemonPorts> m_ports;
};

} // namespace limpetpond
