#include "engine/Prompt.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

std::string invalidFieldOf(const std::string& body)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parsePrompt(body));
            return std::string();
        },
        [](const InvalidSetting& invalid) { return invalid.name; },
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

TEST(Prompt, completionsPromptIsUnchanged)
{
    auto request = parsePrompt(R"({"model":"m","prompt":"text"})");
    CHECK(request.has_value());
    STRCMP_EQUAL("text", request->prompt.c_str());
    LONGS_EQUAL(0, request->maxAnswerTokens.count());
    CHECK_FALSE(request->stream);
}

TEST(Prompt, errorsNameTheInvalidField)
{
    STRCMP_EQUAL("body", invalidFieldOf("{").c_str());
    STRCMP_EQUAL("body", invalidFieldOf("[]").c_str());
    STRCMP_EQUAL("model", invalidFieldOf(R"({"prompt":"a"})").c_str());
    STRCMP_EQUAL("messages", invalidFieldOf(R"({"model":"m"})").c_str());
    STRCMP_EQUAL("messages", invalidFieldOf(R"({"model":"m","messages":[]})").c_str());
    STRCMP_EQUAL("messages", invalidFieldOf(R"({"model":"m","messages":[{"role":"user"}]})").c_str());
    STRCMP_EQUAL("messages.content", invalidFieldOf(R"({"model":"m","messages":[{"role":"user","content":[{"image":1}]}]})").c_str());
    STRCMP_EQUAL("prompt", invalidFieldOf(R"({"model":"m","prompt":1})").c_str());
    STRCMP_EQUAL("max_tokens", invalidFieldOf(R"({"model":"m","prompt":"a","max_tokens":0})").c_str());
    STRCMP_EQUAL("stream", invalidFieldOf(R"({"model":"m","prompt":"a","stream":"yes"})").c_str());
}

TEST(Prompt, tokensAreEstimatedFromBytesRoundedUp)
{
    LONGS_EQUAL(0, estimateTokens("").count());
    LONGS_EQUAL(1, estimateTokens("a").count());
    LONGS_EQUAL(2, estimateTokens("abcde").count());
}

TEST(Prompt, commonPrefixGivesEqualBlocks)
{
    const std::string prefix(2 * tokensPerBlock * bytesPerToken, 'a');
    auto one = prefixBlocks(prefix + std::string(64, 'b'));
    auto two = prefixBlocks(prefix + std::string(64, 'c') + "rest");
    LONGS_EQUAL(3, one.size());
    LONGS_EQUAL(3, two.size());
    CHECK(one[0] == two[0]);
    CHECK(one[1] == two[1]);
    CHECK(one[2] != two[2]);
}

TEST(Prompt, equalTextInLaterBlocksGivesOtherHashes)
{
    auto blocks = prefixBlocks(std::string(2 * tokensPerBlock * bytesPerToken, 'a'));
    CHECK(blocks[0] != blocks[1]);
}
