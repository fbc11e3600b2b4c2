#include "daemon/Mailbox.h"
#include <memory>
#include <sys/socket.h>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::milliseconds;

TEST_GROUP(Mailbox)
{
    Mailbox<int> mailbox;
};

TEST(Mailbox, messagesAreReceivedInTheOrderOfPosting)
{
    for (int i = 0; i < 3; ++i)
        mailbox.post(i);
    CHECK((mailbox.take() == std::vector<int> { 0, 1, 2 }));
    CHECK(mailbox.take().empty());
}

TEST(Mailbox, waitEndsWithoutMessagesAfterTheTimeout)
{
    CHECK_FALSE(mailbox.wait(milliseconds(1)).hasMessages);
}

TEST(Mailbox, messageWakesTheReceiverAgainAfterATake)
{
    for (int i = 0; i < 3; ++i) {
        mailbox.post(i);
        CHECK(mailbox.wait(milliseconds(0)).hasMessages);
        LONGS_EQUAL(1, mailbox.take().size());
    }
}

TEST(Mailbox, closeByThePeerOfTheWatchedSocketIsReported)
{
    int pair[2];
    LONGS_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, pair));
    CHECK_FALSE(mailbox.wait(milliseconds(0), pair[0]).peerClosed);
    close(pair[1]);
    CHECK(mailbox.wait(milliseconds(0), pair[0]).peerClosed);
    close(pair[0]);
}

TEST(Mailbox, messagesOfManySendersAllArriveInEachSendersOrder)
{
    constexpr int senders = 4;
    constexpr int messages = 2000;
    std::vector<std::thread> threads;
    threads.reserve(senders);
    for (int sender = 0; sender < senders; ++sender) {
        threads.emplace_back([&, sender] {
            for (int i = 0; i < messages; ++i)
                mailbox.post(sender * messages + i);
        });
    }
    std::vector<int> next(senders, 0);
    int received = 0;
    bool inOrder = true;
    while (received < senders * messages) {
        mailbox.wait(milliseconds(1000));
        for (int message : mailbox.take()) {
            inOrder = inOrder && message % messages == next[static_cast<std::size_t>(message / messages)]++;
            ++received;
        }
    }
    for (std::thread& thread : threads)
        thread.join();
    CHECK(inOrder);
}
