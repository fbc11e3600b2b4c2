#include "core/RankedQueue.h"
#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(RankedQueue)
{
    SteadyTime now { std::chrono::hours(1) };
    RankedQueue line;

    void add(WaitTicket ticket, int rank, Duration goal, Duration patience)
    {
        enqueue(line, { .ticket = ticket, .rank = rank, .arrivedAt = now, .objectiveAt = now + goal, .expiresAt = now + patience });
    }

    WaitTicket take()
    {
        std::optional<WaitTicket> ticket = nextWaiting(line, now);
        if (!ticket)
            return 0;
        removeWaiting(line, *ticket);
        return *ticket;
    }
};

TEST(RankedQueue, rankGoesFirstAndThenTheEarlierGoal)
{
    add(1, 1, 100ms, 3s);
    add(2, 0, 600ms, 3s);
    add(3, 0, 300ms, 3s);
    LONGS_EQUAL(3, take());
    LONGS_EQUAL(2, take());
    LONGS_EQUAL(1, take());
    LONGS_EQUAL(0, take());
}

// Load: a burst left urgent requests late while less urgent ones can still be in time.
TEST(RankedQueue, whatIsInTimeGoesBeforeWhatIsLate)
{
    add(1, 0, 100ms, 3s);
    now += 200ms;
    add(2, 1, 500ms, 3s);
    LONGS_EQUAL(2, take());
    LONGS_EQUAL(1, take());
}

TEST(RankedQueue, aLateUrgentRequestIsNotGivenUpWhileLowerOnesAreServed)
{
    add(1, 0, 100ms, 3s);
    now += 2500ms;
    add(2, 1, 500ms, 3s);
    LONGS_EQUAL(1, take());
}

TEST(RankedQueue, aLateRequestTakesNoPlaceFromOneOfItsRankThatCanBeInTime)
{
    add(1, 0, 100ms, 3s);
    now += 2900ms;
    add(2, 0, 500ms, 3s);
    add(3, 1, 500ms, 3s);
    LONGS_EQUAL(2, take());
    LONGS_EQUAL(1, take());
    LONGS_EQUAL(3, take());
}

// Load: a burst of 4 s asks for twice as many places as come free. The line is always full of late requests; they may
// have a place only where no request of their rank could still be in time.
TEST(RankedQueue, inALongBurstPlacesGoToThoseThatCanBeInTime)
{
    constexpr int steps = 400;
    std::map<WaitTicket, SteadyTime> goals;
    WaitTicket ticket = 0;
    int placesOfLate = 0;
    for (int step = 0; step < steps; ++step) {
        now += 10ms;
        add(++ticket, 0, 300ms, 2s);
        goals[ticket] = now + 300ms;
        if (step % 2)
            continue;
        bool isAnyInTime = std::any_of(goals.begin(), goals.end(), [&](const auto& goal) { return goal.second >= now; });
        WaitTicket taken = take();
        placesOfLate += isAnyInTime && goals.at(taken) < now;
        goals.erase(taken);
        for (WaitTicket past : expiredRequests(line, now)) {
            removeWaiting(line, past);
            goals.erase(past);
        }
    }
    LONGS_EQUAL(0, placesOfLate);
}

TEST(RankedQueue, requestsPastTheirUseAreNamed)
{
    add(1, 0, 100ms, 1s);
    add(2, 0, 100ms, 3s);
    now += 1s;
    std::vector<WaitTicket> past = expiredRequests(line, now);
    LONGS_EQUAL(1, past.size());
    LONGS_EQUAL(1, past.front());
}

TEST(RankedQueue, onlyRequestsOfTheSameOrAHigherRankGoBefore)
{
    add(1, 0, 100ms, 1s);
    add(2, 1, 100ms, 1s);
    add(3, 2, 100ms, 1s);
    LONGS_EQUAL(2, countAhead(line, 1));
}

// Load: 300 requests a second for places that come free 60 times a second at this instance.
TEST(RankedQueue, inABurstTheLineStopsWhereItsEndWouldNotBeServed)
{
    SendRate rate { .perSecond = 60 };
    int waiting = 0;
    int refused = 0;
    for (int i = 0; i < 900; ++i) {
        AdmissionDecision decision = decideAdmission({ .ahead = static_cast<std::size_t>(waiting), .sentPerSecond = rate.perSecond, .timeToExpiry = 2s });
        decision.mayWait ? ++waiting : ++refused;
        if (i % 5 == 0 && waiting)
            --waiting;
    }
    CHECK(refused > 0);
    CHECK(waiting <= 2 * 60);
    CHECK(waiting > 60);
}

TEST(RankedQueue, theRetryTimeIsWhenTheLineHasRoom)
{
    AdmissionDecision decision = decideAdmission({ .ahead = 180, .sentPerSecond = 60, .timeToExpiry = 2s });
    CHECK_FALSE(decision.mayWait);
    CHECK(decision.retryAfter == 3s);
}

TEST(RankedQueue, anUnknownRateTurnsNobodyAway) { CHECK(decideAdmission({ .ahead = 50, .sentPerSecond = 0, .timeToExpiry = 1s }).mayWait); }

TEST(RankedQueue, theRateIsLearnedFromWhatWasSent)
{
    SendRate rate;
    beginCounting(rate, now);
    for (int i = 0; i < 100; ++i) {
        now += 20ms;
        recordSent(rate, now);
    }
    DOUBLES_EQUAL(50, rate.perSecond, 2);
}

TEST(RankedQueue, theFirstFewAreGivenInTheOrderOfSending)
{
    add(1, 1, 600ms, 3s);
    add(2, 0, 100ms, 3s);
    now += 200ms;
    add(3, 0, 600ms, 3s);
    std::vector<WaitTicket> first = firstWaiting(line, 6, now);
    LONGS_EQUAL(3, first.size());
    LONGS_EQUAL(3, first[0]);
    LONGS_EQUAL(1, first[1]);
    LONGS_EQUAL(2, first[2]);
    LONGS_EQUAL(2, firstWaiting(line, 2, now).size());
}
