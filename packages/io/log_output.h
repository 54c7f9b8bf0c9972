/// Writes the log to standard output without ever waiting for the reader.
#ifndef CROCUSWIND_IO_LOG_OUTPUT_H
#define CROCUSWIND_IO_LOG_OUTPUT_H

#include "event_loop.h"
#include "logger.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocuswind {

/// Bounds of the log.
struct log_output_settings
{
    int descriptor = 1; ///< Standard output; it is switched to non-blocking mode.
    double linesPerSecond = 600; ///< Beyond, and beyond the burst, lines below warning are dropped.
    double burstLines = 4000;
    double detailReserve = 0.5; ///< Part of the burst that lines of level detail leave to others.
    std::size_t maxBufferedBytes
        = 512 * 1024; ///< Held for a slow reader; further lines are dropped.
};

/// Takes over the process's log for its lifetime. Each line begins with the Unix time in seconds.
/// Dropped lines are counted and not formatted, and the count is written once there is room.
class log_output
{
public:
    log_output(event_loop &loop, log_output_settings settings = {});

    /// Writes what the reader takes at once, and gives the log back.
    ~log_output();
    log_output(const log_output &) = delete;
    log_output &operator=(const log_output &) = delete;

    /// Returns the number of lines dropped since the start.
    std::uint64_t droppedLines() const { return m_dropped; }

private:
    bool admit(log_level level);
    void add(log_level level, std::string_view line);
    void append(std::string_view line);
    void flush();
    bool hasToken(log_level level);
    void scheduleFlush();

    event_loop &m_loop;
    log_output_settings m_settings;
    std::string m_buffer;
    double m_tokens;
    instant m_tokensAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    instant m_nextDropReportAt;
    timer_id m_timer = 0;
};

} // namespace crocuswind

#endif
