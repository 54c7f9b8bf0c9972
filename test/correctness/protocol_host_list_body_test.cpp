// Guards against an invalid entry that makes the whole host list unusable, and against new work for
// a host in an unknown state.

#include "protocol/protocol.h"

#include <gtest/gtest.h>

using namespace crocuswind;

TEST(HostListBody, ParsesEachKind)
{
    const auto list = parseHostList(R"({"hosts":[
        {"name":"w1","kind":"worker","data_centre":"a","rack":"r1","address":"10.0.0.1:80",
         "state":"live","cores":32,"memory_mb":125000,"accelerators":2,"new_field":1},
        {"name":"n1","kind":"runner","data_centre":"a","address":"10.0.0.2:80","state":"leaving",
         "service":"match","slots":8,"connections":64},
        {"name":"e1","kind":"entry","data_centre":"a","address":"10.0.0.3:80",
         "peer_address":"10.0.0.3:81","state":"unheard-of"}]})");
    ASSERT_TRUE(list) << list.error();
    ASSERT_EQ(list->hosts.size(), 3U);
    EXPECT_EQ(list->hosts[0].cores, 32);
    EXPECT_EQ(list->hosts[0].memoryMb, 125000);
    EXPECT_EQ(list->hosts[0].accelerators, 2);
    EXPECT_EQ(list->hosts[0].rack, rack_id{"r1"});
    EXPECT_FALSE(list->hosts[0].isLeaving);
    EXPECT_EQ(list->hosts[1].service, service_id{"match"});
    EXPECT_EQ(list->hosts[1].slots, 8);
    EXPECT_EQ(list->hosts[1].connections, 64);
    EXPECT_TRUE(list->hosts[1].isLeaving);
    EXPECT_EQ(list->hosts[2].peerAddress, "10.0.0.3:81");
    EXPECT_TRUE(list->hosts[2].isLeaving);

    const auto again = parseHostList(toHostListBody(list->hosts));
    ASSERT_TRUE(again) << again.error();
    EXPECT_EQ(toHostListBody(again->hosts), toHostListBody(list->hosts));
}

TEST(HostListBody, LeavesOutInvalidEntriesOnly)
{
    const auto list = parseHostList(R"({"hosts":[3,{},
        {"name":"W","kind":"worker","data_centre":"a","address":"x","cores":1,"memory_mb":1},
        {"name":"w","kind":"worker","data_centre":"a","address":"x","cores":0,"memory_mb":1},
        {"name":"w","kind":"worker","data_centre":"a","address":"x","cores":99999999999999999999,"memory_mb":1},
        {"name":"w","kind":"printer","data_centre":"a","address":"x"},
        {"name":"n","kind":"runner","data_centre":"a","address":"x","slots":8,"connections":64},
        {"name":"w","kind":"worker","data_centre":"a","address":"","cores":1,"memory_mb":1},
        {"name":"good","kind":"worker","data_centre":"a","address":"x","state":"live","cores":1,"memory_mb":1}]})");
    ASSERT_TRUE(list) << list.error();
    ASSERT_EQ(list->hosts.size(), 1U);
    EXPECT_EQ(list->hosts[0].name, "good");
    EXPECT_EQ(list->skippedEntries, 8U);
    EXPECT_EQ(list->faults.size(), 8U);
}

TEST(HostListBody, RefusesMalformedBodies)
{
    for (const char *body : {"", "[]", "{}", "{\"hosts\":{}}", "{\"hosts\":["})
        EXPECT_FALSE(parseHostList(body)) << body;
}
