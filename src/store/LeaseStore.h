#pragma once

/// Stores leases as rows of the table service.

#include "core/Messages.h"
#include "store/TableClient.h"

namespace limpetpond {

/// Reads or writes the row of a lease and returns the result. A failed call gives NoAnswer.
///
///     LeaseAnswered answered = accessLease(table, access);
///     control.post(answered);
LeaseAnswered accessLease(TableClient&, const AccessLease&);

} // namespace limpetpond
