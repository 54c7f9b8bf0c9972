#include "owner_watch.h"

#include "scheduler/scheduler.h"

#include <utility>

namespace crocuswind {

namespace {

// The store reports that the owner's key is unchanged after this time without a change. While there
// is an owner, it confirms itself more often.
constexpr duration ownerWatchMaxSilence = 900ms;

} // namespace

owner_watch::owner_watch(event_loop &loop, store &source, const std::string &keyPrefix,
                         owner_watch_callbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_ownerKey(scheduler::ownerKey(keyPrefix))
    , m_confirmationKey(scheduler::confirmationKey(keyPrefix))
{
    m_mirror = std::make_unique<prefix_mirror>(
        loop, source, m_ownerKey, ownerWatchMaxSilence,
        prefix_mirror_callbacks{
            [this](const std::string &key, const std::optional<std::string> &value,
                   std::int64_t revision) { onChange(key, value, revision); },
            [this](std::int64_t revision) { reportOwnerKey(revision); },
            [this](instant) { m_callbacks.heard(); }, [this] { m_callbacks.lost(); }});
}

void owner_watch::onChange(const std::string &key, const std::optional<std::string> &value,
                           std::int64_t revision)
{
    if (key == m_confirmationKey && value)
        m_callbacks.confirmationKey(*value);
    else if (m_mirror)
        reportOwnerKey(revision);
}

void owner_watch::reportOwnerKey(std::int64_t revision)
{
    const auto &values = m_mirror->values();
    const auto found = values.find(m_ownerKey);
    const auto value
        = found == values.end() ? std::nullopt : std::optional<std::string>(found->second);
    m_callbacks.ownerKey(value, revision);
}

} // namespace crocuswind
