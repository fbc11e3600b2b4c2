#include "core/CleaningSchedule.h"
#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono;

namespace {

SystemTime utc(unsigned month, unsigned day, int hour, int minute)
{
    return sys_days(year_month_day(year(2026), std::chrono::month(month), std::chrono::day(day))) + hours(hour) + minutes(minute);
}

} // namespace

// The window is on Sundays from 02:30 in Sofia. The drain lead is 60 s + 3 s + 2 s + 10 s = 75 s.
TEST_GROUP(CleaningSchedule)
{
    Settings settings;
    CleaningState state;
    CleaningInput input;
    CleaningWindow window { .name = "w", .timeZone = "Europe/Sofia", .day = Sunday, .startOfDay = minutes(150), .length = hours(4) };

    void setup() override
    {
        settings.pools[PoolId("p")].id = PoolId("p");
        input.steadyNow = SteadyTime(hours(1));
    }

    void addTargets(int count)
    {
        for (int i = 1; i <= count; ++i) {
            TargetSettings target { .id = TargetId("e" + std::to_string(i)), .pool = PoolId("p"), .branchVersion = SettingsVersion(7), .cleaningWindow = window };
            settings.pools[PoolId("p")].targets.push_back(target.id);
            settings.targets[target.id] = target;
        }
    }

    TargetSettings& target(int i) { return settings.targets.at(TargetId("e" + std::to_string(i))); }

    void markForCleaning(int i)
    {
        target(i).mark = TargetMark::Leaving;
        target(i).markedForCleaning = true;
        target(i).markVersion = SettingsVersion(9);
    }

    /// The marks ("+e1") and returns ("-e1") proposed at a time, and "!" for each alarm.
    std::string at(SystemTime now)
    {
        input.systemNow = now;
        input.steadyNow += seconds(10);
        std::string text;
        for (const ControlAction& action : advanceCleaning(state, settings, input)) {
            if (const auto* mark = std::get_if<MarkTarget>(&action))
                text += (mark->cleaning ? "+" : "-") + mark->target.value() + " ";
            if (std::holds_alternative<RaiseAlarm>(action))
                text += "! ";
        }
        return text;
    }
};

TEST(CleaningSchedule, windowIsInLocalTimeWithAndWithoutDaylightSaving)
{
    TimeZone sofia = parseTimeZone(window.timeZone).value();
    CHECK(windowAt(window, sofia, utc(3, 20, 0, 0)).begin == utc(3, 22, 0, 30));
    CHECK(windowAt(window, sofia, utc(4, 1, 0, 0)).begin == utc(4, 4, 23, 30));
}

TEST(CleaningSchedule, windowAcrossADaylightSavingChangeKeepsItsLength)
{
    TimeZone sofia = parseTimeZone(window.timeZone).value();
    TimeRange spring = windowAt(window, sofia, utc(3, 28, 0, 0));
    CHECK(spring.begin == utc(3, 29, 0, 30));
    CHECK(spring.end == utc(3, 29, 4, 30));
    TimeRange autumn = windowAt(window, sofia, utc(10, 24, 0, 0));
    CHECK(autumn.begin == utc(10, 24, 23, 30));
    CHECK(autumn.end == utc(10, 25, 3, 30));
}

TEST(CleaningSchedule, openWindowIsCurrentUntilItsEnd)
{
    TimeZone sofia = parseTimeZone(window.timeZone).value();
    CHECK(windowAt(window, sofia, utc(3, 22, 4, 29)).begin == utc(3, 22, 0, 30));
    CHECK(windowAt(window, sofia, utc(3, 22, 4, 30)).begin == utc(3, 29, 0, 30));
}

TEST(CleaningSchedule, drainingStartsBeforeTheWindow)
{
    addTargets(1);
    std::vector<CleaningSlot> slots = planSlots(settings, PoolId("p"), utc(3, 20, 0, 0));
    CHECK(slots[0].cleanFrom == utc(3, 22, 0, 30));
    CHECK(slots[0].drainFrom == utc(3, 22, 0, 30) - seconds(75));
    CHECK(slots[0].returnAt == utc(3, 22, 4, 30));
}

TEST(CleaningSchedule, targetsAreCleanedInTurnsWithinTheLeavingLimit)
{
    addTargets(8);
    std::vector<CleaningSlot> slots = planSlots(settings, PoolId("p"), utc(3, 20, 0, 0));
    for (const CleaningSlot& slot : slots) {
        CHECK(slot.fits);
        CHECK(slot.returnAt <= utc(3, 22, 4, 30));
        auto out = std::count_if(slots.begin(), slots.end(), [&](const CleaningSlot& other) { return other.drainFrom <= slot.drainFrom && slot.drainFrom < other.returnAt; });
        LONGS_EQUAL(2, out);
    }
}

