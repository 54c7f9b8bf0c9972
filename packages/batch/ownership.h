/// Determines when this host owns the shard. Takes over after the owner key has expired, loads the
/// shard, and after a lease expiry or a process pause withholds permission until the owner key has
/// been read again.
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

/// The content of a shard as a new owner loads it from the store.
struct loaded_shard
{
    std::int64_t commitVersion = 0; ///< Version of the commit record's key, 0 if it does not exist.
    std::int64_t sequence = 0; ///< Sequence of the last commit.
    std::vector<job_record> jobs;
    std::array<std::size_t, segmentCount> segmentBytes{};
};

/// The ownership of one shard by one host. At most one of its store calls is in flight: the caller
/// passes the result of each call to `handleResult` before it calls `nextCall` again.
class ownership
{
public:
    ownership(const host_id &host, incarnation incarnationNumber, const shard_id &shard);

    void setSession(const shard_session &session);
    void setHosts(const std::vector<host_id> &hosts);

    /// Withholds all permissions until the owner key has been read again. Called after a pause of
    /// the process, or when a worker has seen a higher epoch.
    void requireConfirmation();

    /// Returns the store call to make now, if any.
    std::optional<store_operation> nextCall(instant now);

    /// Returns when `nextCall` will next return a call, or `instant::max()`.
    instant due(instant now) const;

    /// Handles the result of the last call. Returns a log line if the ownership changed, otherwise
    /// an empty string.
    std::string handleResult(instant now, const store_result &result);

    /// Gives up an ownership that the store no longer confirms or whose content cannot be read. The
    /// next takeover attempt waits for \p wait.
    void lose(instant now, duration wait = duration::zero());

    /// Requests the deletion of the owner key so that another host need not wait for the lease to
    /// expire. This host does not try to own the shard again.
    void release();

    /// Returns true once the owner key was released or there was none to release.
    bool isReleased() const { return m_phase == phase::released; }

    /// Returns the content of the shard, exactly once after it was loaded.
    std::optional<loaded_shard> takeLoaded();

    /// Returns true once the shard is loaded and until the ownership ends.
    bool isOwner() const { return m_phase == phase::owning; }

    /// Returns the create revision of the owner key, which the store and the workers use as fencing
    /// token.
    std::int64_t epoch() const { return m_epoch; }

    /// Returns true if new claims may be made, that is while the lease is valid by this host's
    /// clock.
    bool mayClaim(instant now) const;

    /// Returns true if commands may be sent to workers. This holds after the lease has expired as
    /// long as the store is unreachable, since no other host can take over without the store.
    bool maySendCommands(instant now) const;

    /// Returns the owner that was last read, if it is another host.
    const std::optional<host_id> &otherOwner() const { return m_otherOwner; }

    /// Returns host and incarnation as written to the store.
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
    bool needsConfirmation(instant now) const;
    duration claimDelay() const;
    std::string handleOwner(instant now, const store_reply &reply);
    std::string handleConfirmation(instant now, const store_result &result);
    std::string handleCommitRecord(instant now, const store_reply &reply);
    std::string handleSegments(instant now, const store_reply &reply);
    void beginLoading(std::int64_t epoch);
    void retry(instant now);

    host_id m_host;
    std::string m_writer;
    shard_keys m_keys;
    std::string m_shardName;
    shard_session m_session;
    std::vector<host_id> m_hosts;

    phase m_phase = phase::watching;
    instant m_nextCallAt; ///< Earliest time of the next call.
    bool m_isInFlight = false;
    bool m_isConfirmationInFlight = false;
    bool m_isReleasing = false;
    bool m_isReleaseInFlight = false;
    std::optional<instant> m_missingSince; ///< When the owner key was first found missing.
    std::optional<host_id> m_otherOwner;

    std::int64_t m_epoch = 0;
    std::int64_t m_claimLease = 0; ///< Lease to which the owner key is bound.
    int m_nextSegment = 0; ///< `segmentCount` while all segments are read at once.
    std::optional<loaded_shard> m_loaded;

    bool m_mustReadOwnerKey = false; ///< Nothing is permitted until the owner key was read.
    instant m_confirmedUntil; ///< With an expired lease, when the owner key must be read again.
    /// The last read of the owner key failed because the store did not respond.
    bool m_isUnreachable = false;
};

} // namespace crocuswind

#endif
