/// Defines the state of the owner election on one host, and the steps that its events cause. Open
/// it to follow a host from its candidacy to the end of its ownership. Private to owner_election.
#ifndef CROCUSWIND_SCHEDULER_OWNER_ELECTION_STATE_H
#define CROCUSWIND_SCHEDULER_OWNER_ELECTION_STATE_H

#include "commit_attempts.h"
#include "confirmation_watch.h"
#include "election_calls.h"
#include "epoch_writer.h"
#include "owner_election.h"

#include <cstdint>
#include <optional>

namespace crocuswind::scheduler {

/// How far this host has come in the election.
enum class election_stage {
    follower,
    granting, ///< Waits for a lease.
    reading, ///< Reads the epoch key.
    acquiring, ///< Writes the owner and epoch keys.
    owner,
};

/// The state of the election on one host. Each step takes the present time from `now`, which
/// owner_election sets with each event.
struct owner_election_state
{
    owner_election_state(election_settings s, election_ports &p);

    /// Sends a store operation that fails after \p limit, and returns the token of the call.
    std::uint64_t send(election_call_kind kind, const store_operation &operation, duration limit);

    // Candidacy.

    /// Becomes a candidate if there is no owner and the delay before a candidacy has passed.
    void updateCandidacy();

    /// Returns the delay before a candidacy. A host that knows the age of the last confirmation can
    /// bound the leases of the former owner more closely, and so has a shorter one.
    duration candidacyDelay() const;

    void startCandidacy();

    /// Returns to being a follower, and becomes a candidate again later. \p step names the call
    /// that failed.
    void handleElectionFailure(const char *step);

    /// Ends a candidacy of a host that may not become the owner any more. An acquisition in flight
    /// may have taken effect. Without its lease, a delayed copy has none.
    void abandonCandidacy();

    bool isAbandoned() const { return !isEligible && currentStage != election_stage::owner; }

    void onGranted(const store_result &result, instant sentAt);
    void onRead(const store_result &result);

    /// Writes the owner and epoch keys. An owner whose key was lost keeps its epoch.
    void acquire();

    void onAcquired(const store_result &result, instant sentAt);

    /// Bounds the authority of former owners. The compared epoch record names the last confirmation
    /// of any of them.
    void boundFormerOwner();

    // Ownership.

    /// Counts the sole ownership from when the grant or the renewal of the lease was sent. The
    /// store extends the lease when it arrives, which is not before.
    void extendExclusive(instant leaseSentAt);

    void reportConfirmed();
    void renew();
    void onRenewed(const store_result &result, instant sentAt);
    void setStoreAvailability(bool hasAnswered);

    /// Starts to rewrite a lost owner's key. This happens between commits only, because both
    /// replace the epoch key.
    void restoreKey();

    void revokeLease();

    /// Ends the ownership, if this host has it.
    void depose(const char *reason);

    std::int64_t epoch() const { return epochKeyWriter.record().epoch; }

    // Commits.

    void sendCommit();
    void onCommitResult(const store_result &result);

    /// Handles a commit whose comparison failed. An earlier copy of it may have taken effect
    /// without an answer.
    void onCommitConflict(const store_reply &reply);

    /// Reports the batch in flight as durable.
    void reportCommitted();

    /// Reports a batch that the store refused, so that callers learn of it immediately. A batch of
    /// which any copy had no answer may still take effect and is retried instead.
    void onCommitFailed(store_error error);

    election_settings settings;
    election_ports &ports;
    instant now;
    election_stage currentStage = election_stage::follower;
    bool isEligible = false;

    bool isOwnerKnown = false;
    std::optional<owner_info> owner;
    confirmation_watch confirmations;
    std::int64_t highestEpoch = 0; ///< Of any owner that this host has heard of.
    std::int64_t ownerRevision = 0; ///< The store's revision when the owner's key was last read.
    std::optional<instant> candidateAt;

    std::int64_t lease = 0;
    instant grantSentAt; ///< When the present lease was asked for; it runs from its arrival.
    epoch_writer epochKeyWriter;
    instant exclusiveUntil; ///< The lease of the owner's key cannot have expired before this time.
    instant nextRenewAt;
    int openRenewals = 0;
    bool isStoreAvailable = true;
    bool isKeyLost = false;
    bool isReacquiring = false;
    instant nextRestoreAt;

    commit_attempts attempts; ///< To commit the batch in flight.
    /// When the last confirmation that took effect was sent; nothing if this epoch has none.
    std::optional<instant> confirmationSentAt;

    election_calls calls;
};

} // namespace crocuswind::scheduler

#endif
