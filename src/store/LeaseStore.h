#pragma once

/// Leases as rows of the table service.

#include "core/Messages.h"
#include "store/TableClient.h"

namespace limpetpond {

/// Carries out the operation of a lease and reports how it went.
///
///     LeaseAnswered answered = accessLease(table, access);
///     control.post(answered);
LeaseAnswered accessLease(TableClient&, const AccessLease&);

} // namespace limpetpond
