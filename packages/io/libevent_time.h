/// Converts the project's time types for libevent; private to the package.
#ifndef CROCUSWIND_IO_LIBEVENT_TIME_H
#define CROCUSWIND_IO_LIBEVENT_TIME_H

#include "base/base.h"

#include <sys/time.h>

namespace crocuswind {

/// Converts a duration for libevent; a negative one counts as 0.
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
