#pragma once

/// Callers that keep their connections open until the other side ends them, and check every answer.

#include "test/RawConnection.h"
#include "test/faultsoak/Fleet.h"
#include <memory>
#include <optional>
#include <string>

namespace limpetpond::faultsoak {

/// One caller of one gateway.
class Caller {
public:
    Caller(Fleet&, GatewayProcess&, OutcomeChecker&, std::string name);

    /// Sends one request of the path and checks its answer; the status, or 0 where the connection ended.
    int call(const std::string& path);

    /// Sends a request and closes the connection soon after.
    void callAndDisconnect(const std::string& path);

    /// Asks for the newest route that was seen in force at this incarnation of the gateway.
    void checkSettings();

private:
    std::string send(const std::string& path);
    int checkAnswer(const std::string& request, const std::string& path, const std::string& answer);
    void checkStream(const std::string& request, const std::string& answer, bool isWhole);

    Fleet& m_fleet;
    GatewayProcess& m_gateway;
    OutcomeChecker& m_checker;
    std::string m_name;
    int m_sent { 0 };
    std::unique_ptr<RawConnection> m_connection;
    int m_seenIncarnation { 0 };
    int m_seenVersion { 1 };
};

} // namespace limpetpond::faultsoak
