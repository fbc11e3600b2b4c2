#include "peer/PeerServer.h"
#include "peer/PeerClient.h"
#include "peer/PeerConversion.h"
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

const Secret sharedSecret { "sesame-sesame-sesame" };
const InstanceId otherPeer { "i2" };

std::optional<CallError> failureOf(const std::function<Result<void>()>& call)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<CallError>> {
            BOOST_LEAF_CHECK(call());
            return std::optional<CallError> {};
        },
        [](const CallError& error) { return std::optional(error); },
        [] { return std::optional(CallError { .detail = "untyped" }); });
}

} // namespace

TEST_GROUP(PeerServer)
{
    PeerServer server { { .listen = { "127.0.0.1", 0 }, .maxMessage = ByteCount { 64L * 1024 } } };
    PeerDirectory directory;
    std::uint64_t observed { 0 };
    int port { 0 };

    void setup() override
    {
        server.addService(peerServiceName, makePeerProcessor({ .secret = sharedSecret, .heartbeat = [](const Heartbeat& received) {
                if (received.instance == InstanceId { "slow" })
                    return std::optional<Heartbeat> {};
                return std::optional(Heartbeat { .instance = otherPeer, .sequence = received.sequence + 1 }); }, .fetchSettings = [](SettingsVersion after) -> Result<rpc::SettingsUpdate> {
                if (after.isNone())
                    return boost::leaf::new_error(CallError { .detail = "none held" });
                rpc::SettingsUpdate update;
                update.currentVersion = static_cast<std::int64_t>(after.value()) + 1;
                return update; }, .observeLogicalTime = [this](std::uint64_t time) { observed = time; }, .logicalTime = [] { return std::uint64_t { 500 }; } }));
        port = *server.start();
        directory.replace({ { otherPeer, { "127.0.0.1", port } } });
    }

    void teardown() override { server.stop(); }
};

TEST(PeerServer, heartbeatIsAnsweredWithItsLogicalTime)
{
    PeerClient client({ .secret = sharedSecret }, directory);
    rpc::Heartbeat sent = toThrift(Heartbeat { .instance = InstanceId { "i1" }, .sequence = 4 });
    sent.logicalTime = 77;
    auto answer = client.heartbeat(otherPeer, sent);
    LONGS_EQUAL(5, answer->sequence);
    LONGS_EQUAL(500, answer->logicalTime);
    LONGS_EQUAL(77, observed);
}

TEST(PeerServer, messagesAndBytesAreCounted)
{
    PeerClient client({ .secret = sharedSecret }, directory);
    CHECK(bool(client.heartbeat(otherPeer, {})));
    LONGS_EQUAL(1, client.traffic().messages.load());
    CHECK(client.traffic().bytes.load() > 40);
}

TEST(PeerServer, wrongSecretIsRefused)
{
    PeerClient client({ .secret = Secret { "another-secret-text" } }, directory);
    auto error = failureOf([&]() -> Result<void> { BOOST_LEAF_CHECK(client.heartbeat(otherPeer, {})); return {}; });
    CHECK(error && error->failure == CallFailure::Refused);
    STRCMP_CONTAINS("unauthorized", error->detail.c_str());
}

TEST(PeerServer, unansweredHeartbeatIsRefused)
{
    PeerClient client({ .secret = sharedSecret }, directory);
    auto error = failureOf([&]() -> Result<void> { BOOST_LEAF_CHECK(client.heartbeat(otherPeer, toThrift(Heartbeat { .instance = InstanceId { "slow" } }))); return {}; });
    CHECK(error && error->failure == CallFailure::Refused);
}

TEST(PeerServer, fetchFailureIsReported)
{
    PeerClient client({ .secret = sharedSecret }, directory);
    CHECK(client.fetchSettings(otherPeer, SettingsVersion { 6 })->currentVersion == 7);
    auto error = failureOf([&]() -> Result<void> { BOOST_LEAF_CHECK(client.fetchSettings(otherPeer, {})); return {}; });
    STRCMP_CONTAINS("none held", error->detail.c_str());
}

TEST(PeerServer, callsToUnknownAndUnreachablePeersAreNotSent)
{
    directory.replace({ { InstanceId { "unreachable" }, { "127.0.0.1", 1 } } });
    PeerClient client({ .secret = sharedSecret }, directory);
    for (const char* peer : { "unreachable", "unknown" }) {
        auto error = failureOf([&]() -> Result<void> { BOOST_LEAF_CHECK(client.heartbeat(InstanceId { peer }, {})); return {}; });
        CHECK(error && error->failure == CallFailure::NotSent);
    }
}

TEST(PeerServer, serverSurvivesAnOversizedMessage)
{
    PeerClient client({ .secret = sharedSecret }, directory);
    rpc::Heartbeat sent;
    sent.instance = std::string(200UL * 1024, 'x');
    CHECK(failureOf([&]() -> Result<void> { BOOST_LEAF_CHECK(client.heartbeat(otherPeer, sent)); return {}; }).has_value());
    CHECK(bool(client.heartbeat(otherPeer, {})));
}

TEST(PeerServer, serverSurvivesGarbage)
{
    int raw = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address { .sin_family = AF_INET, .sin_port = htons(static_cast<std::uint16_t>(port)), .sin_addr = { htonl(INADDR_LOOPBACK) } };
    LONGS_EQUAL(0, connect(raw, reinterpret_cast<sockaddr*>(&address), sizeof address));
    const std::string garbage = "GET / HTTP/1.1\r\n\r\n";
    LONGS_EQUAL(garbage.size(), write(raw, garbage.data(), garbage.size()));
    close(raw);
    PeerClient client({ .secret = sharedSecret }, directory);
    CHECK(bool(client.heartbeat(otherPeer, {})));
}

TEST(PeerServer, portInUseIsAnInvalidSetting)
{
    PeerServer second({ .listen = { "127.0.0.1", port } });
    std::string name = boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(second.start());
            return std::string();
        },
        [](const InvalidSetting& invalid) { return invalid.name; },
        [] { return std::string("untyped"); });
    STRCMP_EQUAL("--peer_port", name.c_str());
}
