#include "engine/Prompt.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

std::string faultOf(const std::string& body)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parsePrompt(body));
            return std::string();
        },
        [](const InvalidSetting& fault) { return fault.name; },
        [] { return std::string("other"); });
}

} // namespace

TEST_GROUP(Prompt) {};

TEST(Prompt, chatMessagesBecomeOneText)
{
    auto request = parsePrompt(R"({"model":"m","stream":true,"max_tokens":7,"messages":[{"role":"system","content":"s"},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]})");
    CHECK(request.has_value());
    STRCMP_EQUAL("system\ns\nuser\nab\n", request->prompt.c_str());
    STRCMP_EQUAL("m", request->model.c_str());
    LONGS_EQUAL(7, request->maxAnswerTokens.count());
    CHECK(request->stream);
}

TEST(Prompt, completionsPromptIsTakenAsItIs)
{
    auto request = parsePrompt(R"({"model":"m","prompt":"text"})");
    CHECK(request.has_value());
    STRCMP_EQUAL("text", request->prompt.c_str());
    LONGS_EQUAL(0, request->maxAnswerTokens.count());
    CHECK_FALSE(request->stream);
}

TEST(Prompt, faultsNameTheField)
{
    STRCMP_EQUAL("body", faultOf("{").c_str());
    STRCMP_EQUAL("body", faultOf("[]").c_str());
    STRCMP_EQUAL("model", faultOf(R"({"prompt":"a"})").c_str());
    STRCMP_EQUAL("messages", faultOf(R"({"model":"m"})").c_str());
    STRCMP_EQUAL("messages", faultOf(R"({"model":"m","messages":[]})").c_str());
    STRCMP_EQUAL("messages", faultOf(R"({"model":"m","messages":[{"role":"user"}]})").c_str());
    STRCMP_EQUAL("messages.content", faultOf(R"({"model":"m","messages":[{"role":"user","content":[{"image":1}]}]})").c_str());
    STRCMP_EQUAL("prompt", faultOf(R"({"model":"m","prompt":1})").c_str());
    STRCMP_EQUAL("max_tokens", faultOf(R"({"model":"m","prompt":"a","max_tokens":0})").c_str());
    STRCMP_EQUAL("stream", faultOf(R"({"model":"m","prompt":"a","stream":"yes"})").c_str());
}

TEST(Prompt, tokensAreEstimatedFromBytesRoundedUp)
{
    LONGS_EQUAL(0, estimateTokens("").count());
    LONGS_EQUAL(1, estimateTokens("a").count());
    LONGS_EQUAL(2, estimateTokens("abcde").count());
}

TEST(Prompt, blocksOfACommonStartAreEqual)
{
    const std::string start(2 * tokensPerBlock * bytesPerToken, 'a');
    auto one = prefixBlocks(start + std::string(64, 'b'));
    auto two = prefixBlocks(start + std::string(64, 'c') + "rest");
    LONGS_EQUAL(3, one.size());
    LONGS_EQUAL(3, two.size());
    CHECK(one[0] == two[0]);
    CHECK(one[1] == two[1]);
    CHECK(one[2] != two[2]);
}

TEST(Prompt, equalBlocksAtOtherPlacesDiffer)
{
    auto blocks = prefixBlocks(std::string(2 * tokensPerBlock * bytesPerToken, 'a'));
    CHECK(blocks[0] != blocks[1]);
}
