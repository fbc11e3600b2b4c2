/// The load generator's outcome for interrupted answers. An empty or partial answer of the caller's own is neither
/// mismatched nor completed.

#include "test/ScriptedServer.h"
#include "test/process/Site.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

LoadResult callOnce(int port)
{
    return LoadGenerator({ port }, { "--keys=k", "--service=fees", "--service_share=1", "--requests=1", "--tag=broken" }).finish();
}

/// Sends the head of an answer of 100 bytes and the given start of its body, then closes the connection.
ScriptedServer::Handler answerWithStart(const std::string& start)
{
    return [start](const httplib::Request&, httplib::Response& response) {
        response.set_content_provider(100, "application/json", [start](std::size_t offset, std::size_t, httplib::DataSink& sink) {
            if (offset || start.empty())
                return false;
            return sink.write(start.data(), start.size());
        });
    };
}

} // namespace

TEST_GROUP(BrokenAnswer) {};

TEST(BrokenAnswer, headWithoutABodyIsAnUnknownOutcome)
{
    ScriptedServer server(answerWithStart(""));
    LoadResult result = callOnce(server.port());
    LONGS_EQUAL(1, result.count("unknown"));
    LONGS_EQUAL(0, result.count("mismatched"));
}

TEST(BrokenAnswer, startOfTheOwnAnswerIsAnUnknownOutcome)
{
    ScriptedServer server(answerWithStart(R"({"key":"broken-0","run")"));
    LoadResult result = callOnce(server.port());
    LONGS_EQUAL(1, result.count("unknown"));
    LONGS_EQUAL(0, result.count("completed"));
}

TEST(BrokenAnswer, startOfAnotherAnswerIsMismatched)
{
    ScriptedServer server(answerWithStart(R"({"key":"broken-7","run")"));
    LONGS_EQUAL(1, callOnce(server.port()).count("mismatched"));
}
