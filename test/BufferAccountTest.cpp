#include "core/BufferAccount.h"
#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(BufferAccount)
{
    std::shared_ptr<BufferAccount> account { std::make_shared<BufferAccount>(BufferAccount { .limit = 1000 }) };
};

TEST(BufferAccount, buffersCountWithTheMemoryThatTheyHold)
{
    AccountedBuffer first(account);
    AccountedBuffer second(account);
    first.append(std::string(400, 'x'));
    second.append(std::string(500, 'y'));
    CHECK(account->used >= 900);
    LONGS_EQUAL(account->used, first.memory() + second.memory());
    second.append(std::string(300, 'y'));
    CHECK_TRUE(account->isExceeded());
    LONGS_EQUAL(800, second.size());
}

TEST(BufferAccount, releasedAndDestroyedBuffersCountNoLonger)
{
    AccountedBuffer kept(account);
    kept.append(std::string(900, 'x'));
    {
        AccountedBuffer other(account);
        other.append(std::string(900, 'x'));
        CHECK_TRUE(account->isExceeded());
    }
    CHECK_FALSE(account->isExceeded());
    kept.release();
    LONGS_EQUAL(0, account->used);
    LONGS_EQUAL(0, kept.size());
    kept.append("again");
    CHECK(kept.bytes() == "again");
}

// A buffer that doubles would hold up to twice the bytes of a long answer.
TEST(BufferAccount, aLargeBufferHoldsLittleMoreThanItsBytes)
{
    constexpr std::size_t megabyte = 1U << 20;
    AccountedBuffer buffer(account);
    const std::string piece(8192, 'x');
    while (buffer.size() < 9 * megabyte)
        buffer.append(piece);
    CHECK(buffer.memory() <= buffer.size() + megabyte);
}

TEST(BufferAccount, countedMemoryMovesAlongAndIsGivenBack)
{
    auto account = std::make_shared<BufferAccount>(BufferAccount { .limit = 100 });
    CountedMemory kept;
    {
        CountedMemory first(account);
        first.set(60);
        CountedMemory second(account);
        second.set(50);
        LONGS_EQUAL(110, account->used);
        second.set(30);
        LONGS_EQUAL(90, account->used);
        kept = std::move(first);
    }
    LONGS_EQUAL(60, account->used);
    kept.set(0);
    LONGS_EQUAL(0, account->used);
}

TEST(BufferAccount, onlyLargeBodiesAreRefused)
{
    BufferAccount account { .limit = requestBodyLimit(std::size_t { 6 } << 20) };
    LONGS_EQUAL(1 << 20, account.limit);
    account.used = account.limit;
    CHECK_FALSE(mustRefuseBody(account, 500'000));
    ++account.used;
    CHECK_TRUE(mustRefuseBody(account, 500'000));
    CHECK_FALSE(mustRefuseBody(account, 1000));
}

// A refused body kept its buffer, as assigning an empty string frees nothing.
TEST(BufferAccount, spareMemoryOfAStringIsFreed)
{
    std::string text(100'000, 'x');
    CHECK(heapMemory(text) >= 100'000);
    text = std::string();
    CHECK(heapMemory(text) >= 100'000);
    releaseSpareMemory(text);
    LONGS_EQUAL(0, heapMemory(text));
    text.assign(100'000, 'y');
    text.erase(0, 99'000);
    releaseSpareMemory(text);
    CHECK(heapMemory(text) < 2000);
    LONGS_EQUAL(1000, text.size());
}

// A body that grew by doubling held up to three times its bytes for a moment.
TEST(BufferAccount, aBlockBufferHoldsLittleMoreThanItsBytes)
{
    constexpr std::size_t blockBytes = 16384;
    for (std::size_t pieceBytes : { 1U, 700U, 16384U, 300'000U }) {
        BlockBuffer buffer(account);
        std::string expected;
        while (buffer.size() < 600'000) {
            std::string piece(pieceBytes, static_cast<char>('a' + expected.size() % 26));
            buffer.append(piece);
            expected += piece;
            CHECK(buffer.memory() <= std::max<std::size_t>(2 * buffer.size(), 1024));
            CHECK(buffer.memory() < buffer.size() + blockBytes + 1);
            LONGS_EQUAL(account->used, buffer.memory());
        }
        CHECK(buffer.text() == expected);
        buffer.release();
        LONGS_EQUAL(0, account->used);
        LONGS_EQUAL(0, buffer.size());
    }
}

// Callers that read nothing of large answers took several times the memory of an instance within a second.
TEST(BufferAccount, theMoreAnswersExceedTheirLimitTheShorterMayACallerTakeNothing)
{
    LONGS_EQUAL(1000, toMilliseconds(allowedStall({ .limit = 1000, .used = 900 })));
    LONGS_EQUAL(250, toMilliseconds(allowedStall({ .limit = 1000, .used = 2000 })));
    LONGS_EQUAL(10, toMilliseconds(allowedStall({ .limit = 1000, .used = 10'000 })));
}
