/// Defines the platform's key-value store as the adapter and the command line see it.
#ifndef CROCUSWIND_IO_STORE_H
#define CROCUSWIND_IO_STORE_H

#include "base/base.h"
#include "protocol/store_bodies.h"

#include <cstdint>
#include <functional>
#include <string>

namespace crocuswind {

/// Names a watch; 0 is never used.
using store_watch_id = std::uint64_t;

/// News of a watch.
struct store_watch_update
{
    enum class kind {
        started, ///< Changes after `revision` follow. Read the prefix now: others may be missed.
        changed, ///< `changes` were made.
        unchanged, ///< Nothing was changed meanwhile.
        lost, ///< The watch has broken off; it is set up again, and `started` follows.
    };

    kind what = kind::started;
    std::int64_t revision = 0; ///< The store's revision, for `started` and `changed`.
    std::vector<store_change> changes;
    /// For `changed` and `unchanged`: with these changes, all that the store accepted before this
    /// time are known. The epoch of the clock if the store does not tell.
    instant asOf;
};

/// The store. Callbacks come from the loop, never from within a call of this class.
class store
{
public:
    using result_callback = std::function<void(store_result result)>;
    using watch_callback = std::function<void(const store_watch_update &update)>;

    virtual ~store() = default;

    /// Carries out one operation, as one call to the store; it is never repeated. \p done is called
    /// exactly once, at \p deadline at the latest.
    virtual void submit(const store_operation &operation, instant deadline, result_callback done)
        = 0;

    /// Watches all keys with a prefix until cancelWatch(). After a failure the watch is set up
    /// again with a jittered delay. A store that tells up to when changes are known reports
    /// `unchanged` after \p maxSilence without one.
    virtual store_watch_id watch(const std::string &prefix, duration maxSilence,
                                 watch_callback callback)
        = 0;

    /// Ends a watch. Its callback is not called any more.
    virtual void cancelWatch(store_watch_id watch) = 0;
};

} // namespace crocuswind

#endif
