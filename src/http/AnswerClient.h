#pragma once

/// A client of cpp-httplib for one server whose answers are read through an AnswerStream.

#include "http/AnswerStream.h"
#include "http/HttpClient.h"

namespace limpetpond {

/// Callbacks of one call; each may be null.
struct AnswerHandlers {
    std::function<bool(const HttpResponse& head)> onHead; ///< Called once; returns false to end the call.
    std::function<bool()> isStopped; ///< True once this side has ended the connection to stop the call.
};

/// Makes one call at a time over one connection.
///
///     AnswerClient client({ "127.0.0.1", 8080 }, {});
///     Result<HttpResponse> answer = client.call(request);
class AnswerClient final : public httplib::ClientImpl {
public:
    AnswerClient(const HttpEndpoint&, const HttpTimeouts&);

    /// Sends a request and returns its whole answer; the body is empty if the request has a content receiver.
    Result<HttpResponse> call(httplib::Request&, const AnswerHandlers& = {});

    /// True if the last answer is whole and the connection can carry another call.
    bool mayReuse() const { return m_progress.mayReuse; }

    /// True if nothing has arrived since the last answer, neither bytes nor the end of the connection.
    bool isQuiet() const;

private:
    bool process_socket(const Socket&, std::function<bool(httplib::Stream&)> makeCall) override;

    AnswerStreamOptions m_streamOptions; ///< Of the call in progress.
    AnswerProgress m_progress; ///< Of the last call.
};

} // namespace limpetpond
