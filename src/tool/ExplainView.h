#pragma once

/// From a request's id to the cause of its end, out of the log lines of any number of gateways.

#include <boost/json/object.hpp>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace limpetpond::tool {

/// One line of a gateway's log.
struct LogLine {
    std::int64_t timeMs { 0 }; ///< Unix milliseconds by the instance's clock.
    std::string instance;
    std::string event;
    boost::json::object fields; ///< All fields of the line.
};

/// Reads lines that hold a JSON object, also behind a prefix such as a time stamp; others are left out.
///
///     std::vector<LogLine> lines = readLogLines(file);
std::vector<LogLine> readLogLines(std::istream&);

/// What became of a request, and why.
struct Explanation {
    std::vector<LogLine> requestLines; ///< Lines that name the request, in order of time.
    std::vector<LogLine> relatedLines; ///< What its instances noted meanwhile of its targets, the store, settings and peers.
    std::string cause; ///< One sentence; empty where no line names the request.
};

/// Looks the request up.
///
///     std::cout << explanationText(explain(lines, "7a9b3fda006ccdcd"));
Explanation explain(const std::vector<LogLine>&, const std::string& request);

/// The explanation as text: one line for each event, with the milliseconds since the first, then the cause.
std::string explanationText(const Explanation&);

} // namespace limpetpond::tool
