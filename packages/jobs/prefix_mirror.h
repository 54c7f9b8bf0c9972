/// Keeps a copy of all keys of the store with one prefix.
#ifndef CROCUSWIND_JOBS_PREFIX_MIRROR_H
#define CROCUSWIND_JOBS_PREFIX_MIRROR_H

#include "io/io.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crocuswind {

/// What the user of a mirror is told. Calls come from the loop.
struct prefix_mirror_callbacks
{
    /// A key was written, or removed if there is no value. \p revision is the store's.
    std::function<void(const std::string &key, const std::optional<std::string> &value,
                       std::int64_t revision)>
        changed;
    /// The copy is complete as of \p revision; changes follow as they are made.
    std::function<void(std::int64_t revision)> synchronized;
    /// The copy, if it is complete, holds all changes that the store accepted before \p asOf. May
    /// be empty.
    std::function<void(instant asOf)> current;
    /// The copy may be behind until `synchronized` is called again.
    std::function<void()> lost;
};

/// A copy of the keys with a prefix, kept by a watch and read anew whenever that breaks off.
class prefix_mirror
{
public:
    /// \p maxSilence is that of store::watch().
    prefix_mirror(event_loop &loop, store &source, std::string prefix, duration maxSilence,
                  prefix_mirror_callbacks callbacks);
    ~prefix_mirror();
    prefix_mirror(const prefix_mirror &) = delete;
    prefix_mirror &operator=(const prefix_mirror &) = delete;

    /// Returns true if the copy follows the store.
    bool isSynchronized() const { return m_isSynchronized; }

    /// Returns the values by key.
    const std::map<std::string, std::string> &values() const { return m_values; }

private:
    void onUpdate(const store_watch_update &update);
    void read();
    void onRead(std::uint64_t reading, instant askedAt, const store_result &result);
    void reportCurrent(instant asOf);
    void apply(const std::string &key, const std::optional<std::string> &value,
               std::int64_t revision);

    event_loop &m_loop;
    store &m_store;
    std::string m_prefix;
    prefix_mirror_callbacks m_callbacks;
    store_watch_id m_watch = 0;
    timer_id m_retry = 0;
    std::uint64_t m_reading = 0; ///< Number of the last read of all keys.
    bool m_isSynchronized = false;
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::int64_t>
        m_revisions; ///< Last change of each key, removals included.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuswind

#endif
