/// Keeps a local copy of all keys of the store that begin with a prefix.
#ifndef CROCUSWIND_JOBS_PREFIX_MIRROR_H
#define CROCUSWIND_JOBS_PREFIX_MIRROR_H

#include "io/io.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crocuswind {

/// Notifications of a mirror to its user. They are called from the event loop.
struct prefix_mirror_callbacks
{
    /// A key was written, or removed if \p value is empty. \p revision is the store's revision of
    /// the change; for a removal that a read found, it is the revision of the read.
    std::function<void(const std::string &key, const std::optional<std::string> &value,
                       std::int64_t revision)>
        changed;
    /// The copy holds all keys as of the store's \p revision. Later changes are reported one by
    /// one.
    std::function<void(std::int64_t revision)> synchronized;
    /// The copy holds all changes that the store had accepted before \p asOf. Called only while the
    /// copy is synchronized. This callback may be empty.
    std::function<void(instant asOf)> upToDate;
    /// The watch was lost: the copy may be out of date until `synchronized` is called again.
    std::function<void()> lost;
};

/// A copy of the keys with a prefix. A watch keeps it up to date; whenever the watch is
/// re-established, all keys are read again.
class prefix_mirror
{
public:
    /// \p maxSilence is passed to store::watch().
    prefix_mirror(event_loop &loop, store &source, std::string prefix, duration maxSilence,
                  prefix_mirror_callbacks callbacks);
    ~prefix_mirror();
    prefix_mirror(const prefix_mirror &) = delete;
    prefix_mirror &operator=(const prefix_mirror &) = delete;

    /// Returns true if all keys were read and the watch has not been lost since.
    bool isSynchronized() const { return m_isSynchronized; }

    /// Returns the value of each key.
    const std::map<std::string, std::string> &values() const { return m_values; }

private:
    void onUpdate(const store_watch_update &update);
    void read();
    void onRead(std::uint64_t readId, instant sentAt, const store_result &result);
    void reportUpToDate(instant asOf);
    void apply(const std::string &key, const std::optional<std::string> &value,
               std::int64_t revision);

    event_loop &m_loop;
    store &m_store;
    std::string m_prefix;
    prefix_mirror_callbacks m_callbacks;
    store_watch_id m_watch = 0;
    timer_id m_retryTimer = 0;
    std::uint64_t m_lastReadId = 0; ///< Results of earlier reads are ignored.
    bool m_isSynchronized = false;
    instant m_watchedAsOf; ///< The present watch has reported all changes before this time.
    std::map<std::string, std::string> m_values;
    /// Revision of the last change of each key, including removed keys.
    std::map<std::string, std::int64_t> m_revisions;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuswind

#endif
