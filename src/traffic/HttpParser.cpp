#include "traffic/HttpParser.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace limpetpond {

namespace http = boost::beast::http;
using platform::Field;

namespace {

    constexpr std::uint32_t maxAnswerHeaderBytes = 65536;
    constexpr int minStatus = 100; ///< Boost.Beast takes any three digits.
    constexpr std::size_t maxFields = 1000; ///< A field takes far more memory than the bytes of a short one.

    std::string toString(boost::beast::string_view text) { return std::string(text.data(), text.size()); }

    HeaderField makeField(boost::beast::string_view name, boost::beast::string_view value)
    {
        HeaderField field { .name = toString(name), .value = toString(value) };
        field.meaning = platform::classifyField(field.name);
        return field;
    }

    void addField(std::vector<HeaderField>& fields, boost::beast::string_view name, boost::beast::string_view value, boost::system::error_code& error)
    {
        if (fields.size() < maxFields)
            fields.push_back(makeField(name, value));
        else
            error = http::error::header_limit;
    }

} // namespace

std::string_view fieldValue(const std::vector<HeaderField>& fields, Field meaning)
{
    auto found = std::find_if(fields.begin(), fields.end(), [meaning](const HeaderField& field) { return field.meaning == meaning; });
    return found == fields.end() ? std::string_view() : std::string_view(found->value);
}

bool hasField(const std::vector<HeaderField>& fields, Field meaning)
{
    return std::any_of(fields.begin(), fields.end(), [meaning](const HeaderField& field) { return field.meaning == meaning; });
}

bool isForwarded(Field meaning)
{
    switch (meaning) {
    case Field::HopByHop:
    case Field::ApiKey:
    case Field::Reserved:
    case Field::TimeLeft:
    case Field::ContentLength:
    case Field::Expect:
    case Field::IdleTime:
    case Field::ConnectionOptions:
        return false;
    default:
        return true;
    }
}

RequestParser::RequestParser(ByteCount headerLimit, ByteCount bodyLimit, std::shared_ptr<BufferAccount> account)
    : m_account(std::move(account))
{
    header_limit(static_cast<std::uint32_t>(headerLimit.count()));
    body_limit(static_cast<std::uint64_t>(bodyLimit.count()));
    eager(true);
}

void RequestParser::on_request_impl(http::verb, View method, View target, int version, Error&)
{
    m_request.method = toString(method);
    m_request.path = toString(target);
    m_request.version = version;
}

void RequestParser::on_field_impl(http::field known, View name, View value, Error& error)
{
    if (known == http::field::transfer_encoding && !boost::beast::iequals(value, "chunked")) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    if (known == http::field::content_length && hasField(m_request.fields, Field::ContentLength)) {
        error = http::error::multiple_content_length;
        return;
    }
    if (known == http::field::host && ++m_hostFields > 1) {
        error = http::error::bad_field;
        return;
    }
    addField(m_request.fields, name, value, error);
}

void RequestParser::on_header_impl(Error&) { m_request.keepAlive = keep_alive(); }

std::size_t RequestParser::on_body_impl(View body, Error&)
{
    if (m_discardsBody)
        return body.size();
    if (!m_request.body)
        m_request.body = std::make_shared<BlockBuffer>(m_account);
    m_request.body->append({ body.data(), body.size() });
    return body.size();
}

void RequestParser::discardBody()
{
    m_discardsBody = true;
    m_request.body.reset();
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, View body, Error& error) { return on_body_impl(body, error); }

AnswerParser::AnswerParser(AnswerSink& sink)
    : m_sink(sink)
{
    header_limit(maxAnswerHeaderBytes);
    body_limit(boost::none);
    eager(true);
}

void AnswerParser::on_response_impl(int status, View, int, Error& error)
{
    if (status < minStatus)
        error = http::error::bad_status;
    m_head.status = status;
}

void AnswerParser::on_field_impl(http::field known, View name, View value, Error& error)
{
    if (known == http::field::transfer_encoding && !boost::beast::iequals(value, "chunked")) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    addField(m_head.fields, name, value, error);
}

void AnswerParser::on_header_impl(Error&)
{
    m_head.keepAlive = keep_alive();
    m_head.isCloseDelimited = need_eof();
    m_sink.onAnswerHead(std::move(m_head));
}

std::size_t AnswerParser::on_body_impl(View body, Error&)
{
    m_sink.onAnswerBody({ body.data(), body.size() });
    return body.size();
}

std::size_t AnswerParser::on_chunk_body_impl(std::uint64_t, View body, Error& error) { return on_body_impl(body, error); }

bool hasFoldedField(std::string_view header)
{
    for (std::size_t end = header.find('\n'); end != std::string_view::npos && end + 1 < header.size(); end = header.find('\n', end + 1)) {
        if (header[end + 1] == ' ' || header[end + 1] == '\t')
            return true;
    }
    return false;
}

} // namespace limpetpond
