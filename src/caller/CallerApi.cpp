#include "caller/CallerApi.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <openssl/evp.h>

namespace limpetpond {

namespace {

    namespace json = boost::json;

    constexpr std::string_view servicesPrefix = "/services/";
    constexpr std::string_view ownHeaderPrefix = "limpetpond-";
    constexpr int clientClosedRequestStatus = 499; ///< The status that nginx uses; it appears only in logs.
    constexpr int tooManyRequestsStatus = 429;
    constexpr int internalErrorStatus = 500;

    std::string toLower(std::string_view text)
    {
        std::string out(text);
        std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return out;
    }

    template <std::size_t N>
    std::vector<HttpHeader> withoutHeaders(const std::vector<HttpHeader>& headers, const std::array<std::string_view, N>& dropped)
    {
        // Headers named in `Connection` are hop-by-hop as well.
        std::string connection = "," + toLower(headerValue(headers, "Connection")) + ",";
        std::erase(connection, ' ');
        std::vector<HttpHeader> kept;
        for (const HttpHeader& header : headers) {
            std::string name = toLower(header.name);
            bool isDropped = std::find(dropped.begin(), dropped.end(), name) != dropped.end();
            if (!isDropped && !name.starts_with(ownHeaderPrefix) && connection.find("," + name + ",") == std::string::npos)
                kept.push_back(header);
        }
        return kept;
    }

    RoutedCall routeService(std::string_view decodedPath, std::string_view target)
    {
        RoutedCall call { .route = CallRoute::Service };
        std::string_view decoded = decodedPath.substr(servicesPrefix.size());
        std::string_view raw = target.substr(std::min(target.size(), servicesPrefix.size()));
        std::size_t nameEnd = std::min(decoded.find('/'), decoded.size());
        call.service = decoded.substr(0, nameEnd);
        call.decodedServicePath = decoded.substr(nameEnd);
        if (call.decodedServicePath.empty())
            call.decodedServicePath = "/";
        call.servicePath = raw.substr(std::min(raw.find_first_of("/?"), raw.size()));
        if (!call.servicePath.starts_with('/'))
            call.servicePath.insert(0, "/");
        return call;
    }

    const char* errorType(int status)
    {
        if (status == 401)
            return "authentication_error";
        if (status == tooManyRequestsStatus)
            return "rate_limit_error";
        return status < internalErrorStatus ? "invalid_request_error" : "server_error";
    }

    std::string base64(std::string_view bytes)
    {
        std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
        int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(length));
        return text;
    }

    std::optional<std::string> fromBase64(std::string_view text)
    {
        std::string bytes(text.size() / 4 * 3 + 1, '\0');
        int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
        if (length < 0)
            return std::nullopt;
        // EVP_DecodeBlock counts the padding as bytes.
        std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1
                                                                             : 0;
        bytes.resize(static_cast<std::size_t>(length) - padding);
        return bytes;
    }

} // namespace

RoutedCall routeCall(std::string_view method, std::string_view decodedPath, std::string_view target)
{
    struct Fixed {
        std::string_view path;
        std::string_view method;
        CallRoute route;
    };
    constexpr std::array<Fixed, 6> fixed { { { "/v1/chat/completions", "POST", CallRoute::ChatCompletions },
        { "/v1/completions", "POST", CallRoute::Completions }, { "/v1/models", "GET", CallRoute::Models },
        { "/healthz", "GET", CallRoute::Health }, { "/readyz", "GET", CallRoute::Ready }, { "/metrics", "GET", CallRoute::Metrics } } };
    for (const Fixed& entry : fixed) {
        if (decodedPath != entry.path)
            continue;
        bool isAllowed = method == entry.method || (method == "HEAD" && entry.method == "GET");
        return { .route = isAllowed ? entry.route : CallRoute::WrongMethod };
    }
    if (decodedPath.starts_with(servicesPrefix) && target.starts_with(servicesPrefix))
        return routeService(decodedPath, target);
    return {};
}

