#include "daemon/CallParser.h"

#include "base/Hash.h"
#include "engine/Prompt.h"
#include <algorithm>
#include <boost/json/parse.hpp>

namespace limpetpond::detail {

namespace {

    namespace json = boost::json;
    using std::chrono::milliseconds;

    constexpr TokenCount assumedAnswerTokens { 256 };
    constexpr std::size_t maxKeyLength = 255;
    constexpr std::chrono::seconds overloadRetryAfter { 2 };

    std::vector<HttpHeader> toHeaders(const httplib::Headers& headers)
    {
        std::vector<HttpHeader> list;
        for (const auto& [name, value] : headers)
            list.push_back({ name, value });
        return list;
    }

    std::string headerOf(const CallerConnection& connection, const char* name)
    {
        auto found = connection.headers.find(name);
        return found == connection.headers.end() ? std::string() : found->second;
    }

    bool wantsUsage(std::string_view body)
    {
        boost::system::error_code error;
        json::value value = json::parse(json::string_view(body.data(), body.size()), error);
        const json::object* object = error ? nullptr : value.if_object();
        const json::value* options = object ? object->if_contains("stream_options") : nullptr;
        const json::value* wanted = options && options->is_object() ? options->get_object().if_contains("include_usage") : nullptr;
        return wanted && wanted->is_bool() && wanted->get_bool();
    }

    bool isPrintable(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    }

    std::optional<std::uint64_t> parseToken(const std::string& text)
    {
        constexpr std::size_t maxDigits = 18;
        if (text.empty() || text.size() > maxDigits || !std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c); }))
            return std::nullopt;
        return std::stoull(text);
    }

    std::string bearerKey(const CallerConnection& connection)
    {
        constexpr std::string_view scheme = "bearer ";
        std::string value = headerOf(connection, "Authorization");
        std::string start = value.substr(0, scheme.size());
        std::transform(start.begin(), start.end(), start.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return start == scheme ? value.substr(scheme.size()) : std::string();
    }

    Result<std::optional<SteadyTime>> callerDeadline(const CallerConnection& connection, SteadyTime now, bool hasKey)
    {
        std::string text = headerOf(connection, timeoutHeader);
        if (text.empty())
            return std::optional<SteadyTime>();
        std::optional<milliseconds> timeout = parseDuration(text);
        constexpr milliseconds maxTimeout = std::chrono::hours(1);
        if (!timeout || *timeout <= milliseconds::zero() || *timeout > maxTimeout)
            return refuse(Reason::BadRequest, hasKey, "Limpetpond-Timeout must be a time with unit (ms, s, m, h) from 1ms to 1h.", timeoutHeader);
        return std::optional(now + *timeout);
    }

    Result<void> parseModelCall(ParsedCall& call, const Settings& settings, const httplib::Request& request)
    {
        const char* requiredField = call.routed.route == CallRoute::ChatCompletions ? "messages" : "prompt";
        if (request.body.find('"' + std::string(requiredField) + '"') == std::string::npos)
            return refuse(Reason::BadRequest, false, "The field " + std::string(requiredField) + " must be given.", requiredField);
        ApiError refusal;
        PromptRequest prompt = boost::leaf::try_handle_all(
            [&]() -> Result<PromptRequest> { return parsePrompt(request.body); },
            [&](const InvalidSetting& invalid) {
                refusal = { .status = 400, .reason = Reason::BadRequest, .message = "The field " + invalid.name + " must be " + invalid.allowed + ".", .param = invalid.name };
                return PromptRequest {};
            },
            [&] {
                refusal = { .status = 400, .reason = Reason::BadRequest };
                return PromptRequest {};
            });
        if (!refusal.message.empty() || refusal.status == 400)
            return boost::leaf::new_error(std::move(refusal));
        const PoolSettings* pool = findModelPool(settings, prompt.model);
        if (!pool)
            return refuse(Reason::NotFound, false, "There is no such model.", "model");
        call.pool = *pool;
        call.stream = prompt.stream;
        call.forwardsUsage = !prompt.stream || wantsUsage(request.body);
        call.body = request.body;
        call.arrival.promptTokens = estimateTokens(prompt.prompt);
        call.arrival.answerTokens = prompt.maxAnswerTokens.count() ? prompt.maxAnswerTokens : assumedAnswerTokens;
        call.arrival.prefixBlocks = prefixBlocks(prompt.prompt);
        return {};
    }

    Result<void> checkKey(const ParsedCall& call, const CallerConnection& connection)
    {
        const std::string& key = call.arrival.key.value();
        if (key.empty() && !call.arrival.idempotent)
            return refuse(Reason::KeyRequired, false, {}, idempotencyKeyHeader);
        if (key.size() > maxKeyLength || !isPrintable(key))
            return refuse(Reason::BadRequest, false, "Idempotency-Key must be 1 to 255 printable characters without spaces.", idempotencyKeyHeader);
        if (connection.headers.count(idempotencyKeyHeader) > 1)
            return refuse(Reason::BadRequest, false, "Idempotency-Key must be given once.", idempotencyKeyHeader);
        return {};
    }

    Result<void> parseServiceCall(ParsedCall& call, const Settings& settings, const httplib::Request& request, const CallerConnection& connection)
    {
        bool hasKey = !call.arrival.key.isEmpty();
        const PoolSettings* pool = findServicePool(settings, call.routed.service);
        if (!pool)
            return refuse(Reason::NotFound, hasKey, "There is no such service.");
        if (!pool->nonIdempotentMethods.empty() && !isPlainPath(call.routed.decodedServicePath, call.routed.servicePath))
            return refuse(Reason::BadRequest, hasKey, "The path must not hold empty, dot or encoded segments.");
        call.pool = *pool;
        call.arrival.idempotent = !runsAtMostOnce(*pool, request.method, call.routed.decodedServicePath);
        BOOST_LEAF_CHECK(checkKey(call, connection));
        call.arrival.bodyHash = hashBody(request.method + ' ' + call.routed.servicePath + '\n' + request.body);
        std::string token = headerOf(connection, retryTokenHeader);
        if (!token.empty()) {
            std::optional<std::uint64_t> parsed = parseToken(token);
            if (!parsed)
                return refuse(Reason::BadRequest, false, "Limpetpond-Retry-Token must be the number that an earlier answer gave.", retryTokenHeader);
            call.arrival.retryToken = *parsed;
        }
        call.serviceRequest = { .method = request.method, .path = call.routed.servicePath, .headers = headersForService(toHeaders(connection.headers)), .contentType = headerOf(connection, "Content-Type"), .body = request.body };
        return {};
    }

} // namespace

