#pragma once

/// Reads the answer of a blocking HTTP call by the rules of traffic/HttpParser, which the gateway reads answers by.
///
/// cpp-httplib skips lines of a head that it doesn't understand and takes any three digits for a status. So it isn't
/// shown the answer as received: it reads a plain head, and then the body up to the end of the stream.

#include "traffic/HttpParser.h"
#include <functional>
#include <httplib.h>
#include <memory>
#include <string>

namespace limpetpond {

/// What has been read of an answer.
struct AnswerProgress {
    HttpAnswerHead head; ///< The status is 0 until the head has arrived.
    bool isWhole { false };
    bool isMalformed { false }; ///< The bytes break the rules of HTTP.
    bool mayReuse { false }; ///< The connection can carry another call.
    std::string error; ///< Why the answer can't become whole; empty while it can.
};

/// What to expect of an answer.
struct AnswerStreamOptions {
    bool answerHasNoBody { false }; ///< The answer is one to a HEAD request.
    std::function<bool(const HttpAnswerHead&)> onHead; ///< Called once; returns false to end the call. May be null.
    std::function<bool()> isStopped; ///< True once this side has ended the connection; that ends no answer. May be null.
};

/// The connection of one call as cpp-httplib sees it. The request is written unchanged.
///
///     AnswerProgress progress;
///     AnswerStream stream(connection, { .answerHasNoBody = false }, progress);
///     while (stream.read(buffer, sizeof buffer) > 0) { ... }
class AnswerStream final : public httplib::Stream, public AnswerSink {
public:
    /// The connection and the progress must outlive the stream.
    AnswerStream(httplib::Stream& connection, const AnswerStreamOptions&, AnswerProgress&);

    /// Returns 0 after a whole answer, and -1 if the answer is broken or the connection fails.
    ssize_t read(char*, std::size_t) override;
    ssize_t write(const char* bytes, std::size_t count) override { return m_connection.write(bytes, count); }
    bool is_readable() const override { return m_connection.is_readable(); }
    bool is_writable() const override { return m_connection.is_writable(); }
    void get_remote_ip_and_port(std::string& ip, int& port) const override { m_connection.get_remote_ip_and_port(ip, port); }
    void get_local_ip_and_port(std::string& ip, int& port) const override { m_connection.get_local_ip_and_port(ip, port); }
    socket_t socket() const override { return m_connection.socket(); }

private:
    void onAnswerHead(HttpAnswerHead&&) override;
    void onAnswerBody(std::string_view) override;
    void readMore();
    void parse();
    void onAnswerParsed();
    void onEndOfConnection();
    void fail(std::string error);
    void failAsMalformed(const std::string& error);

    bool hasEnded() const { return m_progress.isWhole || !m_progress.error.empty(); }

    httplib::Stream& m_connection;
    const AnswerStreamOptions& m_options;
    AnswerProgress& m_progress;
    std::unique_ptr<AnswerParser> m_parser;
    std::string m_input; ///< Bytes that aren't parsed yet.
    std::string m_output; ///< Bytes that the library hasn't read yet.
    int m_interimAnswers { 0 };
    bool m_isInterim { false }; ///< The answer being parsed has a 1xx status.
};

} // namespace limpetpond
