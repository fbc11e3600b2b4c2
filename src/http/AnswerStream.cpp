#include "http/AnswerStream.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace limpetpond {

namespace {

    constexpr std::size_t readBufferBytes = 8192;
    constexpr int maxInterimAnswers = 100; ///< A server could send them without end.
    constexpr int firstFinalStatus = 200;
    constexpr std::string_view plainHead = "HTTP/1.1 200 OK\r\n\r\n"; ///< Has no length, so that the body ends with the stream.

} // namespace

AnswerStream::AnswerStream(httplib::Stream& connection, const AnswerStreamOptions& options, AnswerProgress& progress)
    : m_connection(connection)
    , m_options(options)
    , m_progress(progress)
{
}

ssize_t AnswerStream::read(char* out, std::size_t size)
{
    while (m_output.empty() && !hasEnded())
        readMore();
    if (m_output.empty())
        return m_progress.isWhole ? 0 : -1;
    std::size_t count = std::min(size, m_output.size());
    m_output.copy(out, count);
    m_output.erase(0, count);
    return static_cast<ssize_t>(count);
}

void AnswerStream::readMore()
{
    std::array<char, readBufferBytes> buffer;
    ssize_t count = m_connection.read(buffer.data(), buffer.size());
    if (count < 0) {
        fail("the connection broke, or nothing arrived within the time limit");
        return;
    }
    if (!count) {
        onEndOfConnection();
        return;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    parse();
}

void AnswerStream::parse()
{
    while (!m_input.empty() && !hasEnded()) {
        if (!m_parser) {
            m_parser = std::make_unique<AnswerParser>(*this);
            m_parser->skip(m_options.answerHasNoBody);
        }
        boost::system::error_code error;
        std::size_t used = putBytes(*m_parser, m_input, error);
        m_input.erase(0, used);
        if (error == boost::beast::http::error::need_more)
            return;
        if (error) {
            failAsMalformed(error.message());
            return;
        }
        if (m_parser->is_done())
            onAnswerParsed();
        else if (!used)
            return;
    }
}

void AnswerStream::onAnswerParsed()
{
    m_parser.reset();
    if (std::exchange(m_isInterim, false)) {
        if (++m_interimAnswers > maxInterimAnswers)
            failAsMalformed("too many interim answers");
        return;
    }
    if (!m_progress.error.empty())
        return;
    m_progress.isWhole = true;
    m_progress.mayReuse = m_progress.head.keepAlive && !m_progress.head.isCloseDelimited && m_input.empty();
}

void AnswerStream::onEndOfConnection()
{
    if (m_options.isStopped && m_options.isStopped()) {
        fail("the call was stopped");
        return;
    }
    boost::system::error_code error;
    if (m_parser)
        m_parser->put_eof(error);
    if (m_parser && !error && m_parser->is_done())
        onAnswerParsed();
    if (!hasEnded())
        fail("the connection ended before the answer was whole");
}

void AnswerStream::onAnswerHead(HttpAnswerHead&& head)
{
    m_isInterim = head.status < firstFinalStatus;
    if (m_isInterim)
        return;
    m_progress.head = std::move(head);
    if (m_options.onHead && !m_options.onHead(m_progress.head))
        fail("the call was ended at the head of its answer");
    else
        m_output = plainHead;
}

void AnswerStream::onAnswerBody(std::string_view body)
{
    if (!m_isInterim && !hasEnded())
        m_output += body;
}

void AnswerStream::fail(std::string error)
{
    if (m_progress.error.empty())
        m_progress.error = std::move(error);
}

void AnswerStream::failAsMalformed(const std::string& error)
{
    m_progress.isMalformed = true;
    fail("the answer breaks the rules of HTTP: " + error);
}

} // namespace limpetpond
