#include "service/ServiceClient.h"

#include <algorithm>
#include <array>

namespace limpetpond {

namespace {

    // Headers that belong to one connection, and headers that limpetpond sets itself.
    constexpr std::array<std::string_view, 15> withheldHeaders = {
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding",
        "upgrade", "host", "content-length", "content-type", "authorization", "idempotency-key", "x-attempt-id", "expect"
    };

    bool isWithheld(std::string name)
    {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        return std::find(withheldHeaders.begin(), withheldHeaders.end(), name) != withheldHeaders.end();
    }

    HttpRequest toForwardedRequest(const ServiceCall& call)
    {
        HttpRequest out { .method = call.request.method, .path = call.request.path, .contentType = call.request.contentType, .body = call.request.body };
        if (out.contentType.empty())
            out.contentType = headerValue(call.request.headers, "content-type");
        for (const HttpHeader& header : call.request.headers) {
            if (!isWithheld(header.name))
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
    bool limitExceeded = false;
    HttpStreamHandlers handlers;
    handlers.data = [&](std::string_view data) {
        body += data;
        limitExceeded = body.size() > static_cast<std::size_t>(call.maxAnswer.count()) || std::chrono::steady_clock::now() > deadline;
        return !limitExceeded;
    };
    return boost::leaf::try_handle_all(
        [&]() -> Result<ServiceCallEnd> {
            BOOST_LEAF_ASSIGN(HttpResponse answer, httpStream(call.endpoint, toForwardedRequest(call), timeouts, handlers, &stop));
            answer.body = std::move(body);
            auto end = answer.status >= 500 ? DispatchEnd::TargetError : DispatchEnd::Completed;
            return ServiceCallEnd { .end = end, .answer = std::move(answer) };
        },
        [&](const CallError& error) {
            auto end = error.failure == CallFailure::NotSent ? DispatchEnd::NotStarted : DispatchEnd::Lost;
            return ServiceCallEnd { .end = end, .detail = limitExceeded ? "the answer exceeds the size or time limit" : error.detail };
        },
        [] { return ServiceCallEnd { .end = DispatchEnd::Lost, .detail = "unexpected failure" }; });
}

} // namespace limpetpond
