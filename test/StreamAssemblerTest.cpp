#include "core/StreamAssembler.h"

#include "core/Guard.h"
#include "core/Invariant.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

const AttemptId mine("mine");

AnswerPiece piece(std::uint64_t position, const std::string& data, bool last = false)
{
    return { .attempt = mine, .position = position, .data = data, .last = last };
}

std::string joined(const std::vector<AnswerPiece>& pieces)
{
    std::string out;
    for (const AnswerPiece& each : pieces)
        out += each.data;
    return out;
}

} // namespace

TEST_GROUP(StreamAssembler)
{
    StreamAssembler assembler { { .attempt = mine, .window = 4 } };

    void teardown() override { disableGuard(GuardId::None); }
};

TEST(StreamAssembler, piecesInOrderAreReturnedAtOnce)
{
    STRCMP_EQUAL("a", joined(assembler.add(piece(1, "a"))).c_str());
    STRCMP_EQUAL("b", joined(assembler.add(piece(2, "b"))).c_str());
    LONGS_EQUAL(2, assembler.lastPosition());
    CHECK(assembler.state() == AnswerState::Open);
}

TEST(StreamAssembler, endMarkerMakesTheAnswerWhole)
{
    assembler.add(piece(1, "a"));
    assembler.add(piece(2, "", true));
    CHECK(assembler.state() == AnswerState::Whole);
}

TEST(StreamAssembler, endMarkerAfterAGapIsHeld)
{
    assembler.add(piece(1, "a"));
    CHECK(assembler.add(piece(3, "", true)).empty());
    CHECK(assembler.state() == AnswerState::Open);
    CHECK(assembler.hasGap());
    assembler.add(piece(2, "b"));
    CHECK(assembler.state() == AnswerState::Whole);
}

TEST(StreamAssembler, earlyPieceIsHeldUntilEarlierOnesArrive)
{
    CHECK(assembler.add(piece(2, "b")).empty());
    CHECK(assembler.add(piece(3, "c")).empty());
    STRCMP_EQUAL("abc", joined(assembler.add(piece(1, "a"))).c_str());
    CHECK_FALSE(assembler.hasGap());
}

TEST(StreamAssembler, repeatedPieceIsDroppedAndCounted)
{
    assembler.add(piece(1, "a"));
    CHECK(assembler.add(piece(1, "a")).empty());
    assembler.add(piece(3, "c"));
    CHECK(assembler.add(piece(3, "c")).empty());
    LONGS_EQUAL(2, assembler.dropped().repeated);
}

TEST(StreamAssembler, foreignPieceIsDroppedAndCounted)
{
    CHECK(assembler.add({ .attempt = AttemptId("other"), .position = 1, .data = "x" }).empty());
    LONGS_EQUAL(1, assembler.dropped().foreign);
    STRCMP_EQUAL("a", joined(assembler.add(piece(1, "a"))).c_str());
}

TEST(StreamAssembler, pieceBeyondTheWindowIsDropped)
{
    CHECK(assembler.add(piece(5, "e")).empty());
    LONGS_EQUAL(1, assembler.dropped().beyondWindow);
    assembler.add(piece(4, "d"));
    LONGS_EQUAL(1, assembler.dropped().beyondWindow);
}

TEST(StreamAssembler, pieceWithoutAPositionIsMalformed)
{
    CHECK(assembler.add(piece(0, "x")).empty());
    LONGS_EQUAL(1, assembler.dropped().malformed);
}

TEST(StreamAssembler, differingRepeatBreaksTheAnswer)
{
    assembler.add(piece(1, "a"));
    CHECK(assembler.add(piece(1, "b")).empty());
    CHECK(assembler.state() == AnswerState::Broken);
    CHECK(assembler.add(piece(2, "c")).empty());
}

TEST(StreamAssembler, differingPieceAtAHeldPositionBreaksTheAnswer)
{
    assembler.add(piece(2, "b"));
    assembler.add(piece(2, "x"));
    CHECK(assembler.state() == AnswerState::Broken);
    CHECK(assembler.add(piece(1, "a")).empty());
}

TEST(StreamAssembler, pieceAfterTheEndIsDropped)
{
    assembler.add(piece(1, "", true));
    CHECK(assembler.add(piece(2, "late")).empty());
    LONGS_EQUAL(1, assembler.dropped().afterEnd);
    CHECK(assembler.state() == AnswerState::Whole);
}

#ifdef LIMPETPOND_TEST_HOOKS

TEST(StreamAssembler, withoutTheForeignGuardTheInvariantIsViolated)
{
    disableGuard(GuardId::ForeignPieceDropped);
    auto before = invariantViolations(InvariantId::WholeAnswer);
    assembler.add({ .attempt = AttemptId("other"), .position = 1, .data = "x" });
    LONGS_EQUAL(before + 1, invariantViolations(InvariantId::WholeAnswer));
}

TEST(StreamAssembler, withoutTheRepeatGuardTheInvariantIsViolated)
{
    disableGuard(GuardId::RepeatedPieceDropped);
    auto before = invariantViolations(InvariantId::WholeAnswer);
    assembler.add(piece(1, "a"));
    assembler.add(piece(1, "a"));
    LONGS_EQUAL(before + 1, invariantViolations(InvariantId::WholeAnswer));
}

TEST(StreamAssembler, withoutTheGapGuardTheInvariantIsViolated)
{
    disableGuard(GuardId::GapHeldBack);
    auto before = invariantViolations(InvariantId::WholeAnswer);
    assembler.add(piece(2, "b"));
    LONGS_EQUAL(before + 1, invariantViolations(InvariantId::WholeAnswer));
}

#endif
