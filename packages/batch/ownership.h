/// Decides when this host owns the shard: takes over after a lapse, loads the shard, and withholds
/// permission after a lapse or a pause until the owner key has been read again.
#ifndef CROCUSWIND_BATCH_OWNERSHIP_H
#define CROCUSWIND_BATCH_OWNERSHIP_H

#include "segment_codec.h"
#include "shard_events.h"
#include "shard_keys.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// What a new owner found in the store.
struct loaded_shard
{
    std::int64_t commitVersion = 0; ///< Version of the commit record's key, 0 if there is none.
    std::int64_t sequence = 0; ///< Sequence of the last commit.
    std::vector<job_record> jobs;
    std::array<std::size_t, segmentCount> segmentBytes{};
};

/// The ownership of one shard by one host. At most one of its calls is in flight; the caller
/// reports the result of every call that `nextCall` returned before it asks for another.
class ownership
{
public:
    ownership(const host_id &host, incarnation incarnationNumber, const shard_id &shard);

    void setSession(const shard_session &session);
    void setHosts(const std::vector<host_id> &hosts);

    /// The process did not run for a while: nothing is permitted before the key is read again.
    void notePause();

    /// Returns the store call to make now, if any.
    std::optional<store_operation> nextCall(instant now);

    /// Returns when `nextCall` will next have a call, or `instant::max()`.
    instant due(instant now) const;

    /// Handles the result of the last call; returns a line for the log if something changed.
    std::string handleResult(instant now, const store_result &result);

    /// Gives up an ownership that the store no longer confirms, or that cannot be used; the next
    /// attempt to take over waits for \p wait.
    void lose(instant now, duration wait = duration::zero());

    /// Asks to delete the owner key, so that another host need not wait for the lease. This host
    /// does not try to own the shard again.
    void release();

    /// Returns true once the key was given up, or there was nothing to give up.
    bool isReleased() const { return m_phase == phase::released; }

    /// Returns the shard's content once after it was loaded.
    std::optional<loaded_shard> takeLoaded();

    /// Returns true from the moment at which the shard is loaded.
    bool isOwner() const { return m_phase == phase::owning; }

    /// The create revision of the owner key; workers and the store compare it.
    std::int64_t epoch() const { return m_epoch; }

    /// Returns true if new claims may be made: the lease is valid by this host's clock.
    bool mayClaim(instant now) const;

    /// Returns true if commands may be sent to workers: also after the lease has expired, as long
    /// as the store cannot be reached, since no other host can take over without the store.
    bool mayCommand(instant now) const;

    /// The last owner that was read, if it is another host.
    const std::optional<host_id> &otherOwner() const { return m_otherOwner; }

    /// Host and incarnation, as written into the store.
    const std::string &writer() const { return m_writer; }

    const shard_keys &keys() const { return m_keys; }

private:
    enum class phase {
        watching,
        claiming,
        reading_claim,
        loading_commit,
        loading_segments,
        owning,
        released
    };

    bool isLeaseValid(instant now) const;
    bool needsProof(instant now) const;
    duration claimDelay() const;
    std::string handleOwner(instant now, const store_reply &reply);
    std::string handleProof(instant now, const store_result &result);
    std::string handleCommitRecord(instant now, const store_reply &reply);
    std::string handleSegments(instant now, const store_reply &reply);
    void becomeClaimant(std::int64_t epoch);
    void retry(instant now);

    host_id m_host;
    std::string m_writer;
    shard_keys m_keys;
    std::string m_shardName;
    shard_session m_session;
    std::vector<host_id> m_hosts;

    phase m_phase = phase::watching;
    instant m_nextCallAt; ///< Not before this time.
    bool m_isInFlight = false;
    bool m_isProofInFlight = false;
    bool m_isReleasing = false;
    bool m_isReleaseInFlight = false;
    std::optional<instant> m_missingSince; ///< When the owner key was first seen missing.
    std::optional<host_id> m_otherOwner;

    std::int64_t m_epoch = 0;
    std::int64_t m_claimLease = 0; ///< The lease to which the owner key is bound.
    int m_nextSegment = 0; ///< `segmentCount` while all segments are read at once.
    std::optional<loaded_shard> m_loaded;

    bool m_mustRead = false; ///< Nothing is permitted before the owner key was read.
    instant m_provenUntil; ///< While the lease has expired: when the key must be read again.
    bool m_isUnreachable = false; ///< The last proof failed because the store did not answer.
};

} // namespace crocuswind

#endif
