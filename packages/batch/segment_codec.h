/// Encodes and decodes the values that a shard keeps in the store: segments of job records and the
/// commit record. Both are CBOR maps with a format version.
#ifndef CROCUSWIND_BATCH_SEGMENT_CODEC_H
#define CROCUSWIND_BATCH_SEGMENT_CODEC_H

#include "job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

/// Encodes jobs in the given order.
std::string encodeSegment(const std::vector<const job_record *> &jobs);

/// Decodes a segment; unknown fields are ignored.
/// \return the jobs, or the reason why the value cannot be used: it is damaged or of a later format
/// version.
tl::expected<std::vector<job_record>, std::string> decodeSegment(std::string_view value);

/// Record that is written with every commit. If the response to a commit is lost, reading the
/// record back tells whether the commit took effect.
struct commit_record
{
    std::int64_t epoch = 0;
    std::int64_t sequence = 0; ///< Increases with every commit attempt of a shard.
    std::string writer; ///< Host and incarnation.
    /// Total size of all segments, by which a reader chooses how to load them.
    std::int64_t segmentBytes = 0;

    friend bool operator==(const commit_record &a, const commit_record &b)
    {
        return a.epoch == b.epoch && a.sequence == b.sequence && a.writer == b.writer
            && a.segmentBytes == b.segmentBytes;
    }
};

/// Encodes a commit record.
std::string encodeCommitRecord(const commit_record &record);

/// Decodes a commit record, or returns the reason why it cannot be used.
tl::expected<commit_record, std::string> decodeCommitRecord(std::string_view value);

} // namespace crocuswind

#endif
