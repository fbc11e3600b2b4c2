#include "daemon/Published.h"
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Published) {};

TEST(Published, readersSeeConsistentValuesThatNeverGoBack)
{
    struct Pair {
        int first;
        int second;
    };
    Published<Pair> published(std::make_shared<const Pair>(Pair { 0, 0 }));
    std::atomic<bool> stop { false };
    std::atomic<int> faults { 0 };
    auto read = [&] {
        int last = 0;
        while (!stop) {
            auto value = published.load();
            if (value->first != value->second || value->first < last)
                ++faults;
            last = value->first;
        }
    };
    std::thread one(read);
    std::thread two(read);
    for (int i = 1; i <= 2000; ++i) {
        while (!published.tryStore(std::make_shared<const Pair>(Pair { i, i }))) { }
    }
    stop = true;
    one.join();
    two.join();
    LONGS_EQUAL(0, faults);
    LONGS_EQUAL(2000, published.load()->first);
}
