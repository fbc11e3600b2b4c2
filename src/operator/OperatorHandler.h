#pragma once

/// The Thrift service of an instance for operators.

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

/// What the operator service needs from the daemon. The functions may be called from any thread.
struct OperatorHandlerOptions {
    Secret secret; ///< If not set, every call is refused.
    SettingsHolder* holder { nullptr };
    SettingsStore* store { nullptr };
    const Clock* clock { nullptr };
    std::function<std::shared_ptr<const ControlStatus>()> status; ///< Returns the newest snapshot, or null before the first one.
    std::function<void(std::shared_ptr<const Settings>)> postSettings; ///< Posts accepted settings to the control thread.
    std::function<void(AlarmKind, std::string)> raiseAlarm;
    std::function<std::vector<RecordedEntry>(std::uint64_t after, const RequestId&)> timeline;
    std::string process; ///< The name of this process in the timeline.
    std::vector<EffectiveSetting> processSettings; ///< With secrets masked.
    std::chrono::milliseconds acceptTimeout { 8'000 }; ///< The maximum time that a call waits until a majority holds its change.
    std::chrono::milliseconds pollPeriod { 20 }; ///< The period of checking whether a majority holds a change.
};

/// Makes the service's processor. Refusals are `OperatorRefused` with the codes conflict, invalid_setting,
/// store_unavailable, store_went_back, unknown_outcome, unauthorized, cut_off and not_found.
///
///     server.addService(operatorServiceName, makeOperatorProcessor(options));
std::shared_ptr<apache::thrift::TProcessor> makeOperatorProcessor(OperatorHandlerOptions);

/// Makes the service's handler, for callers in the same process.
std::shared_ptr<rpc::OperatorServiceIf> makeOperatorHandler(OperatorHandlerOptions);

/// Formats a snapshot as JSON. docs/OPERATIONS.md lists the keys.
std::string statusAsJson(const ControlStatus&, const std::vector<EffectiveSetting>& processSettings, SteadyTime now);

} // namespace limpetpond
