/// Tests that every reader of answers takes the same ones, and none that is broken.

#include "test/AnswerReaders.h"
#include "test/fakes/edge/TargetFake.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using fakes::RequestPart;
using fakes::TargetCall;
using fakes::TargetFake;

TEST_GROUP(AnswerReaders)
{
    const std::string upload = std::string(2'000'000, 'u');
};

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
                CHECK_FALSE_TEXT(reader.read(server.port(), upload).isWhole, reader.name);
        }
    }
}
