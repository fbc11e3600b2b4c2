#include "core/ConnectionLimit.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(ConnectionLimit) {};

TEST(ConnectionLimit, callersLeaveDescriptorsForTheOthers)
{
    LONGS_EQUAL(102, callerConnectionLimit(400));
    LONGS_EQUAL(5952, callerConnectionLimit(8200));
    for (std::size_t descriptors : { 1024U, 4100U, 10000U })
        CHECK(callerConnectionLimit(descriptors) + 400 < descriptors);
    LONGS_EQUAL(16, callerConnectionLimit(0));
}

TEST(ConnectionLimit, someIdleConnectionsAreClosedAtTheLimit)
{
    LONGS_EQUAL(0, idleConnectionsToClose(99, 100));
    LONGS_EQUAL(5, idleConnectionsToClose(100, 100));
    LONGS_EQUAL(15, idleConnectionsToClose(110, 100));
    LONGS_EQUAL(1, idleConnectionsToClose(16, 16));
}
