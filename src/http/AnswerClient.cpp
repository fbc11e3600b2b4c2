#include "http/AnswerClient.h"

#include <csignal>
#include <poll.h>

namespace limpetpond {

namespace {

    // A write to a connection that the server closed would otherwise end this process.
    void ignoreSigpipe()
    {
        static const auto done = std::signal(SIGPIPE, SIG_IGN);
        static_cast<void>(done);
    }

    HttpResponse toResponse(const HttpAnswerHead& head)
    {
        HttpResponse out { .status = head.status };
        for (const HeaderField& field : head.fields)
            out.headers.push_back({ field.name, field.value });
        return out;
    }

    CallFailure failureOf(httplib::Error error)
    {
        switch (error) {
        case httplib::Error::Connection:
        case httplib::Error::ConnectionTimeout:
        case httplib::Error::BindIPAddress:
        case httplib::Error::SSLConnection:
        case httplib::Error::SSLLoadingCerts:
        case httplib::Error::SSLServerVerification:
            return CallFailure::NotSent;
        default:
            return CallFailure::NoAnswer;
        }
    }

    CallError callError(httplib::Error error, const AnswerProgress& progress)
    {
        return CallError {
            .failure = progress.isMalformed ? CallFailure::Malformed : failureOf(error),
            .status = progress.head.status,
            .detail = progress.error.empty() ? httplib::to_string(error) : progress.error,
        };
    }

} // namespace

AnswerClient::AnswerClient(const HttpEndpoint& endpoint, const HttpTimeouts& timeouts)
    : httplib::ClientImpl(endpoint.host, endpoint.port)
{
    ignoreSigpipe();
    set_tcp_nodelay(true);
    set_decompress(false);
    set_connection_timeout(timeouts.connect);
    set_read_timeout(timeouts.read);
    set_write_timeout(timeouts.write);
}

Result<HttpResponse> AnswerClient::call(httplib::Request& request, const AnswerHandlers& handlers)
{
    m_progress = {};
    m_streamOptions = { .answerHasNoBody = request.method == "HEAD", .isStopped = handlers.isStopped };
    if (handlers.onHead)
        m_streamOptions.onHead = [&handlers](const HttpAnswerHead& head) { return handlers.onHead(toResponse(head)); };
    httplib::Response received; // Its head is a plain one.
    auto error = httplib::Error::Success;
    if (!send(request, received, error) || !m_progress.isWhole)
        return boost::leaf::new_error(callError(error, m_progress));
    HttpResponse answer = toResponse(m_progress.head);
    answer.body = std::move(received.body);
    return answer;
}

bool AnswerClient::isQuiet() const
{
    pollfd watched { .fd = socket(), .events = POLLIN, .revents = 0 };
    return ::poll(&watched, 1, 0) == 0;
}

bool AnswerClient::process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> makeCall)
{
    return httplib::detail::process_client_socket(socket.sock, read_timeout_sec_, read_timeout_usec_, write_timeout_sec_, write_timeout_usec_,
        [&](httplib::Stream& connection) {
            AnswerStream stream(connection, m_streamOptions, m_progress);
            return makeCall(stream);
        });
}

} // namespace limpetpond
