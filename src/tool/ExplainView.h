#pragma once

/// Finds the outcome of a request and its cause in the logs of gateways.

#include <boost/json/object.hpp>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace limpetpond::tool {

/// A line of a gateway's log.
struct LogLine {
    std::int64_t timeMs { 0 }; ///< Unix time by the instance's clock.
    std::string instance;
    std::string event;
    boost::json::object fields; ///< All fields of the line.
};

/// Reads lines that have a JSON object, also after a prefix such as a time stamp, and skips all others.
///
///     std::vector<LogLine> lines = readLogLines(file);
std::vector<LogLine> readLogLines(std::istream&);

/// The outcome of a request, with the log lines that show it.
struct Explanation {
    std::vector<LogLine> requestLines; ///< Lines with the id of the request, by time.
    std::vector<LogLine> relatedLines; ///< Lines of its instances about its targets, the store, settings and peers at that time.
    std::string cause; ///< One clause; empty if no line has the id of the request.
};

/// Explains a request by its id.
///
///     std::cout << explanationText(explain(lines, "7a9b3fda006ccdcd"));
Explanation explain(const std::vector<LogLine>&, const std::string& request);

/// The explanation as text: a line for each event with the milliseconds since the request's first line, then the cause.
std::string explanationText(const Explanation&);

} // namespace limpetpond::tool
