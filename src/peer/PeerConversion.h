#pragma once

/// Conversion between the core's heartbeat and its Thrift form.

#include "core/Messages.h"
#include "gen/limpetpond_types.h"

namespace limpetpond {

/// Converts a heartbeat to its Thrift form. Ages are rounded up to whole milliseconds, so that the receiver never sees a lower age.
///
///     rpc::Heartbeat wire = toThrift(heartbeat);
rpc::Heartbeat toThrift(const Heartbeat&);

/// Converts the Thrift form of a heartbeat. Numbers out of range are clamped; an unknown member state becomes Suspected,
/// and a negative or excessive age becomes none.
///
///     Heartbeat heartbeat = fromThrift(wire);
Heartbeat fromThrift(const rpc::Heartbeat&);

} // namespace limpetpond
