#pragma once

/// One `limpetpond-gateway` process with fakes of the store and of a target, for tests of its memory and descriptors.

#include "test/fakes/edge/StoreFake.h"
#include "test/fakes/edge/TargetFake.h"
#include "test/process/Processes.h"
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace limpetpond {

/// What the settings file of the gateway says of its machine.
struct GatewayProcessOptions {
    int memoryMegabytes { 96 }; ///< `limits.ramMb`
    int maxDescriptors { 700 }; ///< `limits.maxFds`
    int slots { 8 }; ///< Of the target.
};

/// Runs the program on loopback addresses. Requests to `/read/`, `/pay/` and `/draft/` go to the target's handler; `/draft/`
/// is a streaming route. The destructor kills the process and removes its files.
///
///     GatewayProcess gateway({ .memoryMegabytes = 64 }, [](fakes::TargetCall& call) { call.answer(200, "done"); });
///     STRCMP_EQUAL("200", gateway.statusOfSmallRequest().c_str());
class GatewayProcess {
public:
    GatewayProcess(const GatewayProcessOptions&, fakes::TargetFake::Handler);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    int callerPort() const { return m_callerPort; }

    /// Whether it became ready within some seconds after its start.
    bool isReady() const { return m_isReady; }

    bool isRunning() { return m_process->isRunning(); }

    void sendSignal(int signal) const { m_process->sendSignal(signal); }

    /// The most memory that it has held so far, in bytes (`VmHWM`).
    std::size_t peakMemory() const;

    std::size_t openDescriptors() const;

    /// Sends a request without a body on a connection of its own, and returns the status of the answer; "none" without an answer.
    std::string statusOfSmallRequest() const;

    /// Sends one whole request with this body, and returns the status of the answer. The field tells how the body is framed.
    std::string statusOfRequest(const std::string& framingField, const std::string& framedBody) const;

    /// The value of one of its metrics; -1 if there is none of this name.
    double metricValue(const std::string& name) const;

private:
    std::string writeSettingsFile(const GatewayProcessOptions&);

    fakes::StoreFake m_store;
    fakes::TargetFake m_target;
    std::string m_folder;
    int m_callerPort;
    int m_readinessPort;
    int m_peerPort;
    std::unique_ptr<Process> m_process;
    std::thread m_output; ///< Reads the log, so that the pipe doesn't fill up.
    bool m_isReady { false };
};

} // namespace limpetpond
