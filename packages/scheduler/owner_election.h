/// Defines how one entry host becomes the owner of the jobs, and how its writes are fenced.
#ifndef CROCUSWIND_SCHEDULER_OWNER_ELECTION_H
#define CROCUSWIND_SCHEDULER_OWNER_ELECTION_H

#include "scheduler_core.h"
#include "scheduler_ports.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace crocuswind::scheduler {

/// Fixed facts of the election on one host.
struct election_settings
{
    host_id host;
    std::string address; ///< Where other entry hosts reach this one.
    std::string keyPrefix = "cw/";
    std::int64_t leaseSeconds = 1; ///< The owner's key disappears this long after its last renewal.
    duration renewInterval = 300ms;
    /// The owner may extend leases of workers for this long after the store last confirmed it. A
    /// later owner waits for as long before it takes an unreachable worker's runs for ended.
    duration authorityLimit = 8s;
    duration candidacyDelay = duration::zero(); ///< Before this host tries to replace an owner.
};

/// Who owns the jobs.
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

/// What the election asks for. No function may call back into it before it returns.
class election_ports
{
public:
    virtual ~election_ports() = default;

    /// Carries out a store operation; answered by onStoreResult() with the token.
    virtual void submit(std::uint64_t token, const store_operation &operation, instant deadline)
        = 0;

    /// This host owns the jobs under \p epoch, and is to read the records and go to work.
    virtual void onElected(std::int64_t epoch) = 0;

    /// This host does not own the jobs any more.
    virtual void onDeposed() = 0;

    /// The owner's key has changed, as last read.
    virtual void onOwner(const std::optional<owner_info> &owner) = 0;

    /// The batch is durable.
    virtual void onCommitted() = 0;

    /// The batch surely has had no effect, and is not tried again: the store refused it.
    virtual void onCommitRefused() = 0;

    /// The store has confirmed the ownership. Leases of workers may reach until \p authorityUntil;
    /// before \p soleUntil there is no other owner.
    virtual void onConfirmed(instant authorityUntil, instant soleUntil) = 0;

    /// The store answers the owner's calls, or does not.
    virtual void onStoreAvailable(bool isAvailable) = 0;

    virtual void log(const std::string &event, const std::string &fields) = 0;
};

/// Elects this host, renews its ownership and carries out its commits.
///
/// Two keys: `owner` is bound to a lease and says who acts; `epoch` is never removed and holds the
/// epoch with the number of the last commit. Each commit compares and replaces `epoch`, so that a
/// write of a former owner, or a delayed copy of one of our own, never takes effect.
class owner_election
{
public:
    owner_election(election_settings settings, election_ports &ports);
    ~owner_election();
    owner_election(const owner_election &) = delete;
    owner_election &operator=(const owner_election &) = delete;

    /// This host may stand for election, or not (it is stopping, or is of no use as an owner).
    void setEligible(instant now, bool isEligible);

    /// The owner's key as read or watched; nothing if there is none. \p revision is the store's.
    void onOwnerKey(instant now, const std::optional<std::string> &value, std::int64_t revision);

    /// The watch of the owner's key has broken off: its state is not known until the next call of
    /// onOwnerKey().
    void onOwnerKeyUnknown(instant now);

    void onStoreResult(instant now, std::uint64_t token, const store_result &result);

    /// Makes a batch durable; at most one at a time, only while elected. A batch that may have
    /// taken effect is tried until this is known.
    void commit(instant now, commit_batch batch);

    /// Gives the ownership up at once, so that another host may take it.
    void resign(instant now);

    /// Does what is due. To be called at nextWake() at the latest.
    void tick(instant now);
    instant nextWake() const;

    bool isOwner() const;
    std::int64_t epoch() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Returns the key that names the owner.
std::string ownerKey(const std::string &keyPrefix);

} // namespace crocuswind::scheduler

#endif
