#pragma once

/// Transfer of settings from one instance to another.

#include "gen/limpetpond_types.h"
#include "store/SettingsHolder.h"

namespace limpetpond {

/// Converts an accepted change to its Thrift form.
rpc::SettingsChange toThrift(const AcceptedChange&);

/// Converts the Thrift form of an accepted change. Errors: CallError Malformed.
Result<AcceptedChange> fromThrift(const rpc::SettingsChange&);

/// Makes the update for a peer that holds version `after`: the newer changes, or the whole tree when they are no longer held.
///
///     return makeSettingsUpdate(holder, SettingsVersion(after));
rpc::SettingsUpdate makeSettingsUpdate(const SettingsHolder&, SettingsVersion after);

/// Applies an update from a peer to the holder and returns the settings in force. Errors: CallError Malformed.
///
///     post(SettingsArrived { applySettingsUpdate(holder, update).value() });
Result<std::shared_ptr<const Settings>> applySettingsUpdate(SettingsHolder&, const rpc::SettingsUpdate&);

} // namespace limpetpond
