#include "daemon/PlatformIo.h"
#include <atomic>
#include <condition_variable>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::milliseconds;

namespace {

WriteClaim writeOf(const std::string& key, const std::string& request)
{
    return { .request = RequestId { request }, .row = { .account = ClientAccountId { "acme" }, .key = IdempotencyKey { key }, .attempt = AttemptId { request + "-a" } } };
}

} // namespace

TEST_GROUP(PlatformIo)
{
    SystemClock clock;
    PlatformCalls calls;
    std::mutex mutex;
    std::condition_variable wake;
    std::vector<ControlEvent> events;
    std::vector<std::size_t> batches;
    std::size_t repeatedKeys { 0 };
    bool mayWrite { true };

    void setup() override
    {
        calls.writeClaims = [this](const std::vector<WriteClaim>& writes) {
            std::unique_lock lock(mutex);
            batches.push_back(writes.size());
            std::set<IdempotencyKey> keys;
            for (const WriteClaim& write : writes)
                keys.insert(write.row.key);
            repeatedKeys += writes.size() - keys.size();
            wake.notify_all();
            wake.wait(lock, [this] { return mayWrite; });
            std::vector<ClaimAnswered> answers;
            answers.reserve(writes.size());
            for (const WriteClaim& write : writes)
                answers.push_back({ .request = write.request, .attempt = write.row.attempt });
            return answers;
        };
        calls.readSettingsHead = [](SteadyTime startedAt) { return SettingsHeadRead { .answered = true, .version = SettingsVersion { 3 }, .readStartedAt = startedAt }; };
        calls.sendHeartbeat = [](const SendHeartbeat& send, SteadyTime) { return HeartbeatLost { send.to }; };
        calls.sendEngineCommand = [](const SendEngineCommand&) { return EngineCommandProgress::Reached; };
    }

    std::function<void(ControlEvent)> poster()
    {
        return [this](ControlEvent event) {
            std::lock_guard lock(mutex);
            events.push_back(std::move(event));
        };
    }

    EngineCommandProgress progressOfCommand(SteadyTime notAfter)
    {
        {
            PlatformIo io({}, calls, clock, poster());
            io.carryOut(SendEngineCommand { .target = TargetId { "e1" }, .fence = { FencingNumber { 1 }, notAfter } });
        }
        return std::get<EngineCommandAnswered>(events.at(0)).progress;
    }
};

TEST(PlatformIo, eachClaimWriteIsAnsweredOnce)
{
    {
        PlatformIo io({}, calls, clock, poster());
        for (int i = 0; i < 200; ++i)
            io.carryOut(writeOf("k" + std::to_string(i), "r" + std::to_string(i)));
    }
    std::set<RequestId> answered;
    for (const ControlEvent& event : events)
        answered.insert(std::get<ClaimAnswered>(event).request);
    LONGS_EQUAL(200, events.size());
    LONGS_EQUAL(200, answered.size());
}

TEST(PlatformIo, queuedWritesAreBatchedWithEachKeyAtMostOncePerBatch)
{
    mayWrite = false;
    {
        PlatformIo io({ .threads = 4, .maxBatch = 10 }, calls, clock, poster());
        io.carryOut(writeOf("first", "r0"));
        {
            std::unique_lock lock(mutex);
            wake.wait(lock, [this] { return !batches.empty(); });
        }
        io.carryOut(writeOf("k1", "r13"));
        for (int i = 1; i <= 12; ++i)
            io.carryOut(writeOf("k" + std::to_string(i), "r" + std::to_string(i)));
        std::lock_guard lock(mutex);
        mayWrite = true;
        wake.notify_all();
    }
    CHECK((batches == std::vector<std::size_t> { 1, 10, 3 }));
    LONGS_EQUAL(0, repeatedKeys);
    LONGS_EQUAL(14, events.size());
}

TEST(PlatformIo, fullQueueFailsAtOnceAsNotSent)
{
    mayWrite = false;
    {
        PlatformIo io({ .threads = 4, .maxQueued = 1 }, calls, clock, poster());
        io.carryOut(writeOf("first", "r0"));
        {
            std::unique_lock lock(mutex);
            wake.wait(lock, [this] { return !batches.empty(); });
        }
        io.carryOut(writeOf("second", "r1"));
        io.carryOut(writeOf("third", "r2"));
        std::lock_guard lock(mutex);
        LONGS_EQUAL(2, events.size());
        for (const ControlEvent& event : events)
            CHECK(std::get<ClaimAnswered>(event).answer == StoreAnswer::NotSent);
        mayWrite = true;
        wake.notify_all();
    }
    LONGS_EQUAL(3, events.size());
}

TEST(PlatformIo, headReadAgeIncludesTheTimeInTheQueue)
{
    SteadyTime before = clock.steadyNow();
    {
        PlatformIo io({}, calls, clock, poster());
        io.carryOut(ReadSettingsHead {});
    }
    const auto& read = std::get<SettingsHeadRead>(events.at(0));
    CHECK(read.answered && read.readStartedAt >= before && read.readStartedAt <= clock.steadyNow());
}

TEST(PlatformIo, lostHeartbeatIsReported)
{
    {
        PlatformIo io({}, calls, clock, poster());
        io.carryOut(SendHeartbeat { .to = InstanceId { "i2" } });
    }
    CHECK(std::get<HeartbeatLost>(events.at(0)).instance == InstanceId { "i2" });
}

TEST(PlatformIo, commandIsNotSentAfterItsFenceExpired)
{
    CHECK(progressOfCommand(clock.steadyNow() + std::chrono::seconds(5)) == EngineCommandProgress::Reached);
    events.clear();
    CHECK(progressOfCommand(clock.steadyNow() - milliseconds(1)) == EngineCommandProgress::Failed);
}
