#include "records_reader.h"

#include <utility>

namespace crocuswind {

using namespace scheduler;

namespace {

constexpr duration recordsReadTimeout = 3s;

// Delay before a failed read of the former owner's records is repeated.
constexpr duration recordsRetryInterval = 100ms;

} // namespace

records_reader::records_reader(event_loop &loop, store &source, std::string keyPrefix)
    : m_loop(loop)
    , m_store(source)
    , m_keyPrefix(std::move(keyPrefix))
{ }

records_reader::~records_reader()
{
    *m_isAlive = false;
    m_loop.cancel(m_retryTimer);
}

void records_reader::read(const wanted_condition &isWanted, const done_callback &done)
{
    m_store.submit(store_range{m_keyPrefix, true}, m_loop.now() + recordsReadTimeout,
                   [this, alive = m_isAlive, isWanted, done](const store_result &result) {
                       if (*alive)
                           onResult(result, isWanted, done);
                   });
}

void records_reader::cancelRetry()
{
    m_loop.cancel(m_retryTimer);
}

void records_reader::onResult(const store_result &result, const wanted_condition &isWanted,
                              const done_callback &done)
{
    if (!isWanted())
        return;
    if (!result) {
        m_retryTimer = m_loop.callAt(m_loop.now() + recordsRetryInterval,
                                     [this, isWanted, done] { read(isWanted, done); });
        return;
    }
    std::vector<stored_record> records;
    for (const store_entry &entry : result->entries)
        records.push_back({entry.key, entry.value});
    done(records);
}

} // namespace crocuswind
