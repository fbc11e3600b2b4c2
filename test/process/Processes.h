#pragma once

/// Programs that a test starts beside itself and ends by their ids.

#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace limpetpond {

/// One running program of the build folder; it is killed at the latest when the object goes.
///
///     Process engine("fake-engine", { "--decode_rate=200" });
///     int port = std::stoi(engine.readLine());
class Process {
public:
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::vector<std::string>& environment = {});
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// The next line of its standard output; empty at the end.
    std::string readLine();

    void sendSignal(int signal) const;
    void kill();

    /// Waits for its end and returns its status; -1 after the time.
    int waitForEnd(std::chrono::milliseconds);

    bool isRunning();

private:
    pid_t m_pid { -1 };
    int m_output { -1 };
    int m_status { -1 };
    bool m_ended { false };
    std::string m_buffer;
};

/// A loopback port that was free a moment ago.
int freePort();

/// Asks until the condition holds; false when it didn't within the time.
bool eventually(std::chrono::milliseconds, const std::function<bool()>& condition);

} // namespace limpetpond
