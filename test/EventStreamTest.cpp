#include "engine/EventStream.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(EventStream)
{
    EventStreamParser parser;
};

TEST(EventStream, eventEndsAtAnEmptyLine)
{
    auto events = parser.parse("id: a:1\ndata: hello\n\n");
    LONGS_EQUAL(1, events.size());
    STRCMP_EQUAL("a:1", events[0].id.c_str());
    STRCMP_EQUAL("hello", events[0].data.c_str());
}

TEST(EventStream, eventsAreTheSameForAnySplitOfTheBytes)
{
    const std::string text = "id: 1\r\ndata: a\r\ndata: b\r\n\r\n: comment\n\nid: 2\ndata:c\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventStreamParser fresh;
        auto events = fresh.parse(text.substr(0, cut));
        for (auto& event : fresh.parse(text.substr(cut)))
            events.push_back(event);
        LONGS_EQUAL(2, events.size());
        STRCMP_EQUAL("a\nb", events[0].data.c_str());
        STRCMP_EQUAL("c", events[1].data.c_str());
    }
}

TEST(EventStream, incompleteEventIsNotReturned)
{
    CHECK(parser.parse("id: 1\ndata: half").empty());
    CHECK(parser.parse("\n").empty());
}

TEST(EventStream, eventWithoutDataIsNotReturned)
{
    CHECK(parser.parse("id: 1\n\n").empty());
}

TEST(EventStream, oversizedEventEndsParsing)
{
    parser.parse(std::string(maxEventBytes + 1, 'x'));
    CHECK(parser.isEventTooLarge());
    CHECK(parser.parse("\ndata: a\n\n").empty());
}
