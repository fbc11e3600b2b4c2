#pragma once

/// Splits a `text/event-stream` into whole events and reads their ids.
///
/// Load pattern: targets fail in the middle of an event. Only whole events are passed on, so that the stream can resume
/// at another target after the last id that the caller has received. What doesn't continue the stream, such as an error in
/// place of its rest, is held back.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetpond {

/// Longest event. A target in trouble may send bytes without end that never complete an event.
inline constexpr std::size_t maxEventBytes = 1U << 20;

/// The state of one stream between two pieces.
struct EventScanner {
    std::string held; ///< The beginning of an event whose end has not arrived; at most `maxEventBytes`.
    std::size_t searched { 0 }; ///< Bytes of `held` that hold only whole lines and no end of an event.
    std::optional<std::uint64_t> heldId; ///< The id in the searched bytes.
    bool isHeldComment { true }; ///< The searched bytes hold no line but comments.
    bool isTooLong { false }; ///< An event exceeded `maxEventBytes`; nothing of it is kept.
    bool isOutOfOrder { false }; ///< An event didn't follow the last one; neither it nor anything behind it is returned.
    std::optional<std::uint64_t> lastId; ///< Of the last event that was returned and has an id.
    bool isResumed { false }; ///< The next event must have the id that directly follows `lastId`.
};

/// The events that one piece of a stream completed.
struct ScannedEvents {
    std::string whole; ///< Bytes of whole events, in order.
    int count { 0 }; ///< Number of events in `whole`.
};

/// Appends a piece of the stream and returns the events that are now whole. Once an event has had an id, each further one
/// must have a higher id, unless it consists of comments; after `dropPartialEvent()` the first one must have the next id.
///
///     EventScanner scanner;
///     scanEvents(scanner, "id: 1\ndata: a\n\nid: 2").whole == "id: 1\ndata: a\n\n";
ScannedEvents scanEvents(EventScanner&, std::string_view piece);

/// Drops the event whose end has not arrived; the next piece begins a new event, which follows the last one returned.
///
///     dropPartialEvent(scanner); // before the stream is resumed at another target
void dropPartialEvent(EventScanner&);

/// Whether the last event has begun and not ended.
bool isMidEvent(const EventScanner&);

} // namespace limpetpond
