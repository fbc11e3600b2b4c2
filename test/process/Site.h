#pragma once

/// A whole site of real daemons and stand-ins, for tests of what fails.

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
    bool relaysTargets { false }; ///< A relay stands before each engine and the service.
    bool relaysTable { false }; ///< A relay stands before the table service.
    GuardId disabledGuard { GuardId::None }; ///< Switched off in every daemon, to see a test fail.
};

struct DaemonPorts {
    int caller { 0 };
    int peer { 0 };
};

/// What callers were told, in the order of their ends.
struct LoadResult {
    boost::json::object summary;
    std::vector<boost::json::object> records;

    std::int64_t count(const std::string& told) const; ///< From the summary.
    std::int64_t countOf(const std::string& key, const std::string& told) const; ///< For one bearer key.
};

/// Callers at work, as a process of their own.
class Load {
public:
    Load(const std::vector<int>& ports, std::vector<std::string> flags);

    /// Waits for all callers.
    LoadResult finish();

    /// Waits until so many callers have their answer.
    void waitForRecords(std::size_t);

private:
    bool readRecord();

    Process m_process;
    LoadResult m_result;
    bool m_ended { false };
};

/// Starts everything and waits until all daemons are ready with the site's settings.
class Site {
public:
    explicit Site(SiteOptions = {});

    Process& daemon(std::size_t i) { return *m_daemons.at(i); }
    const DaemonPorts& ports(std::size_t i) const { return m_ports.at(i); }
    std::vector<int> callerPorts() const;

    /// Control calls and counts of the stand-ins.
    void setStore(const boost::json::object& faults) const;
    void setEngine(std::size_t i, const boost::json::object& faults) const;
    void setService(const boost::json::object& faults) const;
    void setTargetLink(int link, const boost::json::object& faults) const; ///< Engines in their order, then the service.
    void setTableLink(const boost::json::object& faults) const;
    boost::json::object engineRuns(std::size_t i) const;
    std::int64_t engineCount(std::size_t i, const std::string& name) const;
    boost::json::object serviceRuns() const;

    /// One operator's change at one daemon. An empty field gives a whole branch.
    rpc::ChangeReply change(std::size_t daemon, const std::string& path, const std::string& field, const std::string& value, std::int64_t readVersion = -1) const;
    rpc::TargetStatus targetStatus(std::size_t daemon, const std::string& target) const;
    std::string valueAt(std::size_t daemon, const std::string& path, const std::string& field) const;
    bool isReady(std::size_t daemon) const;

    /// Faults of the outcome, one line each; empty when every promise that can be seen from outside held:
    /// one outcome a caller, whole answers of its own, no doubled run, nothing run that was told "not run".
    std::string faultsOf(const LoadResult&) const;

private:
    void startStandIns();
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
