#pragma once

/// Conversion between the core's messages and their Thrift forms.

#include "core/Messages.h"
#include "gen/limpetpond_types.h"

namespace limpetpond {

/// The Thrift form of a heartbeat. Ages are rounded up to whole milliseconds, so that they never shrink on the way.
///
///     rpc::Heartbeat wire = toThrift(news);
rpc::Heartbeat toThrift(const Heartbeat&);

/// The heartbeat that a Thrift form stands for; numbers out of range become the nearest one in range.
///
///     Heartbeat news = fromThrift(wire);
Heartbeat fromThrift(const rpc::Heartbeat&);

} // namespace limpetpond
