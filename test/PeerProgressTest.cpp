/// Tests which peers count as silent, with what the kernel states of them over time.

#include "core/PeerProgress.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(PeerProgress)
{
    static constexpr SteadyTime start { 100s };
    PeerProgress progress;

    bool isSilentAt(Duration time, const TransmitFacts& facts)
    {
        recordFacts(progress, facts, start + time);
        return isSilent(progress, facts, start + time);
    }

    void setup() override
    {
        recordWriteBegin(progress, start);
        recordWritten(progress, 100'000);
    }
};

// The kernel repeats what nobody acknowledges after 0.2, 0.6, 1.4, 3 and 6.2 s. At whatever moments it is asked, the time is the same.
TEST(PeerProgress, aPeerThatAcknowledgesNothingIsSilentAfterTwoSeconds)
{
    constexpr Duration idle = 30s; // Before the write.
    for (Duration offset = 0ms; offset < 500ms; offset += 10ms) {
        progress = {};
        recordWriteBegin(progress, start);
        recordWritten(progress, 100'000);
        Duration silentAt = 0ms;
        for (Duration time = 1000ms + offset; silentAt == 0ms && time < 10s; time += 500ms) {
            Duration sentAt = 0ms;
            Duration interval = 200ms;
            for (; sentAt + interval <= time; interval *= 2)
                sentAt += interval;
            if (isSilentAt(time, { .queuedBytes = 100'000, .isInFlight = true, .sinceSent = time - sentAt, .sinceAcknowledged = idle + time, .resendInterval = interval }))
                silentAt = time;
        }
        CHECK(silentAt >= 2000ms);
        CHECK(silentAt <= 2700ms);
    }
}

// On a link that loses packets, the repetition after 6.2 s may be lost; the next one comes at 12.6 s.
TEST(PeerProgress, aLostRepetitionDoesNotMakeAPeerSilent)
{
    for (Duration time = 6300ms; time < 12600ms; time += 500ms)
        CHECK_FALSE(isSilentAt(time, { .queuedBytes = 100'000, .isInFlight = true, .sinceSent = time - 6200ms, .sinceAcknowledged = time - 3001ms, .resendInterval = 6400ms }));
    CHECK_FALSE(isSilentAt(13s, { .queuedBytes = 100'000, .isInFlight = true, .sinceSent = 400ms, .sinceAcknowledged = 399ms, .resendInterval = 12800ms }));
}

// The probes become rare, so that most of the time the last acknowledgement is older than two seconds.
TEST(PeerProgress, aPeerWithAClosedWindowThatAnswersProbesIsNeverSilent)
{
    constexpr Duration step = 500ms;
    Duration nextProbe = 200ms;
    Duration interval = 200ms;
    Duration acknowledgedAt = 0ms;
    for (Duration time = step; time < 60s; time += step) {
        while (nextProbe <= time) {
            acknowledgedAt = nextProbe;
            interval *= 2;
            nextProbe += interval;
        }
        CHECK_FALSE(isSilentAt(time, { .queuedBytes = 100'000, .sinceSent = time, .sinceAcknowledged = time - acknowledgedAt, .resendInterval = 200ms }));
    }
    CHECK_TRUE(hasUntakenBytes(progress));
}

TEST(PeerProgress, aLostProbeDoesNotMakeAPeerSilent)
{
    TransmitFacts facts { .queuedBytes = 100'000, .unansweredProbes = 1, .sinceSent = 7s, .sinceAcknowledged = 4s, .resendInterval = 6400ms };
    CHECK_FALSE(isSilentAt(7s, facts));
    facts.sinceAcknowledged = 9s;
    CHECK_FALSE(isSilentAt(12s, facts));
    facts.unansweredProbes = 0;
    facts.sinceAcknowledged = 100ms;
    CHECK_FALSE(isSilentAt(14s, facts));
    facts.unansweredProbes = 2;
    facts.sinceAcknowledged = 8s;
    CHECK_FALSE(isSilentAt(22s, facts));
    facts.sinceAcknowledged = 15s;
    CHECK_TRUE(isSilentAt(29s, facts));
}

// A peer whose buffer is full drops what is on its way to it, and acknowledges each repetition without progress.
TEST(PeerProgress, aPeerThatAnswersRepetitionsIsNotSilent)
{
    TransmitFacts facts { .queuedBytes = 100'000, .isInFlight = true, .resendInterval = 3200ms };
    for (Duration time = 0ms; time < 20s; time += 500ms) {
        Duration sinceSent = time % 3200ms;
        facts.sinceSent = sinceSent;
        facts.sinceAcknowledged = sinceSent < 1ms ? Duration(3200ms) : sinceSent;
        CHECK_FALSE(isSilentAt(time, facts));
    }
}

TEST(PeerProgress, withoutKnownTimesNoPeerIsSilent)
{
    TransmitFacts facts { .queuedBytes = 100'000, .isInFlight = true, .resendInterval = 200ms };
    CHECK_FALSE(areTimesKnown(facts));
    for (Duration time = 0ms; time < 20s; time += 500ms)
        CHECK_FALSE(isSilentAt(time, facts));
}

TEST(PeerProgress, aCallerIsOverdueOnceItHasStoppedReadingAfterItsDeadline)
{
    AnswerTimes times { .deadline = start + 10s, .idleLimit = 15s };
    CHECK_FALSE(isOverdue(progress, times, start + 10s));
    CHECK_TRUE(isOverdue(progress, times, start + 11s));
    recordFacts(progress, { .queuedBytes = 90'000 }, start + 9s);
    CHECK_FALSE(isOverdue(progress, times, start + 12s));
    CHECK_TRUE(isOverdue(progress, times, start + 14s));
    // One that takes a byte now and then has until the idle limit.
    for (int second = 12; second <= 26; second += 2)
        recordFacts(progress, { .queuedBytes = 80'000U - static_cast<std::size_t>(second) }, start + std::chrono::seconds(second));
    CHECK_FALSE(isOverdue(progress, times, start + 24s));
    CHECK_TRUE(isOverdue(progress, times, start + 26s));
}
