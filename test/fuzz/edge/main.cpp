/// Fuzzes what the gateway parses from the wire: requests of callers, answers and events of targets, updates of
/// peers. The result must not depend on where the input is split, and a request that is written again must parse the
/// same.

#include "core/EventScanner.h"
#include "gateway/HttpText.h"
#include "gateway/PeerUpdates.h"
#include "gateway/TableCopy.h"
#include "traffic/HttpParser.h"
#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

using namespace limpetpond;

namespace {

constexpr ByteCount headerLimit { 16384 };
constexpr ByteCount bodyLimit { 65536 };

void check(bool holds)
{
    if (!holds)
        std::abort();
}

/// Feeds the text in pieces; true where it holds a whole message.
template <typename Parser>
bool feed(Parser& parser, std::string_view text, std::size_t pieceSize)
{
    std::string input;
    for (std::size_t at = 0; at < text.size() && !parser.is_done(); at += pieceSize) {
        input.append(text.substr(at, pieceSize));
        bool needsMore = false;
        while (!needsMore && !input.empty() && !parser.is_done()) {
            boost::system::error_code error;
            std::size_t used = putBytes(parser, input, error);
            input.erase(0, used);
            if (error && error != boost::beast::http::error::need_more)
                return false;
            needsMore = error || !used;
        }
    }
    return parser.is_done();
}

std::string bodyText(const ReceivedRequest& request) { return request.body ? request.body->text() : std::string(); }

std::optional<ReceivedRequest> parseRequest(std::string_view text, std::size_t pieceSize)
{
    RequestParser parser(headerLimit, bodyLimit);
    if (!feed(parser, text, pieceSize))
        return std::nullopt;
    return parser.takeRequest();
}

void fuzzRequest(std::string_view text)
{
    std::optional<ReceivedRequest> whole = parseRequest(text, text.size());
    std::optional<ReceivedRequest> bytewise = parseRequest(text, 1);
    check(whole.has_value() == bytewise.has_value());
    if (!whole)
        return;
    check(bodyText(*whole) == bodyText(*bytewise) && whole->path == bytewise->path);
    // The request that is sent to a target must parse as the same request.
    std::string sent = targetRequestHead(*whole, { .target = "t", .account = "a", .millisecondsLeft = 1 }) + bodyText(*whole);
    std::optional<ReceivedRequest> received = parseRequest(sent, sent.size());
    check(received && received->method == whole->method && received->path == whole->path && bodyText(*received) == bodyText(*whole));
}

struct ParsedAnswer {
    int status { 0 };
    std::string body;
    bool operator==(const ParsedAnswer&) const = default;
};

class Collector final : public AnswerSink {
public:
    void onAnswerHead(HttpAnswerHead&& head) override { m_answer.status = head.status; }
    void onAnswerBody(std::string_view bytes) override { m_answer.body.append(bytes); }
    const ParsedAnswer& answer() const { return m_answer; }

private:
    ParsedAnswer m_answer;
};

std::optional<ParsedAnswer> parseAnswer(std::string_view text, std::size_t pieceSize)
{
    Collector collector;
    AnswerParser parser(collector);
    if (!feed(parser, text, pieceSize))
        return std::nullopt;
    return collector.answer();
}

std::string scanInPieces(std::string_view text, std::size_t pieceSize, EventScanner& scanner)
{
    std::string whole;
    for (std::size_t at = 0; at < text.size(); at += pieceSize)
        whole += scanEvents(scanner, text.substr(at, pieceSize)).whole;
    return whole;
}

void fuzzEvents(std::string_view text)
{
    EventScanner atOnce;
    EventScanner bytewise;
    std::string whole = scanInPieces(text, text.size(), atOnce);
    check(whole == scanInPieces(text, 1, bytewise));
    check(atOnce.lastId == bytewise.lastId && atOnce.isOutOfOrder == bytewise.isOutOfOrder);
    check(atOnce.isOutOfOrder ? text.starts_with(whole) : whole + atOnce.held == text);
}

} // namespace

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (!size)
        return 0;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    fuzzRequest(text);
    check(parseAnswer(text, text.size()) == parseAnswer(text, 1));
    fuzzEvents(text);
    if (std::optional<InstanceUpdate> update = decodeUpdate(text))
        check(decodeUpdate(encodeUpdate(*update)).has_value());
    constexpr StoreEpoch ownEpoch { 7 };
    if (std::optional<TableDelta> delta = decodeDelta(text, ownEpoch)) {
        std::optional<TableDelta> again = decodeDelta(encodeDelta(*delta), StoreEpoch());
        check(again && again->version == delta->version);
    }
    if (std::optional<TableVersion> version = parseVersion(text, ownEpoch))
        check(parseVersion(versionText(*version), StoreEpoch()) == version);
    return 0;
}
