#include "caller/CompletionAssembler.h"
#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
namespace json = boost::json;

TEST_GROUP(CompletionAssembler) {};

TEST(CompletionAssembler, joinsTheTextOfAChat)
{
    CompletionAssembler assembler(CompletionKind::Chat);
    CHECK(assembler.addChunk(R"({"id":"c1","created":5,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"He"},"finish_reason":null}]})"));
    CHECK(assembler.addChunk(R"({"id":"c1","choices":[{"index":0,"delta":{"content":"llo"},"finish_reason":"stop"}]})"));
    CHECK(assembler.addChunk(R"({"id":"c1","choices":[],"usage":{"prompt_tokens":3}})"));
    json::object whole = json::parse(assembler.toJson()).as_object();
    CHECK(whole.at("object") == "chat.completion" && whole.at("id") == "c1" && whole.at("created") == 5);
    json::object choice = whole.at("choices").as_array().at(0).as_object();
    CHECK(choice.at("message").as_object().at("content") == "Hello" && choice.at("message").as_object().at("role") == "assistant");
    CHECK(choice.at("finish_reason") == "stop" && whole.at("usage").as_object().at("prompt_tokens") == 3);
}

TEST(CompletionAssembler, joinsTextCompletionsByChoice)
{
    CompletionAssembler assembler(CompletionKind::Text);
    assembler.addChunk(R"({"choices":[{"index":1,"text":"b"}]})");
    assembler.addChunk(R"({"choices":[{"index":0,"text":"a"},{"index":1,"text":"B"}]})");
    json::array choices = json::parse(assembler.toJson()).as_object().at("choices").as_array();
    CHECK(choices.at(0).as_object().at("text") == "a" && choices.at(1).as_object().at("text") == "bB");
}

TEST(CompletionAssembler, joinsToolCallsByIndex)
{
    CompletionAssembler assembler(CompletionKind::Chat);
    assembler.addChunk(R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]})");
    assembler.addChunk(R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]}}]})");
    json::object message = json::parse(assembler.toJson()).as_object().at("choices").as_array().at(0).as_object().at("message").as_object();
    json::object call = message.at("tool_calls").as_array().at(0).as_object();
    CHECK(call.at("id") == "t" && call.at("function").as_object().at("name") == "f" && call.at("function").as_object().at("arguments") == R"({"a":1})");
}

TEST(CompletionAssembler, rejectsChunksThatAreNotObjects)
{
    CompletionAssembler assembler(CompletionKind::Chat);
    CHECK_FALSE(assembler.addChunk("[]"));
    CHECK_FALSE(assembler.addChunk("{"));
}
