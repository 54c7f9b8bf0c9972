/// Reads the wall clock, which only times of callers and of records need.
#ifndef CROCUSWIND_JOBS_WALL_CLOCK_H
#define CROCUSWIND_JOBS_WALL_CLOCK_H

#include <cstdint>
#include <ctime>

namespace crocuswind {

/// Returns the milliseconds since the Unix epoch.
inline std::int64_t unixNowMs()
{
    timespec time = {};
    clock_gettime(CLOCK_REALTIME, &time);
    return std::int64_t(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

} // namespace crocuswind

#endif
