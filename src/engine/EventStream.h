#pragma once

/// Server-sent events, as the HTML standard defines their text.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

struct ServerSentEvent {
    std::string id; ///< Empty where the event has none.
    std::string data; ///< Its data lines, joined by newlines.
    bool operator==(const ServerSentEvent&) const = default;
};

/// The most bytes of one event.
constexpr std::size_t maxEventBytes = std::size_t { 1 } << 20;

/// Cuts a byte stream into events.
///
///     EventStreamParser parser;
///     for (const ServerSentEvent& event : parser.parse(bytes)) use(event);
class EventStreamParser {
public:
    /// The events that the bytes complete.
    std::vector<ServerSentEvent> parse(std::string_view bytes);

    /// An event grew over `maxEventBytes`; nothing more is given out.
    bool isEventTooLarge() const { return m_eventTooLarge; }

private:
    void parseLine(std::string_view line, std::vector<ServerSentEvent>& events);

    std::string m_partialLine; ///< The start of a line whose end hasn't come.
    ServerSentEvent m_event;
    bool m_hasData { false };
    bool m_eventTooLarge { false };
};

} // namespace limpetpond