boost::leaf::error_id refuse(Reason reason, bool hasKey, std::string message, std::string param)
{
    Outcome outcome = refusalOutcome(reason, hasKey);
    // The status describes the error of this request; the outcome states whether the call may have run.
    ApiError error { .status = statusOf(Outcome::NotRun, reason), .outcome = outcome, .reason = reason, .message = std::move(message), .param = std::move(param) };
    if (error.status == 503)
        error.retryAfter = overloadRetryAfter;
    return boost::leaf::new_error(std::move(error));
}

Result<ClientAccountSettings> authenticate(const PublishedView& view, const CallerConnection& connection, bool hasKey)
{
    if (!view.settings || !view.accounts)
        return refuse(Reason::NotReady, hasKey);
    std::string key = bearerKey(connection);
    std::optional<ClientAccountId> account = key.empty() ? std::nullopt : view.accounts->find(sha256Hex(key));
    if (!account)
        return refuse(Reason::Unauthorized, hasKey);
    return view.settings->accounts.at(*account);
}

Result<std::shared_ptr<const ParsedCall>> parseCall(RoutedCall routed, const PublishedView& view, const httplib::Request& request,
    const CallerConnection& connection, RequestId id, SteadyTime now)
{
    bool isService = routed.route == CallRoute::Service;
    std::string key = isService ? headerOf(connection, idempotencyKeyHeader) : std::string();
    BOOST_LEAF_AUTO(account, authenticate(view, connection, !key.empty()));
    auto call = std::make_shared<ParsedCall>();
    call->routed = std::move(routed);
    call->arrival.request = std::move(id);
    call->arrival.account = account.id;
    call->arrival.tier = account.tier;
    call->arrival.key = IdempotencyKey { key };
    BOOST_LEAF_ASSIGN(call->arrival.deadline, callerDeadline(connection, now, !key.empty()));
    if (static_cast<std::int64_t>(request.body.size()) > view.settings->site.maxBody.count())
        return refuse(Reason::TooLarge, !key.empty());
    if (isService) {
        BOOST_LEAF_CHECK(parseServiceCall(*call, *view.settings, request, connection));
    } else {
        BOOST_LEAF_CHECK(parseModelCall(*call, *view.settings, request));
    }
    call->arrival.pool = call->pool.id;
    return std::shared_ptr<const ParsedCall>(std::move(call));
}

} // namespace limpetpond::detail
