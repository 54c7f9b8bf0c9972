/// Writes the changes of a shard to the store in group commits. At most one transaction is in
/// flight, commits are rate-limited, and a commit whose response is lost is resolved by reading the
/// commit record.
#ifndef CROCUSWIND_BATCH_COMMIT_PIPELINE_H
#define CROCUSWIND_BATCH_COMMIT_PIPELINE_H

#include "segment_codec.h"
#include "shard_keys.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// The effect of a store result on the commits.
enum class commit_status {
    undetermined, ///< No commit was resolved.
    committed, ///< One commit has taken effect.
    failed, ///< A commit certainly had no effect, or the store is unreachable.
    ownership_lost, ///< Another host owns the shard, or the owner key has expired.
};

/// The commits of one shard during one ownership. A change is durable once a commit that contains
/// its segment and was sent after the change has taken effect.
class commit_pipeline
{
public:
    /// Encodes the current content of a segment.
    using segment_encoder = std::function<std::string(int segment)>;

    commit_pipeline(const shard_keys &keys, std::string writer);

    /// Starts an ownership from the loaded commit record and segment sizes.
    void begin(std::int64_t epoch, std::int64_t commitVersion, std::int64_t sequence,
               const std::array<std::size_t, segmentCount> &segmentBytes);

    /// Marks \p segment as changed and returns the sequence of the next commit. \p isUrgent
    /// shortens the delay before that commit, for a change that a latency-critical task waits for.
    std::int64_t markChanged(int segment, bool isUrgent);

    /// Shortens the delay before the next commit because a latency-critical task is waiting.
    void expedite() { m_isUrgent = true; }

    /// Returns true if a change with \p sequence in \p segment is in the store.
    bool isDurable(int segment, std::int64_t sequence) const;

    /// Returns true if a commit that contains the change may have taken effect or may still do so.
    bool mayBeCommitted(int segment, std::int64_t sequence) const;

    /// Returns true if any segment has uncommitted changes.
    bool isDirty() const;

    /// Returns true if the commit interval and the backoff permit a call at \p now.
    bool mayCall(instant now) const;

    /// Returns when the next commit or read of the commit record is due, or `instant::max()` if
    /// none is. Pass true for \p isWanted if a change will be made as soon as a commit may be sent.
    instant due(bool isWanted) const;

    /// Returns the store call that is due at \p now, if any.
    std::optional<store_operation> nextCall(instant now, const segment_encoder &encode);

    /// Handles the result of the last call returned by `nextCall`.
    commit_status handleResult(instant now, const store_result &result);

    /// Returns true while the store does not respond. Submissions are rejected in this state.
    bool isStoreDown() const { return m_isStoreDown; }

    /// Returns true while a commit or read is in flight or the outcome of a commit is unknown.
    bool hasUnresolvedCommit() const { return m_inFlight || m_isReading || !m_unresolved.empty(); }

    /// Returns the size of the segment when it was last written or loaded.
    std::size_t segmentBytes(int segment) const { return m_bytes[std::size_t(segment)]; }

    /// Returns the number of commits that took effect during this ownership.
    std::int64_t commits() const { return m_commits; }

private:
    struct commit_attempt
    {
        std::int64_t sequence = 0;
        std::vector<int> segments;
    };

    bool isAttempted(std::int64_t sequence) const;
    commit_status applyCommit(std::int64_t sequence);
    commit_status handleEntries(const std::vector<store_entry> &entries);
    void backOff(instant now);

    shard_keys m_keys;
    std::string m_writer;
    std::int64_t m_epoch = 0;
    /// Version of the commit record that the next commit compares with.
    std::int64_t m_version = 0;
    std::int64_t m_nextSequence = 1;
    std::array<std::int64_t, segmentCount> m_changedAt{};
    std::array<std::int64_t, segmentCount> m_committedAt{};
    std::array<std::size_t, segmentCount> m_bytes{};
    /// Rotates so that no segment is excluded from commits indefinitely.
    int m_nextFirstSegment = 0;

    std::optional<commit_attempt> m_inFlight;
    bool m_isReading = false;
    /// Commits without a response; all compare the same version.
    std::vector<commit_attempt> m_unresolved;
    bool m_mustReadCommitRecord = false;
    bool m_isUrgent = false;
    std::optional<instant> m_lastSentAt;
    instant m_earliestCallAt;
    int m_failures = 0;
    bool m_isStoreDown = false;
    std::int64_t m_commits = 0;
};

} // namespace crocuswind

#endif
