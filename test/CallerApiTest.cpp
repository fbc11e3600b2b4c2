#include "caller/CallerApi.h"
#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(CallerApi)
{
    PoolSettings fees;
    void setup() override
    {
        fees.nonIdempotentMethods = { "POST" };
        fees.nonIdempotentPaths = { "/pay" };
    }
};

TEST(CallerApi, routeDependsOnPathAndMethod)
{
    CHECK(routeCall("POST", "/v1/chat/completions", "/v1/chat/completions").route == CallRoute::ChatCompletions);
    CHECK(routeCall("GET", "/v1/chat/completions", "/v1/chat/completions").route == CallRoute::WrongMethod);
    CHECK(routeCall("HEAD", "/healthz", "/healthz").route == CallRoute::Health);
    CHECK(routeCall("GET", "/nothing", "/nothing").route == CallRoute::NotFound);
}

TEST(CallerApi, serviceRouteKeepsTheEncodedTarget)
{
    RoutedCall call = routeCall("PUT", "/services/tags/a b", "/services/tags/a%20b?x=%2F");
    CHECK(call.route == CallRoute::Service);
    STRCMP_EQUAL("tags", call.service.c_str());
    STRCMP_EQUAL("/a%20b?x=%2F", call.servicePath.c_str());
    STRCMP_EQUAL("/a b", call.decodedServicePath.c_str());
    STRCMP_EQUAL("/", routeCall("GET", "/services/tags", "/services/tags").servicePath.c_str());
    STRCMP_EQUAL("/?q=1", routeCall("GET", "/services/tags", "/services/tags?q=1").servicePath.c_str());
}

TEST(CallerApi, ambiguousPathsAreNotPlain)
{
    CHECK(isPlainPath("/pay/7", "/pay/7?note=%2e%2e"));
    for (const char* path : { "//pay", "/./pay", "/x/../pay", "/pay/..", "/p\\ay", "/pay;x=1" })
        CHECK_FALSE_TEXT(isPlainPath(path, path), path);
    CHECK_FALSE(isPlainPath("/x/pay", "/x%2fpay"));
    CHECK_FALSE(isPlainPath("/%70ay", "/%2570ay"));
    CHECK_FALSE(isPlainPath("/pa\ny", "/pa%0ay"));
}

TEST(CallerApi, atMostOnceDependsOnMethodAndPath)
{
    CHECK(runsAtMostOnce(fees, "POST", "/pay/7"));
    CHECK(runsAtMostOnce(fees, "POST", "/PAY"));
    CHECK_FALSE(runsAtMostOnce(fees, "GET", "/pay/7"));
    CHECK_FALSE(runsAtMostOnce(fees, "POST", "/list"));
    fees.nonIdempotentPaths.clear();
    CHECK(runsAtMostOnce(fees, "POST", "/list"));
}

TEST(CallerApi, refusedKeyedCallIsUnknownUnlessTheRequestIsInvalid)
{
    CHECK(refusalOutcome(Reason::BadRequest, true) == Outcome::NotRun);
    for (Reason reason : { Reason::Overloaded, Reason::NotReady, Reason::Unauthorized, Reason::NotFound, Reason::ShuttingDown }) {
        CHECK(refusalOutcome(reason, true) == Outcome::Unknown);
        CHECK(refusalOutcome(reason, false) == Outcome::NotRun);
    }
}

TEST(CallerApi, statusDependsOnOutcomeAndReason)
{
    LONGS_EQUAL(503, statusOf(Outcome::NotRun, Reason::Overloaded));
    LONGS_EQUAL(429, statusOf(Outcome::NotRun, Reason::AccountLimit));
    LONGS_EQUAL(409, statusOf(Outcome::NotRun, Reason::KeyReused));
    LONGS_EQUAL(409, statusOf(Outcome::Unknown, Reason::InProgress));
    LONGS_EQUAL(502, statusOf(Outcome::Unknown, Reason::AnswerLost));
    LONGS_EQUAL(504, statusOf(Outcome::Unknown, Reason::StoreUnavailable));
}

TEST(CallerApi, everyReasonHasItsOwnMessage)
{
    for (int i = 1; i <= static_cast<int>(Reason::CallerDisconnected); ++i)
        CHECK(messageOf(Outcome::NotRun, static_cast<Reason>(i)) != messageOf(Outcome::NotRun, Reason::None));
}

TEST(CallerApi, errorBodyHasOpenAiFormatWithOutcomeAndRetryFields)
{
    std::string body = errorBody({ .status = 503, .outcome = Outcome::NotRun, .reason = Reason::Overloaded, .retryAfter = std::chrono::seconds(3), .retryToken = 2 }, RequestId { "r1" });
    boost::json::object error = boost::json::parse(body).as_object().at("error").as_object();
    CHECK(error.at("code") == "overloaded" && error.at("outcome") == "not_run" && error.at("type") == "server_error");
    CHECK(error.at("request_id") == "r1" && error.at("retry_after_seconds") == 3 && error.at("retry_token") == "2");
}

TEST(CallerApi, onlyACompletedStreamEndsWithDone)
{
    STRCMP_CONTAINS("data: [DONE]\n\n", streamEnd(RequestId { "r1" }).c_str());
    std::string error = streamError({ .status = 502, .outcome = Outcome::Unknown, .reason = Reason::AnswerLost }, RequestId { "r1" });
    CHECK(error.starts_with("event: error\ndata: {"));
    CHECK(error.find("[DONE]") == std::string::npos);
}

TEST(CallerApi, hopByHopHeadersAndCredentialsAreNotForwarded)
{
    std::vector<HttpHeader> headers { { "Authorization", "Bearer x" }, { "Connection", "close, X-Hop" }, { "X-Hop", "1" }, { "TE", "x" },
        { "X-HTTP-Method-Override", "POST" }, { "Limpetpond-Retry-Token", "1" }, { "X-Kept", "2" }, { "Content-Encoding", "gzip" } };
    auto kept = headersForService(headers);
    LONGS_EQUAL(2, kept.size());
    STRCMP_EQUAL("2", headerValue(kept, "x-kept").c_str());
    STRCMP_EQUAL("gzip", headerValue(kept, "content-encoding").c_str());
}

TEST(CallerApi, storedAnswerKeepsArbitraryBytes)
{
    for (std::size_t length = 0; length < 9; ++length) {
        HttpResponse answer { .status = 201, .headers = { { "X-A", "1" }, { "Connection", "close" } }, .body = std::string("\0\xff\n\"ab\xc3z", 8).substr(0, length) };
        std::string text = encodeStoredAnswer(answer);
        auto decoded = decodeStoredAnswer(text);
        CHECK(decoded.has_value());
        LONGS_EQUAL(201, decoded->status);
        CHECK(decoded->body == answer.body);
        LONGS_EQUAL(1, decoded->headers.size());
    }
}

TEST(CallerApi, invalidTextIsNotAStoredAnswer)
{
    for (const char* text : { "", "x", "{}", R"({"status":200,"headers":[],"body":"***"})", R"({"status":200,"headers":[1],"body":""})" })
        CHECK_FALSE(decodeStoredAnswer(text).has_value());
}
