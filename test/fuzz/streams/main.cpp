/// Fuzzes the answers of engines: event streams cut at any byte, and their chunks.

#include "caller/CompletionAssembler.h"
#include "engine/EventStream.h"
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace limpetpond;

namespace {

std::vector<ServerSentEvent> parseInPieces(std::string_view text, std::size_t pieceSize)
{
    EventStreamParser parser;
    std::vector<ServerSentEvent> events;
    for (std::size_t at = 0; at < text.size(); at += pieceSize) {
        for (ServerSentEvent& event : parser.parse(text.substr(at, pieceSize)))
            events.push_back(std::move(event));
    }
    return events;
}

} // namespace

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (!size)
        return 0;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const std::vector<ServerSentEvent> whole = parseInPieces(text, size);
    if (parseInPieces(text, 1) != whole || parseInPieces(text, 7) != whole)
        std::abort();
    CompletionAssembler chat(CompletionKind::Chat);
    CompletionAssembler completion(CompletionKind::Text);
    for (const ServerSentEvent& event : whole) {
        chat.addChunk(event.data);
        completion.addChunk(event.data);
    }
    chat.toJson();
    completion.toJson();
    return 0;
}
