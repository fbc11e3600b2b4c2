#include "gateway/HttpText.h"

#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace limpetpond {

namespace http = boost::beast::http;
using platform::Field;

namespace {

    void appendField(std::string& out, std::string_view name, std::string_view value)
    {
        out.append(name).append(": ").append(value).append("\r\n");
    }

    void appendField(std::string& out, std::string_view name, std::uint64_t value)
    {
        char digits[24];
        auto end = std::to_chars(digits, digits + sizeof digits, value);
        appendField(out, name, std::string_view(digits, static_cast<std::size_t>(end.ptr - digits)));
    }

    void appendStatusLine(std::string& out, int status)
    {
        boost::beast::string_view reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
        out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason.data(), reason.size()).append("\r\n");
    }

    bool stateLengthOfEmptyBody(std::string_view method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

    bool hasNoBodyByStatus(int status) { return status == 204 || status == 304; }

} // namespace

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || !std::isfinite(number) || number < 0)
        return std::nullopt;
    return number;
}

std::string targetRequestHead(const ReceivedRequest& request, const TargetRequestFields& own)
{
    std::string text;
    text.reserve(512 + request.path.size());
    text.append(request.method).append(" ").append(request.path).append(" HTTP/1.1\r\n");
    for (const HeaderField& field : request.fields) {
        if (!isForwarded(field.meaning) || (own.resumeAfter && field.meaning == Field::ResumeAfter))
            continue;
        appendField(text, field.name, field.value);
    }
    if (own.resumeAfter)
        appendField(text, platform::resumeAfterHeader, *own.resumeAfter);
    appendField(text, platform::timeLeftHeader, static_cast<std::uint64_t>(own.millisecondsLeft));
    appendField(text, platform::expectTargetHeader, own.target);
    if (!own.account.empty())
        appendField(text, platform::accountHeader, own.account);
    if (bodySize(request) > 0 || stateLengthOfEmptyBody(request.method))
        appendField(text, "Content-Length", bodySize(request));
    text.append("\r\n");
    return text;
}

std::string callerAnswerHead(const HttpAnswerHead& head, BodyFraming framing, std::size_t bodyLength, bool keepAlive)
{
    std::string text;
    text.reserve(512);
    appendStatusLine(text, head.status);
    for (const HeaderField& field : head.fields) {
        bool statesLength = field.meaning == Field::ContentLength && framing == BodyFraming::None;
        if (isForwarded(field.meaning) || statesLength)
            appendField(text, field.name, field.value);
    }
    if (framing == BodyFraming::Chunks)
        appendField(text, "Transfer-Encoding", "chunked");
    if (framing == BodyFraming::Length && !hasNoBodyByStatus(head.status))
        appendField(text, "Content-Length", bodyLength);
    if (!keepAlive)
        appendField(text, "Connection", "close");
    text.append("\r\n");
    return text;
}

std::string gatewayAnswerText(const GatewayAnswer& answer)
{
    std::string text;
    appendStatusLine(text, answer.status);
    if (!answer.requestId.empty())
        appendField(text, platform::requestIdHeader, answer.requestId);
    if (answer.retryAfter) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", std::chrono::duration<double>(*answer.retryAfter).count());
        appendField(text, "Retry-After", seconds);
    }
    if (!answer.reason.empty())
        appendField(text, "Limpetpond-Reason", answer.reason);
    if (!answer.contentType.empty())
        appendField(text, "Content-Type", answer.contentType);
    appendField(text, "Content-Length", std::uint64_t { answer.body.size() });
    if (!answer.keepAlive)
        appendField(text, "Connection", "close");
    text.append("\r\n").append(answer.body);
    return text;
}

void appendChunk(std::string& out, std::string_view bytes)
{
    if (bytes.empty())
        return;
    char digits[20];
    auto end = std::to_chars(digits, digits + sizeof digits, bytes.size(), 16);
    out.append(digits, end.ptr).append("\r\n").append(bytes).append("\r\n");
}

} // namespace limpetpond
