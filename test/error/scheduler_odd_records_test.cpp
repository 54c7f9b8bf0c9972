// Guards against a record or a frame that ends the host that reads it, or that hides the others.

#include "scheduler/scheduler.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

// Each chunk of a text of unknown length may again be such a text; the parser recursed for it.
TEST(OddFrame, NestedChunksOfTextAreRefused)
{
    for (const char head : {'\x7f', '\x5f'}) {
        const std::string chunks(1'000'000, head);
        for (const std::string &bytes : {chunks, '\x86' + chunks, "\x86\x61" + ('x' + chunks)}) {
            EXPECT_FALSE(decodeCall(bytes).has_value());
            EXPECT_FALSE(decodeReply(bytes).has_value());
            EXPECT_FALSE(decodeAcceptance(bytes).has_value());
            job_record job;
            EXPECT_FALSE(decodeProgress(bytes, job));
        }
    }
}
