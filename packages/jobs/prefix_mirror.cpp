#include "prefix_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocuswind {

namespace {

constexpr duration readLimit = 2s;
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
    m_loop.cancel(m_retry);
    m_store.cancelWatch(m_watch);
}

void prefix_mirror::onUpdate(const store_watch_update &update)
{
    switch (update.what) {
    case store_watch_update::kind::started:
        read();
        return;
    case store_watch_update::kind::changed:
        for (const store_change &change : update.changes) {
            const auto value
                = change.isDeleted ? std::nullopt : std::optional<std::string>(change.entry.value);
            apply(change.entry.key, value, change.entry.modRevision);
        }
        reportCurrent(update.asOf);
        return;
    case store_watch_update::kind::unchanged:
        reportCurrent(update.asOf);
        return;
    case store_watch_update::kind::lost:
        ++m_reading;
        m_loop.cancel(m_retry);
        if (std::exchange(m_isSynchronized, false))
            m_callbacks.lost();
        return;
    }
}

void prefix_mirror::read()
{
    const std::uint64_t reading = ++m_reading;
    const auto alive = m_isAlive;
    const instant askedAt = m_loop.now();
    m_store.submit(store_range{m_prefix, true}, askedAt + readLimit,
                   [this, alive, reading, askedAt](const store_result &result) {
                       if (*alive)
                           onRead(reading, askedAt, result);
                   });
}

void prefix_mirror::reportCurrent(instant asOf)
{
    if (m_isSynchronized && m_callbacks.current)
        m_callbacks.current(asOf);
}

void prefix_mirror::onRead(std::uint64_t reading, instant askedAt, const store_result &result)
{
    if (reading != m_reading)
        return;
    if (!result) {
        m_retry = m_loop.callAt(m_loop.now() + readRetryInterval, [this] { read(); });
        return;
    }
    std::set<std::string> present;
    for (const store_entry &entry : result->entries) {
        present.insert(entry.key);
        apply(entry.key, entry.value, entry.modRevision);
    }
    const auto known = m_values;
    for (const auto &[key, value] : known) {
        if (present.count(key) == 0)
            apply(key, std::nullopt, result->revision);
    }
    m_isSynchronized = true;
    m_callbacks.synchronized(result->revision);
    reportCurrent(askedAt);
}

void prefix_mirror::apply(const std::string &key, const std::optional<std::string> &value,
                          std::int64_t revision)
{
    std::int64_t &last = m_revisions[key];
    if (revision < last || (revision == last && value.has_value() && m_values.count(key) != 0))
        return;
    last = revision;
    if (value)
        m_values[key] = *value;
    else if (m_values.erase(key) == 0)
        return;
    m_callbacks.changed(key, value, revision);
}

} // namespace crocuswind
