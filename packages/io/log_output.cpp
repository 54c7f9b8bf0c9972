#include "log_output.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace crocuswind {

namespace {

/// Lines that are logged within this time are written with one system call.
constexpr duration flushInterval = 100ms;
constexpr std::size_t flushBytes = 4 * 1024;

/// Minimum interval between two reports of dropped lines. Without it, these reports made up a third
/// of an overloaded log.
constexpr duration dropReportInterval = 1s;

} // namespace

log_output::log_output(event_loop &loop, log_output_settings settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_tokens(settings.burstLines)
    , m_tokensAt(loop.now())
{
    const int flags = fcntl(m_settings.descriptor, F_GETFL);
    fcntl(m_settings.descriptor, F_SETFL, flags | O_NONBLOCK);
    setLogSink([this](log_level level, std::string_view line) { add(level, line); },
               [this](log_level level) { return admit(level); });
}

log_output::~log_output()
{
    setLogSink({});
    m_loop.cancel(m_timer);
    flush();
}

bool log_output::hasCapacity(log_level level)
{
    const instant now = m_loop.now();
    const double seconds = double((now - m_tokensAt).count()) / 1e6;
    m_tokensAt = now;
    m_tokens = std::min(m_settings.burstLines, m_tokens + seconds * m_settings.linesPerSecond);
    const double reserve
        = level < log_level::info ? m_settings.detailReserve * m_settings.burstLines : 0;
    return m_tokens >= 1 + reserve || level >= log_level::warning;
}

bool log_output::admit(log_level level)
{
    const bool isAdmitted = m_buffer.size() < m_settings.maxBufferedBytes && hasCapacity(level);
    m_dropped += isAdmitted ? 0 : 1;
    return isAdmitted;
}

// Called only with lines that admit() has accepted.
void log_output::add(log_level, std::string_view line)
{
    if (m_buffer.size() + line.size() > m_settings.maxBufferedBytes) {
        ++m_dropped;
        return;
    }
    m_tokens -= 1;
    const instant now = m_loop.now();
    if (m_dropped != m_droppedReported && now >= m_nextDropReportAt) {
        m_droppedReported = m_dropped;
        m_nextDropReportAt = now + dropReportInterval;
        append(fmt::format("warning log: event=lines_dropped total={}", m_dropped));
    }
    append(line);
    if (m_buffer.size() >= flushBytes)
        flush();
    scheduleFlush();
}

void log_output::append(std::string_view line)
{
    const std::int64_t unixUs = m_loop.unixMicroseconds(m_loop.now());
    m_buffer += fmt::format("{}.{:03} ", unixUs / 1000000, unixUs / 1000 % 1000);
    m_buffer += line;
    m_buffer += '\n';
}

void log_output::scheduleFlush()
{
    if (m_timer != 0)
        return;
    m_timer = m_loop.callAt(m_loop.now() + flushInterval, [this] {
        m_timer = 0;
        flush();
        if (!m_buffer.empty())
            scheduleFlush();
    });
}

// Bytes that cannot be written without blocking stay in the buffer until the next flush.
void log_output::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        const ssize_t count
            = write(m_settings.descriptor, m_buffer.data() + written, m_buffer.size() - written);
        if (count <= 0)
            break;
        written += std::size_t(count);
    }
    m_buffer.erase(0, written);
}

} // namespace crocuswind
