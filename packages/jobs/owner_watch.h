/// Watches the keys of the store that name the owner of the jobs and its last confirmation.
#ifndef CROCUSWIND_JOBS_OWNER_WATCH_H
#define CROCUSWIND_JOBS_OWNER_WATCH_H

#include "io/io.h"
#include "prefix_mirror.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocuswind {

/// Notifications of an owner_watch to its user. They are called from the event loop.
struct owner_watch_callbacks
{
    /// The owner's key has this value, or does not exist if \p value is empty, as of the store's
    /// \p revision.
    std::function<void(const std::optional<std::string> &value, std::int64_t revision)> ownerKey;
    /// The confirmation key was written.
    std::function<void(const std::string &value)> confirmationKey;
    /// The store has answered: the state of both keys is as reported.
    std::function<void()> heard;
    /// The watch was lost: the state of the keys is unknown until `ownerKey` is called again.
    std::function<void()> lost;
};

/// Reports the state of both keys from its construction on.
class owner_watch
{
public:
    /// \p keyPrefix is the prefix of all keys of the scheduler.
    owner_watch(event_loop &loop, store &source, const std::string &keyPrefix,
                owner_watch_callbacks callbacks);
    owner_watch(const owner_watch &) = delete;
    owner_watch &operator=(const owner_watch &) = delete;

private:
    void onChange(const std::string &key, const std::optional<std::string> &value,
                  std::int64_t revision);
    void reportOwnerKey(std::int64_t revision);

    owner_watch_callbacks m_callbacks;
    std::string m_ownerKey;
    std::string m_confirmationKey;
    std::unique_ptr<prefix_mirror> m_mirror; ///< Null while it is constructed.
};

} // namespace crocuswind

#endif
