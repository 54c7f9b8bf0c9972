/// Defines the interface to the platform's key-value store that the adapter and the command line
/// use.
#ifndef CROCUSWIND_IO_STORE_H
#define CROCUSWIND_IO_STORE_H

#include "base/base.h"
#include "protocol/store_bodies.h"

#include <cstdint>
#include <functional>
#include <string>

namespace crocuswind {

/// Identifies a watch; 0 is never used.
using store_watch_id = std::uint64_t;

/// One update that a watch reports.
struct store_watch_update
{
    enum class kind {
        /// The watch reports all changes after `revision`. The receiver must read the prefix now,
        /// since earlier changes are not reported.
        started,
        changed, ///< `changes` were made.
        unchanged, ///< No key has changed since the last update.
        lost, ///< The watch failed. It is set up again and then reports `started`.
    };

    kind what = kind::started;
    std::int64_t revision = 0; ///< The store's revision, for `started` and `changed`.
    std::vector<store_change> changes;
    /// For `changed` and `unchanged`: the watch has now reported every change that the store
    /// accepted before this time. The epoch of the clock if the store does not provide the time.
    instant asOf;
};

/// Interface to the store. Callbacks are called from the loop, never from within a call of this
/// class.
class store
{
public:
    using result_callback = std::function<void(store_result result)>;
    using watch_callback = std::function<void(const store_watch_update &update)>;

    virtual ~store() = default;

    /// Performs one operation with a single call to the store, which is never retried. \p done is
    /// called exactly once, at \p deadline at the latest.
    virtual void submit(const store_operation &operation, instant deadline, result_callback done)
        = 0;

    /// Watches all keys with a prefix until cancelWatch(). After a failure the watch is set up
    /// again after a jittered delay. A store that provides `asOf` reports `unchanged` when no key
    /// has changed for \p progressInterval.
    virtual store_watch_id watch(const std::string &prefix, duration progressInterval,
                                 watch_callback callback)
        = 0;

    /// Ends a watch. Its callback is not called after this.
    virtual void cancelWatch(store_watch_id watch) = 0;
};

} // namespace crocuswind

#endif
