#include "prefix_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocuswind {

namespace {

constexpr duration readTimeout = 2s;
constexpr duration readRetryInterval = 200ms;

} // namespace

prefix_mirror::prefix_mirror(event_loop &loop, store &source, std::string prefix,
                             duration maxSilence, prefix_mirror_callbacks callbacks)
    : m_loop(loop)
    , m_store(source)
    , m_prefix(std::move(prefix))
    , m_callbacks(std::move(callbacks))
{
    m_watch
        = m_store.watch(m_prefix, maxSilence, [this](const store_watch_update &u) { onUpdate(u); });
}

prefix_mirror::~prefix_mirror()
{
    *m_isAlive = false;
    m_loop.cancel(m_retryTimer);
    m_store.cancelWatch(m_watch);
}

void prefix_mirror::onUpdate(const store_watch_update &update)
{
    switch (update.what) {
    case store_watch_update::kind::started:
        m_watchedAsOf = instant();
        read();
        return;
    case store_watch_update::kind::changed:
        for (const store_change &change : update.changes) {
            const auto value
                = change.isDeleted ? std::nullopt : std::optional<std::string>(change.entry.value);
            apply(change.entry.key, value, change.entry.modRevision);
        }
        reportUpToDate(update.asOf);
        return;
    case store_watch_update::kind::unchanged:
        reportUpToDate(update.asOf);
        return;
    case store_watch_update::kind::lost:
        ++m_lastReadId;
        m_loop.cancel(m_retryTimer);
        if (std::exchange(m_isSynchronized, false))
            m_callbacks.lost();
        return;
    }
}

void prefix_mirror::read()
{
    const std::uint64_t readId = ++m_lastReadId;
    const auto alive = m_isAlive;
    const instant sentAt = m_loop.now();
    m_store.submit(store_range{m_prefix, true}, sentAt + readTimeout,
                   [this, alive, readId, sentAt](const store_result &result) {
                       if (*alive)
                           onRead(readId, sentAt, result);
                   });
}

void prefix_mirror::reportUpToDate(instant asOf)
{
    m_watchedAsOf = std::max(m_watchedAsOf, asOf);
    if (m_isSynchronized && m_callbacks.upToDate)
        m_callbacks.upToDate(asOf);
}

void prefix_mirror::onRead(std::uint64_t readId, instant sentAt, const store_result &result)
{
    if (readId != m_lastReadId)
        return;
    if (!result) {
        m_retryTimer = m_loop.callAt(m_loop.now() + readRetryInterval, [this] { read(); });
        return;
    }
    std::set<std::string> present;
    for (const store_entry &entry : result->entries) {
        present.insert(entry.key);
        apply(entry.key, entry.value, entry.modRevision);
    }
    const auto previousValues = m_values;
    for (const auto &[key, value] : previousValues) {
        if (present.count(key) == 0)
            apply(key, std::nullopt, result->revision);
    }
    m_isSynchronized = true;
    m_callbacks.synchronized(result->revision);
    // A read of many pages may take seconds. The watch began before it, and what it has reported
    // meanwhile is in the copy.
    reportUpToDate(std::max(sentAt, m_watchedAsOf));
}

void prefix_mirror::apply(const std::string &key, const std::optional<std::string> &value,
                          std::int64_t revision)
{
    std::int64_t &lastRevision = m_revisions[key];
    if (revision < lastRevision
        || (revision == lastRevision && value.has_value() && m_values.count(key) != 0))
        return;
    lastRevision = revision;
    if (value)
        m_values[key] = *value;
    else if (m_values.erase(key) == 0)
        return;
    m_callbacks.changed(key, value, revision);
}

} // namespace crocuswind
