/// Writes the changes of a shard in group commits: one transaction in flight, paced, with lost
/// answers resolved by reading the commit record.
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

/// What a store result meant for the commits.
enum class commit_outcome {
    nothing, ///< Nothing is settled yet.
    landed, ///< One commit has taken effect.
    missed, ///< A commit surely had no effect, or the store cannot be reached.
    lost, ///< Another host owns the shard, or the owner key has lapsed.
};

/// The commits of one shard during one ownership. A change is durable once a commit that was sent
/// after it and contains its segment has taken effect.
class commit_pipeline
{
public:
    /// Encodes the present content of a segment.
    using segment_encoder = std::function<std::string(int segment)>;

    commit_pipeline(const shard_keys &keys, std::string writer);

    /// Begins an ownership with what was loaded.
    void begin(std::int64_t epoch, std::int64_t commitVersion, std::int64_t sequence,
               const std::array<std::size_t, segmentCount> &segmentBytes);

    /// Marks \p segment as changed and returns the sequence of the next commit. Pass true for
    /// \p isUrgent if a latency-critical task waits for the change.
    std::int64_t touch(int segment, bool isUrgent);

    /// Returns true if a change with \p sequence in \p segment is in the store.
    bool isDurable(int segment, std::int64_t sequence) const;

    /// Returns true if a commit with the change may have taken effect or may yet.
    bool mayHaveLanded(int segment, std::int64_t sequence) const;

    /// Returns true if any segment has changes that are not in the store.
    bool isDirty() const;

    /// Returns true if a call may be sent at \p now as far as pacing and backoff are concerned.
    bool mayCall(instant now) const;

    /// Returns when a commit or a read of the commit record is due: `instant::max()` if nothing is.
    /// Pass true for \p isWanted if a change will be made as soon as a commit may be sent.
    instant due(bool isWanted) const;

    /// Returns the call that is due at \p now, if any.
    std::optional<store_operation> nextCall(instant now, const segment_encoder &encode);

    /// Handles the result of the last call.
    commit_outcome handleResult(instant now, const store_result &result);

    /// Returns true while the store does not answer; submissions are then refused.
    bool isStoreDown() const { return m_isStoreDown; }

    /// Returns true while a commit or read is in flight or a commit's outcome is not known.
    bool isUnsettled() const { return m_inFlight || m_isReading || !m_unresolved.empty(); }

    /// Size of the segment when it was last written or loaded.
    std::size_t segmentBytes(int segment) const { return m_bytes[std::size_t(segment)]; }

    /// Number of commits that took effect during this ownership.
    std::int64_t commits() const { return m_commits; }

private:
    struct attempt
    {
        std::int64_t sequence = 0;
        std::vector<int> segments;
    };

    bool isAttempted(std::int64_t sequence) const;
    commit_outcome land(std::int64_t sequence);
    commit_outcome handleEntries(const std::vector<store_entry> &entries);
    void backOff(instant now);

    shard_keys m_keys;
    std::string m_writer;
    std::int64_t m_epoch = 0;
    std::int64_t m_version = 0; ///< Version of the commit record that the next commit expects.
    std::int64_t m_nextSequence = 1;
    std::array<std::int64_t, segmentCount> m_changedAt{};
    std::array<std::int64_t, segmentCount> m_committedAt{};
    std::array<std::size_t, segmentCount> m_bytes{};
    int m_firstSegment = 0; ///< Rotates, so that no segment is left out of commits forever.

    std::optional<attempt> m_inFlight;
    bool m_isReading = false;
    std::vector<attempt> m_unresolved; ///< Sent without an answer, against the same version.
    bool m_mustRead = false;
    bool m_isUrgent = false;
    std::optional<instant> m_lastSentAt;
    instant m_notBefore;
    int m_failures = 0;
    bool m_isStoreDown = false;
    std::int64_t m_commits = 0;
};

} // namespace crocuswind

#endif
