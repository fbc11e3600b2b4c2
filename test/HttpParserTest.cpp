#include "traffic/HttpParser.h"
#include "gateway/HttpText.h"

#include <boost/beast/http/error.hpp>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

std::string bodyText(const ReceivedRequest& request) { return request.body ? request.body->text() : std::string(); }

/// Parses the text byte by byte and keeps unconsumed bytes, as connections do. True if the request is complete.
bool parsesBytewise(RequestParser& parser, const std::string& text)
{
    std::string input;
    for (char byte : text) {
        input += byte;
        boost::system::error_code error;
        input.erase(0, putBytes(parser, input, error));
        if (error && error != boost::beast::http::error::need_more)
            return false;
    }
    return parser.is_done();
}

} // namespace

TEST_GROUP(HttpParser)
{
    RequestParser parser { ByteCount(4096), ByteCount(4096) };
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
};

TEST(HttpParser, parsesEmptyChunkedBodyByteByByte)
{
    CHECK_TRUE(parsesBytewise(parser, head + "0\r\n\r\n"));
    STRCMP_EQUAL("", bodyText(parser.takeRequest()).c_str());
}

TEST(HttpParser, parsesChunksByteByByte)
{
    CHECK_TRUE(parsesBytewise(parser, head + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
    STRCMP_EQUAL("abcde", bodyText(parser.takeRequest()).c_str());
}

TEST(HttpParser, rejectsInvalidTrailerAfterLastChunk)
{
    CHECK_FALSE(parsesBytewise(parser, head + "0\r\nabc\r0\n\r\n\r\n"));
}

// A field takes much more memory than its few bytes, so the limit of the head's bytes doesn't bound it.
TEST(HttpParser, rejectsHeadsOfThousandsOfShortFields)
{
    std::string fields;
    for (int i = 0; i < 2000; ++i)
        fields += "a:\r\n";
    RequestParser request { ByteCount(65536), ByteCount(4096) };
    boost::system::error_code error;
    putBytes(request, "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n", error);
    CHECK(error == boost::beast::http::error::header_limit);

    struct Ignored final : AnswerSink {
        void onAnswerHead(HttpAnswerHead&&) override { }
        void onAnswerBody(std::string_view) override { }
    } sink;
    AnswerParser answer { sink };
    putBytes(answer, "HTTP/1.1 200 OK\r\n" + fields + "\r\n", error);
    CHECK(error == boost::beast::http::error::header_limit);
}

// A count of "inf" made an account's use infinite, and its refund not a number.
TEST(HttpParser, onlyFiniteNumbersAreDecimals)
{
    for (const char* text : { "inf", "INF", "infinity", "nan", "-1", "-0.5", "1e999", "", "x" })
        CHECK_FALSE(parseDecimal(text).has_value());
    DOUBLES_EQUAL(2.5, *parseDecimal("2.5"), 0);
    DOUBLES_EQUAL(0, *parseDecimal("0"), 0);
}
