/// Reads the records of the jobs from the store, for a newly elected owner.
#ifndef CROCUSWIND_JOBS_RECORDS_READER_H
#define CROCUSWIND_JOBS_RECORDS_READER_H

#include "io/io.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocuswind {

/// Reads all records and repeats a read that failed.
class records_reader
{
public:
    /// Returns false if the records are of no use any more.
    using wanted_condition = std::function<bool()>;
    /// Receives all records of the jobs.
    using done_callback = std::function<void(const std::vector<scheduler::stored_record> &records)>;

    /// \p keyPrefix is the prefix of all keys of the scheduler.
    records_reader(event_loop &loop, store &source, std::string keyPrefix);
    ~records_reader();
    records_reader(const records_reader &) = delete;
    records_reader &operator=(const records_reader &) = delete;

    /// Reads the records and passes them to \p done. When the store answers and \p isWanted returns
    /// false, the read ends without a call of \p done.
    void read(const wanted_condition &isWanted, const done_callback &done);

    /// Does not repeat the read that has failed last. A read in flight goes on.
    void cancelRetry();

private:
    void onResult(const store_result &result, const wanted_condition &isWanted,
                  const done_callback &done);

    event_loop &m_loop;
    store &m_store;
    std::string m_keyPrefix;
    timer_id m_retryTimer = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuswind

#endif
