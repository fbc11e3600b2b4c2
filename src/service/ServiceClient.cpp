#include "service/ServiceClient.h"

#include <algorithm>
#include <array>

namespace limpetpond {

namespace {

    // Headers of one connection, and what is this system's own matter.
    constexpr std::array<std::string_view, 15> keptBack = {
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding",
        "upgrade", "host", "content-length", "content-type", "authorization", "idempotency-key", "x-attempt-id", "expect"
    };

    bool isKeptBack(std::string name)
    {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        return std::find(keptBack.begin(), keptBack.end(), name) != keptBack.end();
    }

    HttpRequest forwarded(const ServiceCall& call)
    {
        HttpRequest out { .method = call.request.method, .path = call.request.path, .contentType = call.request.contentType, .body = call.request.body };
        if (out.contentType.empty())
            out.contentType = headerValue(call.request.headers, "content-type");
        for (const HttpHeader& header : call.request.headers) {
            if (!isKeptBack(header.name))
                out.headers.push_back(header);
        }
        out.headers.push_back({ "X-Attempt-Id", call.attempt.value() });
        if (!call.key.isEmpty())
            out.headers.push_back({ "Idempotency-Key", call.key.value() });
        return out;
    }

} // namespace

ServiceCallEnd callService(const ServiceCall& call, CallStop& stop)
{
    const HttpTimeouts timeouts { .connect = call.connectTimeout, .read = call.timeout, .write = call.timeout };
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    std::string body;
    bool cutOff = false;
    HttpStreamHandlers handlers;
    handlers.data = [&](std::string_view data) {
        body += data;
        cutOff = body.size() > static_cast<std::size_t>(call.maxAnswer.count()) || std::chrono::steady_clock::now() > deadline;
        return !cutOff;
    };
    return boost::leaf::try_handle_all(
        [&]() -> Result<ServiceCallEnd> {
            BOOST_LEAF_ASSIGN(HttpResponse answer, httpStream(call.endpoint, forwarded(call), timeouts, handlers, &stop));
            answer.body = std::move(body);
            auto end = answer.status >= 500 ? DispatchEnd::TargetError : DispatchEnd::Completed;
            return ServiceCallEnd { .end = end, .answer = std::move(answer) };
        },
        [&](const CallError& error) {
            auto end = error.failure == CallFailure::NotSent ? DispatchEnd::NotStarted : DispatchEnd::Lost;
            return ServiceCallEnd { .end = end, .detail = cutOff ? "the answer is too large or too slow" : error.detail };
        },
        [] { return ServiceCallEnd { .end = DispatchEnd::Lost, .detail = "unexpected failure" }; });
}

} // namespace limpetpond
