#include "gateway/Pools.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Pools) {};

TEST(Pools, idleConnectionsStayWithinTheInstancesShareOfTheTargetsLimit)
{
    LONGS_EQUAL(3, idleConnectionsAllowed({ .maxConnections = 120, .instances = 24, .inProgress = 2 }));
    LONGS_EQUAL(0, idleConnectionsAllowed({ .maxConnections = 120, .instances = 24, .inProgress = 6 }));
}

TEST(Pools, idleConnectionsAreCappedWithoutATargetLimit)
{
    LONGS_EQUAL(8, idleConnectionsAllowed({ .maxConnections = 0, .instances = 24, .inProgress = 6 }));
    LONGS_EQUAL(8, idleConnectionsAllowed({ .maxConnections = 10000, .instances = 4, .inProgress = 6 }));
}

TEST(Pools, moreInstancesThanConnectionsLeaveNoneIdle)
{
    LONGS_EQUAL(0, idleConnectionsAllowed({ .maxConnections = 20, .instances = 300, .inProgress = 0 }));
}
