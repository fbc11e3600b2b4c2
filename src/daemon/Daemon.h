#pragma once

/// One instance of limpetpond: creates its components, serves requests and drains.

#include "base/ProcessSettings.h"
#include "limpetpond/Clock.h"
#include <memory>

namespace limpetpond {

/// Owns the components of one instance.
///
///     Daemon daemon(settings, clock);
///     BOOST_LEAF_CHECK(daemon.start());
class Daemon {
public:
    Daemon(const ProcessSettings&, const Clock&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Binds every port before any request is served. Errors: InvalidSetting.
    Result<void> start();

    /// Rejects new requests, waits for those in progress up to the drain limit, and stops all threads.
    void drainAndStop();

private:
    struct Components;
    std::unique_ptr<Components> m_components;
};

} // namespace limpetpond
