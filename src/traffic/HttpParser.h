#pragma once

/// Strict incremental parsing of HTTP/1.1 requests and answers.
///
/// Boost.Beast parses the grammar. It accepts some messages that a target could read differently; these are
/// rejected here: folded fields, transfer codings other than chunked, Content-Length together with chunked coding,
/// and repeated Host or Content-Length fields. So are answers with a status below 100. One above 599 is passed on as it
/// is: it counts as a server error, and the caller can tell by itself that it has no other meaning.

#include "core/BufferAccount.h"
#include "limpetpond/Units.h"
#include "platform/WireFields.h"
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// One header field as received.
struct HeaderField {
    platform::Field meaning { platform::Field::Other };
    std::string name;
    std::string value;
};

/// The value of the first field with that meaning; empty if there is none.
std::string_view fieldValue(const std::vector<HeaderField>&, platform::Field);

/// True if a field with that meaning is present.
bool hasField(const std::vector<HeaderField>&, platform::Field);

/// False for hop-by-hop fields, the API key and fields that the gateway sets itself; these aren't forwarded.
bool isForwarded(platform::Field);

/// A complete request as received. `HttpRequest` of http/HttpClient is a request that the daemon sends.
struct ReceivedRequest {
    std::string method;
    std::string path; ///< The request target, including the query, as received.
    int version { 11 }; ///< 10 or 11
    std::vector<HeaderField> fields;
    std::shared_ptr<BlockBuffer> body; ///< Null for none. A connection to a target may hold it longer than the request.
    bool keepAlive { true };
};

inline std::size_t bodySize(const ReceivedRequest& request) { return request.body ? request.body->size() : 0; }
inline std::size_t bodyMemory(const ReceivedRequest& request) { return request.body ? request.body->memory() : 0; }

/// Status and header fields of an answer.
struct HttpAnswerHead {
    int status { 0 };
    std::vector<HeaderField> fields;
    bool keepAlive { true };
    bool isCloseDelimited { false }; ///< Has neither Content-Length nor chunked coding; the body ends when the connection closes.
};

/// Parses one request; fails if the header or the body exceeds its limit.
class RequestParser final : public boost::beast::http::basic_parser<true> {
public:
    /// Without an account the body isn't counted.
    RequestParser(ByteCount headerLimit, ByteCount bodyLimit, std::shared_ptr<BufferAccount> = nullptr);

    ReceivedRequest takeRequest() { return std::move(m_request); }
    const ReceivedRequest& request() const { return m_request; }

    /// Frees the part of the body that has arrived, and ignores the rest.
    void discardBody();

private:
    using View = boost::beast::string_view;
    using Error = boost::system::error_code;
    void on_request_impl(boost::beast::http::verb, View method, View target, int version, Error&) override;
    void on_response_impl(int, View, int, Error&) override { }
    void on_field_impl(boost::beast::http::field, View name, View value, Error&) override;
    void on_header_impl(Error&) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override { }
    std::size_t on_body_impl(View, Error&) override;
    void on_chunk_header_impl(std::uint64_t, View, Error&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, View, Error&) override;
    void on_finish_impl(Error&) override { }

    std::shared_ptr<BufferAccount> m_account;
    ReceivedRequest m_request;
    int m_hostFields { 0 };
    bool m_discardsBody { false };
};

/// Receives the parts of an answer as they are parsed.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;
    virtual void onAnswerHead(HttpAnswerHead&&) = 0;
    virtual void onAnswerBody(std::string_view) = 0;
};

/// Parses one answer and passes it on to a sink.
class AnswerParser final : public boost::beast::http::basic_parser<false> {
public:
    explicit AnswerParser(AnswerSink&);

private:
    using View = boost::beast::string_view;
    using Error = boost::system::error_code;
    void on_request_impl(boost::beast::http::verb, View, View, int, Error&) override { }
    void on_response_impl(int status, View reason, int version, Error&) override;
    void on_field_impl(boost::beast::http::field, View name, View value, Error&) override;
    void on_header_impl(Error&) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override { }
    std::size_t on_body_impl(View, Error&) override;
    void on_chunk_header_impl(std::uint64_t, View, Error&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, View, Error&) override;
    void on_finish_impl(Error&) override { }

    AnswerSink& m_sink;
    HttpAnswerHead m_head;
};

/// Longest part of a message that is parsed only as a whole. Boost.Beast limits the head itself, but not the line with a
/// chunk's length.
inline constexpr std::size_t maxUnparsedBytes = 131072;

/// Parses bytes and returns how many were consumed. Fails if more than `maxUnparsedBytes` are left that need more bytes. The caller passes the rest again, together with the bytes that follow it.
///
///     input.erase(0, putBytes(parser, input, error));
template <bool isRequest>
std::size_t putBytes(boost::beast::http::basic_parser<isRequest>& parser, std::string_view bytes, boost::system::error_code& error)
{
    // Boost.Beast's parser, resumed at the last chunk, assumes that at least five bytes are available.
    constexpr std::string_view lastChunkLine = "0\r\n";
    constexpr std::size_t minLastChunkBytes = 5;
    if (parser.is_header_done() && parser.chunked() && bytes.size() < minLastChunkBytes && bytes.substr(0, lastChunkLine.size()) == lastChunkLine) {
        error = boost::beast::http::error::need_more;
        return 0;
    }
    std::size_t used = parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    if (error == boost::beast::http::error::need_more && bytes.size() - used > maxUnparsedBytes)
        error = boost::beast::http::error::bad_chunk_extension;
    return used;
}

/// True if a line of the header block continues the previous one (obsolete line folding).
bool hasFoldedField(std::string_view header);

} // namespace limpetpond
