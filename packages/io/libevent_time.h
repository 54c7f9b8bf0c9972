/// Converts the project's time types to those of libevent; private to the package.
#ifndef CROCUSWIND_IO_LIBEVENT_TIME_H
#define CROCUSWIND_IO_LIBEVENT_TIME_H

#include "base/base.h"

#include <sys/time.h>

namespace crocuswind {

/// Converts a duration to a timeval; a negative duration becomes 0.
inline timeval toTimeval(duration d)
{
    if (d < duration::zero())
        d = duration::zero();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(d);
    timeval value = {};
    value.tv_sec = seconds.count();
    value.tv_usec = suseconds_t((d - seconds).count());
    return value;
}

} // namespace crocuswind

#endif
