/// Tests that every reader of answers takes the same ones, and none that is broken.

#include "test/AnswerReaders.h"
#include "test/AnswerTable.h"
#include "test/fakes/edge/TargetFake.h"
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using fakes::RequestPart;
using fakes::TargetCall;
using fakes::TargetFake;

TEST_GROUP(AnswerReaders)
{
    const std::string upload = std::string(2'000'000, 'u');
    const std::string body = bodyForAllReaders;

    /// Runs the check on what each reader makes of each answer, whole and byte by byte, with the end of the connection behind
    /// it. The text names the reader and the answer.
    template <typename Check>
    void forEachReader(const std::vector<AnswerText>& answers, Check check)
    {
        for (const AnswerReader& reader : answerReaders) {
            readEach(reader, answers, ": ", &TargetCall::write, check);
            readEach(reader, answers, ", byte by byte: ", &TargetCall::writeBytewise, check);
        }
    }

    template <typename Check>
    void readEach(const AnswerReader& reader, const std::vector<AnswerText>& answers, const std::string& way, void (TargetCall::*write)(const std::string&), Check check)
    {
        std::mutex mutex;
        std::string bytes;
        TargetFake server([&](TargetCall& call) {
            std::unique_lock lock(mutex);
            std::string answer = bytes; // A reader may end before all is written, and the next answer is set.
            lock.unlock();
            (call.*write)(answer);
            call.closeConnection();
        });
        for (const AnswerText& answer : answers) {
            {
                std::lock_guard lock(mutex);
                bytes = answer.bytes();
            }
            check(reader.read(server.port(), "{}"), reader.name + way + answer.name);
        }
    }
};

// Of a target in trouble, callers got answers with the status 000, and answers in whose head a name held a blank or a control byte.
TEST(AnswerReaders, aBrokenAnswerIsNoAnswer)
{
    forEachReader(brokenAnswers(body), [](const AnswerRead& read, const std::string& what) {
        CHECK_FALSE_TEXT(read.isWhole, what.c_str());
    });
}

TEST(AnswerReaders, anUnusualAnswerIsAnAnswer)
{
    forEachReader(soundAnswers(body), [&](const AnswerRead& read, const std::string& what) {
        CHECK_TRUE_TEXT(read.isWhole, what.c_str());
        LONGS_EQUAL_TEXT(200, read.status, what.c_str());
        STRCMP_EQUAL_TEXT(body.c_str(), read.body.value_or(body).c_str(), what.c_str());
    });
}

TEST(AnswerReaders, aResetDuringAnUploadIsNeverTheEndOfAnAnswer)
{
    for (bool closesOverUnreadBytes : { false, true }) {
        for (std::chrono::milliseconds pause : { 0ms, 20ms, 200ms }) {
            TargetFake server([&](TargetCall& call) {
                call.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"part\":");
                std::this_thread::sleep_for(pause);
                if (!closesOverUnreadBytes)
                    call.resetConnection();
            },
                RequestPart::Head);
            for (const AnswerReader& reader : answerReaders)
                CHECK_FALSE_TEXT(reader.sendsBody && reader.read(server.port(), upload).isWhole, reader.name);
        }
    }
}
