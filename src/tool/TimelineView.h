#pragma once

/// The events of all instances as text, as an HTML page and as Chrome trace JSON.

#include "gen/limpetpond_types.h"
#include <string>
#include <vector>

namespace limpetpond::tool {

/// Sorts events in causal order: by logical time, then by system time, process and sequence.
void sortCausally(std::vector<rpc::TimelineEvent>&);

/// The events as text, one line for each.
///
///     std::cout << timelineText(events);
std::string timelineText(const std::vector<rpc::TimelineEvent>&);

/// A self-contained HTML page with a lane for each instance, filters by request, target and
/// instance, and zoom.
std::string timelineHtml(const std::vector<rpc::TimelineEvent>&);

/// JSON in the Trace Event Format: a process for each instance, a span for each request at an instance, and an
/// instant event for each event.
std::string timelineChromeTrace(const std::vector<rpc::TimelineEvent>&);

} // namespace limpetpond::tool
