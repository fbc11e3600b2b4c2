#pragma once

/// Ends what a test has started before the variables of its body go.

#include <functional>
#include <utility>

namespace limpetpond {

/// Returned by a fixture's `start()`. Handlers of stand-ins run on threads of their own and refer to variables of the test's
/// body; these are declared before the start, so they outlive the threads that this joins.
///
///     [[nodiscard]] Running start();
///     auto running = start();
class [[nodiscard]] Running {
public:
    explicit Running(std::function<void()> stop)
        : m_stop(std::move(stop))
    {
    }
    ~Running() { m_stop(); }

    Running(const Running&) = delete;
    Running& operator=(const Running&) = delete;

private:
    std::function<void()> m_stop;
};

} // namespace limpetpond
