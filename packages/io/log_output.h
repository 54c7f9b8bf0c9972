/// Writes the log to standard output without blocking on a slow reader.
#ifndef CROCUSWIND_IO_LOG_OUTPUT_H
#define CROCUSWIND_IO_LOG_OUTPUT_H

#include "event_loop.h"
#include "logger.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocuswind {

/// Limits of the log output.
struct log_output_settings
{
    int descriptor = 1; ///< Standard output; it is switched to non-blocking mode.
    /// Refill rate of the token bucket. Without a token, lines below `warning` are dropped.
    double linesPerSecond = 600;
    double burstLines = 4000; ///< Capacity of the token bucket.
    double detailReserve = 0.5; ///< Fraction of the burst that lines below `info` must not use.
    /// Bytes that are buffered for a slow reader; further lines are dropped.
    std::size_t maxBufferedBytes = 512 * 1024;
};

/// Receives all log lines of the process during its lifetime. Each line begins with the Unix time
/// in seconds. Dropped lines are counted but not formatted, and the count is written once lines are
/// accepted again.
class log_output
{
public:
    log_output(event_loop &loop, log_output_settings settings = {});

    /// Writes the buffered lines as far as possible without blocking, and restores the log to
    /// standard error.
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
    bool hasCapacity(log_level level);
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
