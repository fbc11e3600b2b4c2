#include "daemon/ControlThread.h"
#include "base/Hash.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::milliseconds;

TEST_GROUP(ControlThread)
{
    SystemClock clock;
    Metrics metrics;
    Timeline timeline { {}, clock };
    std::function<void(const ControlEvent&, ControlActions&)> onEvent { [](const ControlEvent&, ControlActions&) {} };
    std::atomic<int> ticks { 0 };
    std::atomic<int> carriedOut { 0 };
    std::atomic<bool> ready { false };
    std::unique_ptr<ControlThread> control;

    void start()
    {
        ControlCore core { .handle = [this](const ControlEvent& event, SteadyTime, ControlActions& out) {
                              ticks += std::holds_alternative<Tick>(event);
                              onEvent(event, out); },
            .settings = [] { return std::shared_ptr<const Settings>(); },
            .isReady = [this](SteadyTime) { return ready.load(); },
            .isDrained = [] { return false; },
            .status = [](SteadyTime) { return ControlStatus { .self = InstanceId { "i1" } }; } };
        control = std::make_unique<ControlThread>(
            ControlThreadOptions { .tickPeriod = milliseconds(2) }, core, clock, [this](const ControlAction&) { ++carriedOut; }, timeline, metrics);
        control->start();
    }

    template <typename Condition>
    static bool eventually(Condition condition)
    {
        for (int i = 0; i < 2000 && !condition(); ++i)
            std::this_thread::sleep_for(milliseconds(1));
        return condition();
    }
};

TEST(ControlThread, ticksAreHandledWithoutEvents)
{
    start();
    CHECK(eventually([this] { return ticks >= 3; }));
}

TEST(ControlThread, decisionsArePostedToTheInboxUntilTheFinalAnswer)
{
    onEvent = [](const ControlEvent& event, ControlActions& out) {
        if (const auto* arrival = std::get_if<RequestArrived>(&event)) {
            out.push_back(Dispatch { .request = arrival->request });
            out.push_back(FinalAnswer { .request = arrival->request });
            out.push_back(CancelDispatch { .request = arrival->request });
        }
    };
    start();
    auto inbox = std::make_shared<RequestInbox>();
    control->postArrival({ .request = RequestId { "r1" } }, inbox);
    std::vector<RequestMessage> messages;
    eventually([&] {
        for (RequestMessage& message : inbox->mailbox.take())
            messages.push_back(std::move(message));
        return messages.size() >= 2;
    });
    control->stop();
    LONGS_EQUAL(2, messages.size());
    CHECK(std::holds_alternative<Dispatch>(messages[0]) && std::holds_alternative<FinalAnswer>(messages[1]));
    LONGS_EQUAL(0, inbox->mailbox.take().size());
}

TEST(ControlThread, actionsOfIoThreadsArePassedToCarryOut)
{
    onEvent = [](const ControlEvent& event, ControlActions& out) {
        if (std::holds_alternative<ShutdownRequested>(event))
            out.push_back(ReadSettingsHead {});
    };
    start();
    control->post(ShutdownRequested {});
    CHECK(eventually([this] { return carriedOut == 1; }));
}

TEST(ControlThread, heartbeatReturnsTheAnswerOrNothingAfterTheTimeout)
{
    onEvent = [](const ControlEvent& event, ControlActions& out) {
        const auto* received = std::get_if<HeartbeatReceived>(&event);
        if (received && received->heartbeat.instance == InstanceId { "i2" })
            out.push_back(AnswerHeartbeat { .to = InstanceId { "i2" }, .heartbeat = { .sequence = 8 } });
    };
    start();
    LONGS_EQUAL(8, control->heartbeat({ .instance = InstanceId { "i2" } }, milliseconds(2000))->sequence);
    CHECK_FALSE(control->heartbeat({ .instance = InstanceId { "i3" } }, milliseconds(5)).has_value());
}

TEST(ControlThread, readinessAndStatusArePublished)
{
    start();
    CHECK(eventually([this] { return control->view()->status != nullptr; }));
    CHECK_FALSE(control->view()->ready);
    ready = true;
    CHECK(eventually([this] { return control->view()->ready; }));
}

TEST(ControlThread, requestsAreRecordedInTheTimeline)
{
    start();
    control->postArrival({ .request = RequestId { "r1" }, .account = ClientAccountId { "acme" } }, std::make_shared<RequestInbox>());
    CHECK(eventually([this] { return timeline.entries(0, RequestId { "r1" }).size() == 1; }));
}

TEST_GROUP(AccountIndex) {};

TEST(AccountIndex, findsAnAccountByAnyOfItsKeys)
{
    Settings settings;
    settings.accounts[ClientAccountId { "a" }] = { .id = ClientAccountId { "a" }, .keyHashes = { sha256Hex("k1"), sha256Hex("k2") } };
    settings.accounts[ClientAccountId { "b" }] = { .id = ClientAccountId { "b" }, .keyHashes = { sha256Hex("k3") } };
    AccountIndex index(settings);
    CHECK(index.find(sha256Hex("k2")) == ClientAccountId { "a" });
    CHECK(index.find(sha256Hex("k3")) == ClientAccountId { "b" });
    CHECK_FALSE(index.find(sha256Hex("k4")).has_value());
    CHECK_FALSE(index.find(sha256Hex("k1").substr(0, 8)).has_value());
}
