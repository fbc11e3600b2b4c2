#include "engine/EventStream.h"

#include <utility>

namespace limpetpond {

std::vector<ServerSentEvent> EventStreamParser::parse(std::string_view bytes)
{
    std::vector<ServerSentEvent> events;
    if (m_eventTooLarge)
        return events;
    m_partialLine += bytes;
    std::size_t start = 0;
    for (std::size_t end = m_partialLine.find('\n'); end != std::string::npos; end = m_partialLine.find('\n', start)) {
        std::string_view line = std::string_view(m_partialLine).substr(start, end - start);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        parseLine(line, events);
        start = end + 1;
    }
    m_partialLine.erase(0, start);
    m_eventTooLarge = m_partialLine.size() + m_event.data.size() > maxEventBytes;
    return events;
}

void EventStreamParser::parseLine(std::string_view line, std::vector<ServerSentEvent>& events)
{
    if (line.empty()) {
        if (m_hasData)
            events.push_back(std::move(m_event));
        m_event = {};
        m_hasData = false;
        return;
    }
    std::size_t colon = line.find(':');
    std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "id")
        m_event.id = value;
    if (field != "data")
        return;
    if (m_hasData)
        m_event.data += '\n';
    m_event.data += value;
    m_hasData = true;
}

} // namespace limpetpond
