#pragma once

/// Settings on their way from one instance to another.

#include "gen/limpetpond_types.h"
#include "store/SettingsHolder.h"

namespace limpetpond {

/// The Thrift form of an accepted change.
rpc::SettingsChange toThrift(const AcceptedChange&);

/// Errors: CallError Malformed.
Result<AcceptedChange> fromThrift(const rpc::SettingsChange&);

/// What a peer that holds `after` needs: the changes, or the whole tree where they are no longer held.
///
///     return makeSettingsUpdate(holder, SettingsVersion(after));
rpc::SettingsUpdate makeSettingsUpdate(const SettingsHolder&, SettingsVersion after);

/// Takes a peer's update into the holder and returns the settings in force. Errors: CallError Malformed.
///
///     post(SettingsArrived { applySettingsUpdate(holder, update).value() });
Result<std::shared_ptr<const Settings>> applySettingsUpdate(SettingsHolder&, const rpc::SettingsUpdate&);

} // namespace limpetpond
