/// Defines the election of the entry host that owns the jobs, and the fencing of its writes.
#ifndef CROCUSWIND_SCHEDULER_OWNER_ELECTION_H
#define CROCUSWIND_SCHEDULER_OWNER_ELECTION_H

#include "confirmation_watch.h"
#include "scheduler_core.h"
#include "scheduler_ports.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace crocuswind::scheduler {

/// Settings of the election on one host.
struct election_settings
{
    host_id host;
    std::string address; ///< Where other entry hosts reach this one.
    std::string keyPrefix = "cw/";
    std::int64_t leaseSeconds = 1; ///< The owner's key expires this long after its last renewal.
    duration renewInterval = 300ms;
    /// How far past its last confirmation, counted from when that was sent, the owner may extend
    /// leases of workers. Its successor treats the runs of an unreachable worker as ended after the
    /// same time, counted from when it saw that confirmation. Not shorter, because a lease that is
    /// granted just before the next confirmation lasts scheduler_settings::workerLease. Not longer,
    /// because a continuous task must run again within 9 s of the loss of its worker, and the owner
    /// may be lost up to 2 s after the worker, without having stored that it is silent.
    duration authorityLimit = 6500ms;
    duration candidacyDelay = duration::zero(); ///< Delay before this host tries to become owner.
};

/// The host that owns the jobs.
struct owner_info
{
    host_id host;
    std::string address;
    std::int64_t epoch = 0;

    friend bool operator==(const owner_info &a, const owner_info &b)
    {
        return a.host == b.host && a.address == b.address && a.epoch == b.epoch;
    }
};

/// The actions and notifications of the election. No function may call back into the election
/// before it returns.
class election_ports
{
public:
    virtual ~election_ports() = default;

    /// Sends a store operation. The result arrives as owner_election::onStoreResult() with the same
    /// token.
    virtual void submit(std::uint64_t token, const store_operation &operation, instant deadline)
        = 0;

    /// This host now owns the jobs under \p epoch and must read the records to take them over. It
    /// may grant leases once a commit has confirmed its ownership.
    virtual void onElected(std::int64_t epoch) = 0;

    /// This host no longer owns the jobs.
    virtual void onDeposed() = 0;

    /// The owner has changed; nothing if there is no owner.
    virtual void onOwner(const std::optional<owner_info> &owner) = 0;

    /// The batch in flight is durable.
    virtual void onCommitted() = 0;

    /// The store refused the batch in flight. It certainly had no effect and is not retried.
    virtual void onCommitRefused() = 0;

    /// The store has renewed or confirmed the ownership. Leases of workers may extend to
    /// \p authorityUntil, which is instant() before the first confirmation, and no other host can
    /// own the jobs before \p exclusiveUntil.
    virtual void onConfirmed(instant authorityUntil, instant exclusiveUntil) = 0;

    /// Reports whether the store answers the owner's calls.
    virtual void onStoreAvailable(bool isAvailable) = 0;

    virtual void log(const std::string &event, const std::string &fields) = 0;
};

struct owner_election_state;

/// Takes part in the election for this host, renews its ownership and performs its commits.
///
/// The election uses three keys in the store. `owner` is bound to a lease and names the current
/// owner. `epoch` is never removed and holds the epoch and the numbers of the last commit and the
/// last confirmation. Each commit compares and replaces `epoch`, so that a write of a former owner,
/// or a delayed copy of a write of this host, never takes effect. `owner/confirmed` is replaced by
/// the acquisition and by the commits that confirm the ownership; all hosts watch it. An owner that
/// is not confirmed grants no lease, so that its successor need not wait for any.
class owner_election
{
public:
    owner_election(election_settings settings, election_ports &ports);
    ~owner_election();
    owner_election(const owner_election &) = delete;
    owner_election &operator=(const owner_election &) = delete;

    /// Sets whether this host may become the owner. It may not while it is stopping, or if it could
    /// not act as an owner. A candidacy that has begun is abandoned, and its lease revoked.
    void setEligible(instant now, bool isEligible);

    /// Reports the value of the owner's key as read or watched, or nothing if the key does not
    /// exist. \p revision is the store's revision of this state.
    void onOwnerKey(instant now, const std::optional<std::string> &value, std::int64_t revision);

    /// Reports what another host tells of the owner, for a host that the store does not serve.
    /// Returns false if it is not news: this host knows of this epoch, or of a later one. What the
    /// store shows later replaces it.
    bool onOwnerNews(instant now, const owner_info &owner);

    /// Reports the value of the confirmation key as read or watched.
    void onConfirmationKey(instant now, const std::string &value);

    /// Reports that the watch of the owner's key was lost. The key's state is unknown until the
    /// next call of onOwnerKey().
    void onOwnerKeyUnknown(instant now);

    void onStoreResult(instant now, std::uint64_t token, const store_result &result);

    /// Makes a batch durable. At most one batch may be in flight, and only while this host is the
    /// owner. A batch that may have taken effect is retried until its outcome is known.
    void commit(instant now, commit_batch batch);

    /// Gives up the ownership immediately, so that another host can take over. This host remains a
    /// candidate for later elections unless setEligible() excludes it.
    void resign(instant now);

    /// Performs the work that is due. Call it at nextWake() at the latest.
    void tick(instant now);
    instant nextWake() const;

    bool isOwner() const;

    /// Returns true while this host owns the jobs, is a candidate, or waits for the answer to the
    /// revocation of its key's lease. If its process ends meanwhile, its key may remain until the
    /// lease expires, and no other host can become the owner before.
    bool mayHoldKey() const;

    std::int64_t epoch() const;

    /// Returns until when the owners that this host has seen replaced could extend leases. Call it
    /// once elected: the last confirmation of the former owner is known then.
    const earlier_authority &earlierAuthority() const;

private:
    std::unique_ptr<owner_election_state> m_state;
};

/// Returns the store key that names the owner.
std::string ownerKey(const std::string &keyPrefix);

/// Returns the store key of the owner's last confirmation. It begins with the owner's key, so that
/// one watch covers both.
std::string confirmationKey(const std::string &keyPrefix);

} // namespace crocuswind::scheduler

#endif