bool isPlainPath(std::string_view decodedPath, std::string_view target)
{
    std::string_view rawPath = target.substr(0, target.find('?'));
    std::string raw = toLower(rawPath);
    for (std::string_view encoded : { "%2f", "%5c", "%2e", "%00", "%25", ";", "\\" }) {
        if (raw.find(encoded) != std::string::npos)
            return false;
    }
    bool hasControl = std::any_of(decodedPath.begin(), decodedPath.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
    if (hasControl || decodedPath.find("//") != std::string_view::npos)
        return false;
    std::string terminated = std::string(decodedPath) + "/";
    return terminated.find("/./") == std::string::npos && terminated.find("/../") == std::string::npos;
}

bool runsAtMostOnce(const PoolSettings& pool, std::string_view method, std::string_view decodedPath)
{
    if (std::find(pool.nonIdempotentMethods.begin(), pool.nonIdempotentMethods.end(), method) == pool.nonIdempotentMethods.end())
        return false;
    if (pool.nonIdempotentPaths.empty())
        return true;
    std::string path = toLower(decodedPath);
    return std::any_of(pool.nonIdempotentPaths.begin(), pool.nonIdempotentPaths.end(),
        [&](const std::string& prefix) { return path.starts_with(toLower(prefix)); });
}

const PoolSettings* findModelPool(const Settings& settings, const std::string& model)
{
    for (const auto& [id, pool] : settings.pools) {
        if (pool.kind == TargetKind::ModelEngine && std::find(pool.models.begin(), pool.models.end(), ModelId { model }) != pool.models.end())
            return &pool;
    }
    return nullptr;
}

const PoolSettings* findServicePool(const Settings& settings, const std::string& service)
{
    for (const auto& [id, pool] : settings.pools) {
        if (pool.kind == TargetKind::PlainService && !service.empty() && pool.service == service)
            return &pool;
    }
    return nullptr;
}

std::string modelsBody(const Settings& settings)
{
    json::array list;
    for (const auto& [id, pool] : settings.pools) {
        for (const ModelId& model : pool.models)
            list.push_back({ { "id", model.value() }, { "object", "model" }, { "created", 0 }, { "owned_by", settings.site.name } });
    }
    return json::serialize(json::object { { "object", "list" }, { "data", std::move(list) } });
}

int statusOf(Outcome outcome, Reason reason)
{
    switch (reason) {
    case Reason::BadRequest:
    case Reason::KeyRequired:
        return 400;
    case Reason::Unauthorized:
        return 401;
    case Reason::NotFound:
        return 404;
    case Reason::TooLarge:
        return 413;
    case Reason::KeyReused:
    case Reason::KeyClosed:
    case Reason::InProgress:
        return 409;
    case Reason::AccountLimit:
        return outcome == Outcome::NotRun ? tooManyRequestsStatus : 502;
    case Reason::CallerDisconnected:
        return clientClosedRequestStatus;
    case Reason::DeadlineExceeded:
    case Reason::StoreUnavailable:
        return outcome == Outcome::NotRun ? 503 : 504;
    default:
        return outcome == Outcome::NotRun ? 503 : 502;
    }
}

Outcome refusalOutcome(Reason reason, bool hasKey)
{
    switch (reason) {
    case Reason::BadRequest:
    case Reason::KeyRequired:
    case Reason::TooLarge:
        // These depend only on the request, so an earlier attempt was refused as well.
        return Outcome::NotRun;
    default:
        return hasKey ? Outcome::Unknown : Outcome::NotRun;
    }
}

std::string_view messageOf(Outcome outcome, Reason reason)
{
    switch (reason) {
    case Reason::BadRequest:
        return "The request is malformed.";
    case Reason::Unauthorized:
        return "The bearer key is missing or wrong.";
    case Reason::NotFound:
        return "There is no such path, model or service.";
    case Reason::TooLarge:
        return "The request is larger than allowed.";
    case Reason::KeyRequired:
        return "This call runs at most once and needs an Idempotency-Key header.";
    case Reason::KeyReused:
        return "The idempotency key was used before with another request.";
    case Reason::KeyClosed:
        return "The key's earlier attempt ended as not run; send Limpetpond-Retry-Token or a new key.";
    case Reason::InProgress:
        return "The first call with this idempotency key is still in progress.";
    case Reason::Overloaded:
        return "The system is overloaded; come back after the time in Retry-After.";
    case Reason::AccountLimit:
        return "The client account has too many requests waiting.";
    case Reason::DeadlineExceeded:
        return "The deadline passed before a target was free.";
    case Reason::NoTarget:
        return "No target can serve the request now.";
    case Reason::StoreUnavailable:
        return "The store of claims can't be reached, so the call can't be made safely now.";
    case Reason::ViewStale:
    case Reason::NotReady:
        return "This instance has no current settings; try another one.";
    case Reason::ShuttingDown:
        return "This instance is shutting down; try another one.";
    case Reason::TargetFailed:
        return "The target failed before the request started there.";
    case Reason::AnswerLost:
        return "The answer broke off after the request had started.";
    case Reason::CallerDisconnected:
        return "The caller closed its connection.";
    case Reason::None:
        break;
    }
    return outcome == Outcome::Completed ? "The request was completed." : "The request was not completed.";
}

std::string errorBody(const ApiError& error, const RequestId& request)
{
    json::object inner { { "message", error.message.empty() ? messageOf(error.outcome, error.reason) : std::string_view(error.message) },
        { "type", errorType(error.status) }, { "param", nullptr }, { "code", toString(error.reason) },
        { "outcome", toString(error.outcome) }, { "request_id", request.value() } };
    if (!error.param.empty())
        inner["param"] = error.param;
    if (error.retryAfter)
        inner["retry_after_seconds"] = error.retryAfter->count();
    if (error.retryToken)
        inner["retry_token"] = std::to_string(error.retryToken);
    return json::serialize(json::object { { "error", std::move(inner) } });
}

std::string streamEvent(std::string_view data)
{
    std::string event = "data: ";
    event += data;
    return event += "\n\n";
}

std::string streamEnd(const RequestId& request)
{
    return ": limpetpond outcome=completed reason=none request_id=" + request.value() + "\n\ndata: [DONE]\n\n";
}

std::string streamError(const ApiError& error, const RequestId& request)
{
    return "event: error\ndata: " + errorBody(error, request) + "\n\n";
}

std::vector<HttpHeader> headersForService(const std::vector<HttpHeader>& headers)
{
    // Method overrides could turn a call into one that must run at most once without runsAtMostOnce seeing it.
    constexpr std::array<std::string_view, 17> dropped { "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "authorization", "expect",
        "accept-encoding", "x-http-method-override", "x-http-method", "x-method-override" };
    return withoutHeaders(headers, dropped);
}

std::vector<HttpHeader> headersForCaller(const std::vector<HttpHeader>& headers)
{
    constexpr std::array<std::string_view, 9> dropped { "connection", "keep-alive", "proxy-authenticate", "proxy-connection", "te",
        "trailer", "transfer-encoding", "upgrade", "content-length" };
    return withoutHeaders(headers, dropped);
}

std::string encodeStoredAnswer(const HttpResponse& answer)
{
    json::array headers;
    for (const HttpHeader& header : headersForCaller(answer.headers))
        headers.push_back(json::array { header.name, header.value });
    return json::serialize(json::object { { "status", answer.status }, { "headers", std::move(headers) }, { "body", base64(answer.body) } });
}

std::optional<HttpResponse> decodeStoredAnswer(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    const json::object* object = error ? nullptr : value.if_object();
    const json::value* status = object ? object->if_contains("status") : nullptr;
    const json::value* body = object ? object->if_contains("body") : nullptr;
    const json::value* headers = object ? object->if_contains("headers") : nullptr;
    if (!status || !status->is_int64() || !body || !body->is_string() || !headers || !headers->is_array())
        return std::nullopt;
    auto decoded = fromBase64(std::string_view(body->get_string().data(), body->get_string().size()));
    if (!decoded)
        return std::nullopt;
    HttpResponse answer { .status = static_cast<int>(status->get_int64()), .body = std::move(*decoded) };
    for (const json::value& header : headers->get_array()) {
        const json::array* pair = header.if_array();
        if (!pair || pair->size() != 2 || !(*pair)[0].is_string() || !(*pair)[1].is_string())
            return std::nullopt;
        answer.headers.push_back({ std::string((*pair)[0].get_string()), std::string((*pair)[1].get_string()) });
    }
    return answer;
}

} // namespace limpetpond
