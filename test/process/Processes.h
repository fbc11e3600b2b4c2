#pragma once

/// Child processes of a test, which it ends by their ids.

#include "test/FreePort.h"
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace limpetpond {

/// A running program of the build folder. The destructor kills it if it still runs.
///
///     Process engine("fake-engine", { "--decode_rate=200" });
///     int port = std::stoi(engine.readLine());
class Process {
public:
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::vector<std::string>& environment = {});
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Returns the next line of its standard output; empty at the end.
    std::string readLine();

    void sendSignal(int signal) const;
    void kill();

    /// Waits for its end and returns its exit status, or 128 plus the signal; -1 on a timeout.
    int waitForEnd(std::chrono::milliseconds);

    bool isRunning();

    /// Its process id, for the kernel's figures about it.
    pid_t id() const { return m_pid; }

private:
    pid_t m_pid { -1 };
    int m_output { -1 };
    int m_status { -1 };
    bool m_ended { false };
    std::string m_buffer;
};

/// Polls until the condition holds. Returns false on a timeout.
bool eventually(std::chrono::milliseconds, const std::function<bool()>& condition);

} // namespace limpetpond
