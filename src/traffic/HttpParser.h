#pragma once

/// Strict parsing of HTTP/1.1 requests and answers, a piece at a time.
///
/// The grammar is Boost.Beast's; what it accepts beyond the letter of the standard and could be
/// read differently by a target is refused here: folded fields, other transfer codings than chunked,
/// a length beside chunks, several host or length fields.

#include "limpetpond/Units.h"
#include "platform/WireFields.h"
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// One header field as it was received.
struct HeaderField {
    platform::Field meaning { platform::Field::Other };
    std::string name;
    std::string value;
};

/// The value of the first field with that meaning; empty where there is none.
std::string_view fieldValue(const std::vector<HeaderField>&, platform::Field);

/// True where a field with that meaning is present.
bool hasField(const std::vector<HeaderField>&, platform::Field);

/// The fields that may be passed on to the other side: neither of one connection only nor the system's own.
bool isForwarded(platform::Field);

/// One request of a caller, whole.
struct HttpRequest {
    std::string method;
    std::string path; ///< The request target with its query, as received.
    int version { 11 }; ///< 10 or 11
    std::vector<HeaderField> fields;
    std::string body;
    bool keepAlive { true };
};

/// Status and fields of an answer.
struct HttpAnswerHead {
    int status { 0 };
    std::vector<HeaderField> fields;
    bool keepAlive { true };
    bool isCloseDelimited { false }; ///< Has neither a length nor chunks.
};

/// Parses one request.
class RequestParser final : public boost::beast::http::basic_parser<true> {
public:
    RequestParser(ByteCount headerLimit, ByteCount bodyLimit);

    HttpRequest takeRequest() { return std::move(m_request); }
    const HttpRequest& request() const { return m_request; }

private:
    using View = boost::beast::string_view;
    using Error = boost::system::error_code;
    void on_request_impl(boost::beast::http::verb, View method, View target, int version, Error&) override;
    void on_response_impl(int, View, int, Error&) override { }
    void on_field_impl(boost::beast::http::field, View name, View value, Error&) override;
    void on_header_impl(Error&) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, Error&) override;
    std::size_t on_body_impl(View, Error&) override;
    void on_chunk_header_impl(std::uint64_t, View, Error&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, View, Error&) override;
    void on_finish_impl(Error&) override { }

    HttpRequest m_request;
    int m_hosts { 0 };
};

/// Receives an answer as it is parsed.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;
    virtual void onAnswerHead(HttpAnswerHead&&) = 0;
    virtual void onAnswerBody(std::string_view) = 0;
};

/// Parses one answer.
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

/// Hands bytes to a parser; returns how many it took. The rest is to be handed over again with what follows it.
///
///     input.erase(0, putBytes(parser, input, error));
template <bool isRequest>
std::size_t putBytes(boost::beast::http::basic_parser<isRequest>& parser, std::string_view bytes, boost::system::error_code& error)
{
    // The library's parser, called again in the last chunk, takes for granted that five bytes are there.
    constexpr std::string_view lastChunkLine = "0\r\n";
    constexpr std::size_t shortestEnd = 5;
    if (parser.is_header_done() && parser.chunked() && bytes.size() < shortestEnd && bytes.substr(0, lastChunkLine.size()) == lastChunkLine) {
        error = boost::beast::http::error::need_more;
        return 0;
    }
    return parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
}

/// True where the header block holds a line that continues the one before it.
bool hasFoldedField(std::string_view header);

} // namespace limpetpond
