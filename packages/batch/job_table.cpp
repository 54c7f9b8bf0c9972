#include "job_table.h"

#include "interference.h"
#include "segment_codec.h"

namespace crocuswind {

namespace {

/// Finished jobs kept per segment. A repeated submission is recognised only while its job is kept;
/// 16 segments of this size hold the 5,100 jobs of a day twice over.
constexpr std::size_t maxFinishedJobs = 640;
/// Finished jobs are removed earlier if the segment exceeds this size.
constexpr std::size_t maxBytesWithFinished = 256 * 1024;

} // namespace

int job_table::segmentOf(const job_id &job)
{
    // Makes the hash independent of the one that selects the shard.
    constexpr std::uint64_t segmentSeed = 1;
    return int(stableHash(toString(job), segmentSeed) % segmentCount);
}

job_entry &job_table::add(job_record record, instant now)
{
    const job_id id = record.spec.id;
    job_entry entry;
    entry.segment = segmentOf(id);
    entry.workKind = workKindOf(id);
    entry.runtime.resize(record.tasks.size());
    for (task_runtime &runtime : entry.runtime)
        runtime.waitingSince = now;
    entry.since = now;
    m_nextNumber = std::max(m_nextNumber, record.number + 1);
    entry.record = std::move(record);
    const auto [at, isNew] = m_jobs.emplace(id, std::move(entry));
    CROCUSWIND_INVARIANT(isNew, toString(id));
    m_segments[std::size_t(at->second.segment)].all.insert(id);
    if (isFinished(at->second.record))
        markFinished(id);
    return at->second;
}

void job_table::remove(const job_id &job)
{
    const auto at = m_jobs.find(job);
    if (at == m_jobs.end())
        return;
    segment_jobs &segment = m_segments[std::size_t(at->second.segment)];
    segment.all.erase(job);
    segment.finished.erase({at->second.record.number, job});
    m_jobs.erase(at);
}

job_entry *job_table::find(const job_id &job)
{
    const auto at = m_jobs.find(job);
    return at == m_jobs.end() ? nullptr : &at->second;
}

const job_entry *job_table::find(const job_id &job) const
{
    const auto at = m_jobs.find(job);
    return at == m_jobs.end() ? nullptr : &at->second;
}

std::string job_table::encodeSegment(int segment)
{
    segment_jobs &jobs = m_segments[std::size_t(segment)];
    trim(jobs, 0);
    const auto encode = [&] {
        std::vector<const job_record *> records;
        for (const job_id &id : jobs.all)
            records.push_back(&m_jobs.at(id).record);
        return crocuswind::encodeSegment(records);
    };
    std::string value = encode();
    if (value.size() > maxBytesWithFinished && !jobs.finished.empty()) {
        trim(jobs, value.size());
        value = encode();
    }
    return value;
}

void job_table::markFinished(const job_id &job)
{
    const job_entry &entry = m_jobs.at(job);
    m_segments[std::size_t(entry.segment)].finished.insert({entry.record.number, job});
}

void job_table::trim(segment_jobs &segment, std::size_t bytes)
{
    // Size of the smallest record. It underestimates larger ones, so the segment may shrink further
    // than necessary.
    constexpr std::size_t minRecordBytes = 128;
    while (!segment.finished.empty()
           && (segment.finished.size() > maxFinishedJobs || bytes > maxBytesWithFinished)) {
        const job_id oldest = segment.finished.begin()->second;
        const std::size_t size = minRecordBytes + m_jobs.at(oldest).record.spec.payload.size();
        bytes -= std::min(bytes, size);
        remove(oldest);
    }
}

} // namespace crocuswind
