#pragma once

/// Parser for server-sent events (text/event-stream, as the HTML standard defines it).

#include "core/EventScanner.h"
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

struct ServerSentEvent {
    std::string id; ///< Empty if the event has none.
    std::string data; ///< The data lines, joined by newlines.
    bool operator==(const ServerSentEvent&) const = default;
};

/// Splits a byte stream into events. The bytes may be divided between calls at any position.
///
///     EventStreamParser parser;
///     for (const ServerSentEvent& event : parser.parse(bytes)) use(event);
class EventStreamParser {
public:
    /// Returns the events that these bytes complete.
    std::vector<ServerSentEvent> parse(std::string_view bytes);

    /// Whether an event exceeded `maxEventBytes`; `parse` returns no events after that.
    bool isEventTooLarge() const { return m_eventTooLarge; }

private:
    void parseLine(std::string_view line, std::vector<ServerSentEvent>& events);

    std::string m_partialLine; ///< A line whose end has not been received.
    ServerSentEvent m_event;
    bool m_hasData { false };
    bool m_eventTooLarge { false };
};

} // namespace limpetpond
