/// Callers that don't keep to the limits must not end the process: memory and descriptors stay below what its settings file
/// allows, and ordinary requests are answered. Each test guards against a process that runs out of memory under such callers.

#include "test/process/Crowd.h"
#include "test/process/GatewayProcess.h"
#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using fakes::TargetCall;

TEST_GROUP(UncontrolledClients)
{
    static constexpr GatewayProcessOptions defaultMachine { .memoryMegabytes = 40, .maxDescriptors = 1000, .slots = 400 };
    static constexpr std::size_t callers = 300;
    static constexpr std::size_t streams = 200; ///< The target's fake has a thread for each.
    static constexpr std::size_t bodyLimit = 4194304; ///< The default of the operator document.
    static constexpr std::size_t eventBytes = 200'000;
    static constexpr int eventsPerStream = 20;
    static constexpr std::size_t wholeAnswerBytes = 400'000;

    static void serve(TargetCall & call)
    {
        if (call.head().find(" /pay/") != std::string::npos) {
            call.answer(200, std::string(wholeAnswerBytes, 'x'));
            return;
        }
        if (call.head().find(" /draft/") == std::string::npos) {
            call.answer(200, "done");
            return;
        }
        call.beginEvents();
        const std::string text(eventBytes, 'x');
        for (int i = 1; i <= eventsPerStream; ++i)
            call.chunk("id: " + std::to_string(i) + "\ndata: " + text + "\n\n");
        call.endEvents();
    }

    static std::string headOf(const std::string& path, const std::string& lengthField)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: rNUMBER\r\nX-Deadline-Ms: 60000\r\nAuthorization: Token k1\r\n" + lengthField + "\r\n\r\n";
    }

    static std::string lengthField(std::size_t bytes) { return "Content-Length: " + std::to_string(bytes); }

    /// Waits until the process has taken no more memory for some time.
    static void waitForConstantMemory(const GatewayProcess& gateway)
    {
        constexpr auto limit = std::chrono::seconds(20);
        constexpr int constantReads = 150; // At 10 ms each.
        std::size_t last = 0;
        int reads = 0;
        eventually(limit, [&] {
            std::size_t peak = gateway.peakMemory();
            reads = peak == last ? reads + 1 : 0;
            last = peak;
            return reads >= constantReads;
        });
    }

    /// Lets the crowd send all that it can, then checks that the process holds what its settings file allows, and answers.
    static void checkHolds(CrowdOptions options, const GatewayProcessOptions& machine = defaultMachine)
    {
        GatewayProcess gateway(machine, serve);
        CHECK_TRUE(gateway.isReady());
        options.port = gateway.callerPort();
        Crowd crowd(options);
        crowd.send();
        waitForConstantMemory(gateway);
        std::size_t descriptors = gateway.openDescriptors();
        std::string status = gateway.statusOfSmallRequest();
        std::size_t peak = gateway.peakMemory();
        std::printf("\npeak %.1f MB of %d, %zu descriptors, %zu of %zu callers sent all, %zu answered\n", static_cast<double>(peak) / 1e6, machine.memoryMegabytes, descriptors,
            crowd.finished(), options.callers, crowd.answered());
        CHECK_TEXT(gateway.isRunning(), "the process has ended");
        CHECK_TEXT(peak < static_cast<std::size_t>(machine.memoryMegabytes) * 1'000'000, "the process took more memory than limits.ramMb");
        CHECK_TEXT(descriptors < static_cast<std::size_t>(machine.maxDescriptors), "the process took more descriptors than limits.maxFds");
        STRCMP_EQUAL("200", status.c_str());
        CHECK_TEXT(!crowd.hasOtherStatusThan({ "200", "400", "408", "413", "429", "503" }), "a caller got another status than a refusal");
    }
};

TEST(UncontrolledClients, chunkedBodiesInLargeChunksThatNeverEnd)
{
    constexpr std::size_t chunkBytes = 65536;
    checkHolds({ .callers = callers, .head = headOf("/read/x", "Transfer-Encoding: chunked"), .piece = "10000\r\n" + std::string(chunkBytes, 'x') + "\r\n", .pieces = bodyLimit / chunkBytes - 1, .takesTurns = true });
}

TEST(UncontrolledClients, chunkedBodiesInVerySmallChunksThatNeverEnd)
{
    constexpr int chunksPerPiece = 4096;
    std::string piece;
    for (int i = 0; i < chunksPerPiece; ++i)
        piece += "1\r\nx\r\n";
    checkHolds({ .callers = callers, .head = headOf("/read/x", "Transfer-Encoding: chunked"), .piece = piece, .pieces = 60, .takesTurns = true });
}

TEST(UncontrolledClients, largeBodiesOfLegalSizeCompleteButForTheLastByte)
{
    checkHolds({ .callers = callers, .head = headOf("/read/x", lengthField(bodyLimit)), .piece = std::string(bodyLimit - 1, 'x'), .pieces = 1 });
}

TEST(UncontrolledClients, largeBodiesOfLegalSizePieceByPiece)
{
    constexpr std::size_t pieceBytes = 16384;
    checkHolds({ .callers = callers, .head = headOf("/read/x", lengthField(bodyLimit)), .piece = std::string(pieceBytes, 'x'), .pieces = bodyLimit / pieceBytes - 1, .tail = std::string(pieceBytes - 1, 'x'), .takesTurns = true });
}

TEST(UncontrolledClients, bodiesFarOverTheLimitThatAreAnnounced)
{
    checkHolds({ .callers = callers, .head = headOf("/read/x", lengthField(16 * bodyLimit)), .piece = std::string(1U << 20, 'x'), .pieces = 16 });
}

TEST(UncontrolledClients, bodiesFarOverTheLimitThatAreJustSent)
{
    constexpr std::size_t chunkBytes = 65536;
    checkHolds({ .callers = callers, .head = headOf("/read/x", "Transfer-Encoding: chunked"), .piece = "10000\r\n" + std::string(chunkBytes, 'x') + "\r\n", .pieces = 4 * bodyLimit / chunkBytes });
}

TEST(UncontrolledClients, streamsOfLargeEventsWhoseCallersReadNothing)
{
    checkHolds({ .callers = streams, .head = headOf("/draft/x", lengthField(0)) });
}

// They come faster than callers can be given time to read.
TEST(UncontrolledClients, wholeAnswersWhoseCallersReadNothing)
{
    constexpr GatewayProcessOptions largeMachine { .memoryMegabytes = 260, .maxDescriptors = 2500, .slots = 120 };
    checkHolds({ .callers = 1500, .receiveBufferBytes = 4096, .head = headOf("/pay/x", lengthField(0)) }, largeMachine);
}

// The bounds must not turn away what is within the limits while there is no other load.
TEST(UncontrolledClients, aSingleBodyOfTheLargestSizeIsServed)
{
    GatewayProcess gateway(defaultMachine, serve);
    CHECK_TRUE(gateway.isReady());
    const std::string body(bodyLimit, 'x');
    STRCMP_EQUAL("200", gateway.statusOfRequest(lengthField(bodyLimit), body).c_str());
    STRCMP_EQUAL("200", gateway.statusOfRequest("Transfer-Encoding: chunked", "400000\r\n" + body + "\r\n0\r\n\r\n").c_str());
    STRCMP_EQUAL("200", gateway.statusOfRequest(lengthField(bodyLimit), body).c_str());
    LONGS_EQUAL(0, static_cast<long>(gateway.metricValue("limpetpond_refused_bodies_total")));
}
