#pragma once

/// Finds the ends and ids of the events of a `text/event-stream` without copying what needs no holding.
///
/// Load pattern: targets that stop in the middle of an event. Only whole events are passed on, so a
/// stream can go on at another target after the last id that the caller has.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetpond {

/// The state between two pieces of one stream.
struct EventScanner {
    std::string held; ///< The beginning of an event whose end has not come yet.
    std::optional<std::uint64_t> lastId; ///< Of the last whole event with an id.
};

/// What one piece of a stream completed.
struct ScannedEvents {
    std::string whole; ///< Bytes of whole events, in order.
    int count { 0 };
    std::optional<std::uint64_t> firstId; ///< Of the first event in `whole` with an id.
};

/// Takes in a piece and gives out the events that are whole now.
///
///     EventScanner scanner;
///     scanEvents(scanner, "id: 1\ndata: a\n\nid: 2").whole == "id: 1\ndata: a\n\n";
ScannedEvents scanEvents(EventScanner&, std::string_view piece);

/// True where bytes of an unfinished event are held.
bool isMidEvent(const EventScanner&);

} // namespace limpetpond
