// Guards against a log that blocks the process when nobody reads it, and against unbounded log
// volume.

#include "io/io.h"

#include <cstdlib>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

using namespace crocuswind;

namespace {

std::string readAll(int descriptor)
{
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    std::string text;
    char bytes[4096];
    for (ssize_t n = read(descriptor, bytes, sizeof(bytes)); n > 0;
         n = read(descriptor, bytes, sizeof(bytes)))
        text.append(bytes, std::size_t(n));
    return text;
}

/// A pipe that replaces standard output.
struct log_pipe : testing::Test
{
    log_pipe()
    {
        EXPECT_EQ(pipe(ends), 0);
        settings.descriptor = ends[1];
    }
    ~log_pipe() override
    {
        close(ends[0]);
        close(ends[1]);
    }

    event_loop loop;
    int ends[2] = {};
    log_output_settings settings;
};

/// A value that counts how often it is formatted.
struct counted_value
{
    int *formatted;
};

} // namespace

template <>
struct fmt::formatter<counted_value> : fmt::formatter<int>
{
    template <class context>
    auto format(const counted_value &value, context &c) const
    {
        return fmt::formatter<int>::format(++*value.formatted, c);
    }
};

TEST_F(log_pipe, DropsLinesInsteadOfBlockingWhenNobodyReads)
{
    settings.burstLines = 1e6;
    settings.maxBufferedBytes = 100000;
    {
        log_output output(loop, settings);
        const logger log("part");
        for (int i = 0; i < 20000; ++i)
            log.info("event=line number={}", i);
        EXPECT_GT(output.droppedLines(), 0u);
        EXPECT_LT(output.droppedLines(), 20000u);
        EXPECT_NE(readAll(ends[0]).find("event=line number=0\n"), std::string::npos);
    }
}

TEST_F(log_pipe, BoundsItsRateAndReportsDroppedLines)
{
    settings.burstLines = 10;
    settings.linesPerSecond = 0;
    {
        log_output output(loop, settings);
        const logger log("part");
        for (int i = 0; i < 50; ++i)
            log.info("event=line number={}", i);
        EXPECT_EQ(output.droppedLines(), 40u);
        log.warning("event=trouble");
    }
    const std::string text = readAll(ends[0]);
    EXPECT_NE(text.find("event=lines_dropped total=40"), std::string::npos);
    EXPECT_NE(text.find("warning part: event=trouble"), std::string::npos);
}

// At the rate limit, the log dropped lines on the ownership of jobs together with lines on single
// tasks.
TEST_F(log_pipe, DropsDetailLinesBeforeInfoLines)
{
    settings.burstLines = 10;
    settings.linesPerSecond = 0;
    {
        log_output output(loop, settings);
        const logger log("part");
        for (int i = 0; i < 50; ++i)
            log.detail("event=start task={}", i);
        EXPECT_EQ(output.droppedLines(), 45u);
        for (int i = 0; i < 5; ++i)
            log.info("event=deposed epoch={}", i);
        EXPECT_EQ(output.droppedLines(), 45u);
    }
    const std::string text = readAll(ends[0]);
    EXPECT_NE(text.find("detail part: event=start task=4"), std::string::npos);
    EXPECT_EQ(text.find("event=start task=5"), std::string::npos);
    EXPECT_NE(text.find("info part: event=deposed epoch=4"), std::string::npos);
}

// A process with too little processor time formatted a thousand lines per second that the log then
// dropped at its rate limit.
TEST_F(log_pipe, DoesNotFormatLinesThatItDrops)
{
    settings.burstLines = 10;
    settings.linesPerSecond = 0;
    int formatted = 0;
    {
        log_output output(loop, settings);
        const logger log("part");
        for (int i = 0; i < 50; ++i)
            log.detail("event=start task={}", counted_value{&formatted});
        EXPECT_EQ(formatted, 5);
        EXPECT_EQ(output.droppedLines(), 45u);
        log.warning("event=trouble");
    }
    EXPECT_NE(readAll(ends[0]).find("event=lines_dropped total=45"), std::string::npos);
}
