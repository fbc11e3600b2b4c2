#include "core/BufferAccount.h"
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
