#pragma once

/// One instance: puts the parts together, serves and drains.

#include "base/ProcessSettings.h"
#include "limpetpond/Clock.h"
#include <memory>

namespace limpetpond {

/// The running parts of one instance.
///
///     Daemon daemon(settings, clock);
///     BOOST_LEAF_CHECK(daemon.start());
class Daemon {
public:
    Daemon(const ProcessSettings&, const Clock&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Binds every port before anything is served. Errors: InvalidSetting.
    Result<void> start();

    /// Stops taking callers, lets what runs come to its end within the limit, and stops all threads.
    void drainAndStop();

private:
    struct Components;
    std::unique_ptr<Components> m_components;
};

} // namespace limpetpond