TEST(CleaningSchedule, targetIsMarkedOnceAndReturnedAfterItsSlot)
{
    addTargets(1);
    STRCMP_EQUAL("", at(utc(3, 22, 0, 28)).c_str());
    STRCMP_EQUAL("+e1 ", at(utc(3, 22, 0, 29)).c_str());
    markForCleaning(1);
    input.emptyTargets = { TargetId("e1") };
    STRCMP_EQUAL("", at(utc(3, 22, 4, 29)).c_str());
    STRCMP_EQUAL("-e1 ", at(utc(3, 22, 4, 30)).c_str());
}

TEST(CleaningSchedule, everyInstanceProposesTheSameChange)
{
    addTargets(1);
    input.systemNow = utc(3, 22, 0, 29);
    ControlActions actions = advanceCleaning(state, settings, input);
    const auto& step = std::get<MarkTarget>(actions.at(0));
    STRCMP_EQUAL("clean-e1-2026-03-22", step.change.value().c_str());
    LONGS_EQUAL(7, step.branchVersion.value());
}

TEST(CleaningSchedule, onlyAFailedStepIsProposedAgain)
{
    addTargets(1);
    at(utc(3, 22, 0, 29));
    handleMarkAnswered(state, { .change = ChangeId("clean-e1-2026-03-22"), .settled = false });
    STRCMP_EQUAL("+e1 ", at(utc(3, 22, 0, 29)).c_str());
    handleMarkAnswered(state, { .change = ChangeId("clean-e1-2026-03-22"), .settled = true });
    STRCMP_EQUAL("", at(utc(3, 22, 0, 30)).c_str());
}

TEST(CleaningSchedule, instanceOfALaterRankWaits)
{
    addTargets(1);
    input.proposerRank = 3;
    SystemTime due = utc(3, 22, 0, 30) - seconds(75);
    STRCMP_EQUAL("", at(due + seconds(5)).c_str());
    STRCMP_EQUAL("+e1 ", at(due + seconds(6)).c_str());
}

TEST(CleaningSchedule, leavingMarkOfAnOperatorIsKept)
{
    addTargets(1);
    target(1).mark = TargetMark::Leaving;
    STRCMP_EQUAL("", at(utc(3, 22, 1, 0)).c_str());
    STRCMP_EQUAL("", at(utc(3, 22, 5, 0)).c_str());
}

TEST(CleaningSchedule, leavingTargetsDelayTheNextMark)
{
    addTargets(4);
    target(4).mark = TargetMark::Leaving;
    STRCMP_EQUAL("", at(utc(3, 22, 0, 29)).c_str());
    target(4).mark = TargetMark::Serving;
    STRCMP_EQUAL("+e1 ", at(utc(3, 22, 0, 29)).c_str());
}

TEST(CleaningSchedule, lateMarkRaisesAnAlarmBeforeTheCleaning)
{
    addTargets(1);
    STRCMP_EQUAL("+e1 ", at(utc(3, 22, 0, 29)).c_str());
    STRCMP_EQUAL("+e1 ! ", at(utc(3, 22, 0, 29) + seconds(20)).c_str());
    STRCMP_EQUAL("+e1 ", at(utc(3, 22, 0, 29) + seconds(30)).c_str());
}

TEST(CleaningSchedule, targetNotEmptyInTimeRaisesOneAlarm)
{
    addTargets(1);
    markForCleaning(1);
    STRCMP_EQUAL("", at(utc(3, 22, 0, 29)).c_str());
    STRCMP_EQUAL("! ", at(utc(3, 22, 0, 30)).c_str());
    STRCMP_EQUAL("", at(utc(3, 22, 0, 31)).c_str());
}

TEST(CleaningSchedule, windowTooShortForThePoolRaisesAnAlarmInAdvance)
{
    window.length = hours(1);
    addTargets(3);
    STRCMP_EQUAL("! ! ", at(utc(3, 18, 0, 0)).c_str());
    STRCMP_EQUAL("+e1 ", at(utc(3, 22, 0, 29)).c_str());
    markForCleaning(1);
    input.emptyTargets = { TargetId("e1") };
    STRCMP_EQUAL("", at(utc(3, 22, 0, 59)).c_str());
    // The next window is too short as well.
    STRCMP_EQUAL("-e1 ! ! ", at(utc(3, 22, 1, 30)).c_str());
}

TEST(CleaningSchedule, targetWhoseWindowWasRemovedIsReturned)
{
    addTargets(1);
    markForCleaning(1);
    target(1).cleaningWindow.reset();
    STRCMP_EQUAL("-e1 ", at(utc(3, 22, 1, 0)).c_str());
}
