#pragma once

/// The events of all processes as text, as an HTML page and as Chrome trace JSON.

#include "gen/limpetpond_types.h"
#include <string>
#include <vector>

namespace limpetpond::tool {

/// Brings events into causal order: by logical time, then by system time, process and sequence.
void sortCausally(std::vector<rpc::TimelineEvent>&);

/// One line for each event.
///
///     std::cout << timelineText(events);
std::string timelineText(const std::vector<rpc::TimelineEvent>&);

/// A page that needs nothing else: a lane for each process, filters by request, target and
/// instance, and zoom.
std::string timelineHtml(const std::vector<rpc::TimelineEvent>&);

/// The Trace Event Format: a process for each of ours, a span for each request, an instant for each event.
std::string timelineChromeTrace(const std::vector<rpc::TimelineEvent>&);

} // namespace limpetpond::tool
