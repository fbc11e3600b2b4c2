#pragma once

/// The operators' Thrift service of an instance.

#include "base/ProcessSettings.h"
#include "base/Timeline.h"
#include "core/ControlStatus.h"
#include "gen/OperatorService.h"
#include "store/SettingsHolder.h"
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thrift/TProcessor.h>
#include <vector>

namespace limpetpond {

/// What the operators' service needs from the daemon. The functions may be called from any thread.
struct OperatorHandlerOptions {
    Secret secret; ///< Not set: every call is refused.
    SettingsHolder* holder { nullptr };
    SettingsStore* store { nullptr };
    const Clock* clock { nullptr };
    std::function<std::shared_ptr<const ControlStatus>()> status; ///< The newest snapshot; may give null before the first.
    std::function<void(std::shared_ptr<const Settings>)> postSettings; ///< Hands accepted settings to the control thread.
    std::function<void(AlarmKind, std::string)> raiseAlarm;
    std::function<std::vector<RecordedEntry>(std::uint64_t after, const RequestId&)> timeline;
    std::string process; ///< The name of this process in the time line.
    std::vector<ShownSetting> processSettings; ///< With secrets masked.
    std::chrono::milliseconds acceptTimeout { 8'000 }; ///< How long a change waits for a majority to hold it.
    std::chrono::milliseconds pollPeriod { 20 };
};

/// The service. Refusals are `OperatorRefused` with the codes conflict, invalid_setting,
/// store_unavailable, store_went_back, unknown_outcome, unauthorized, cut_off and not_found.
///
///     server.addService(operatorServiceName, makeOperatorProcessor(options));
std::shared_ptr<apache::thrift::TProcessor> makeOperatorProcessor(OperatorHandlerOptions);

/// The service itself, for callers in the same process.
std::shared_ptr<rpc::OperatorServiceIf> makeOperatorHandler(OperatorHandlerOptions);

/// A snapshot as JSON, as docs/OPERATIONS.md lists it.
std::string statusAsJson(const ControlStatus&, const std::vector<ShownSetting>& processSettings, SteadyTime now);

} // namespace limpetpond
