#include "owner_election.h"

#include "owner_keys.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace crocuswind::scheduler {

namespace {

constexpr duration callLimit = 1s;
/// Several renewals may be in flight, so that one lost answer does not let the lease expire.
constexpr duration renewLimit = 700ms;
constexpr int maxOpenRenewals = 3;
/// A commit without an answer within this time is sent again. The first copy that arrives takes
/// effect.
constexpr duration commitLimit = 700ms;
constexpr duration retryInterval = 150ms;
/// Longer than the random part of the delay before a candidacy.
constexpr duration unknownAgeDelay = 150ms;

const store_entry *findEntry(const store_reply &reply, const std::string &key)
{
    const auto found = std::find_if(reply.entries.begin(), reply.entries.end(),
                                    [&](const store_entry &entry) { return entry.key == key; });
    return found == reply.entries.end() ? nullptr : &*found;
}

} // namespace

struct owner_election::implementation
{
    enum class stage {
        follower,
        granting, ///< Waits for a lease.
        reading, ///< Reads the epoch key.
        acquiring, ///< Writes the owner and epoch keys.
        owner,
    };

    enum class call_kind { grant, read, acquire, renew, commit, revoke };

    struct call
    {
        call_kind kind = call_kind::renew;
        instant sentAt;
    };

    implementation(election_settings s, election_ports &p)
        : settings(std::move(s))
        , ports(p)
        , confirmations(settings.authorityLimit)
    { }

    void send(call_kind kind, const store_operation &operation, duration limit)
    {
        calls[++lastToken] = {kind, now};
        ports.submit(lastToken, operation, now + limit);
    }

    // Candidacy.

    void updateCandidacy()
    {
        const bool canBeCandidate
            = isEligible && isOwnerKnown && !owner && currentStage == stage::follower;
        if (!canBeCandidate) {
            candidateAt.reset();
            return;
        }
        if (!candidateAt)
            candidateAt = now + candidacyDelay();
        if (*candidateAt <= now)
            startCandidacy();
    }

    // A host that knows the age of the last confirmation can bound the leases of the former owner
    // more closely.
    duration candidacyDelay() const
    {
        return settings.candidacyDelay
            + (confirmations.isAgeKnown() ? duration::zero() : unknownAgeDelay);
    }

    void startCandidacy()
    {
        candidateAt.reset();
        currentStage = stage::granting;
        send(call_kind::grant, store_lease_grant{settings.leaseSeconds}, callLimit);
    }

    // The store extends the lease of the owner's key when the grant or the renewal arrives, which
    // is not before it was sent.
    void extendExclusive(instant leaseSentAt)
    {
        exclusiveUntil = leaseSentAt + std::chrono::seconds(settings.leaseSeconds);
    }

    void reportConfirmed()
    {
        const instant authorityUntil
            = confirmationSentAt ? *confirmationSentAt + settings.authorityLimit : instant();
        ports.onConfirmed(authorityUntil, exclusiveUntil);
    }

    // Makes a transaction that replaces the epoch key confirm the ownership too.
    void addConfirmation(store_transaction &transaction)
    {
        ++pendingEpochRecord.confirmation;
        pendingEpochRecord.lastConfirmed
            = {pendingEpochRecord.epoch, pendingEpochRecord.confirmation};
        publish(transaction);
    }

    // Shows all hosts the last confirmation of this epoch, or its acquisition.
    void publish(store_transaction &transaction)
    {
        published_confirmation published;
        published.confirmation = {pendingEpochRecord.epoch, pendingEpochRecord.confirmation};
        published.former = formerConfirmation;
        published.clockMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
        transaction.puts.push_back({confirmationKey(settings.keyPrefix), toText(published), 0});
    }

    void handleElectionFailure(const char *step)
    {
        ports.log("election_failed", fmt::format("step={}", step));
        if (currentStage == stage::owner)
            return;
        currentStage = stage::follower;
        lease = 0;
        candidateAt = now + retryInterval + candidacyDelay();
    }

    // Ends a candidacy of a host that may not become the owner any more. An acquisition in flight
    // may have taken effect. Without its lease, a delayed copy has none.
    void abandonCandidacy()
    {
        ports.log("candidacy_abandoned", fmt::format("lease={}", lease));
        forgetCalls();
        if (lease != 0)
            revokeLease();
        currentStage = stage::follower;
        lease = 0;
    }

    void revokeLease() { send(call_kind::revoke, store_lease_revocation{lease}, callLimit); }

    // Ignores the answers to all calls in flight but revocations.
    void forgetCalls()
    {
        for (auto i = calls.begin(); i != calls.end();)
            i = i->second.kind == call_kind::revoke ? std::next(i) : calls.erase(i);
    }

    bool isAbandoned() const { return !isEligible && currentStage != stage::owner; }

    void onGranted(const store_result &result, instant sentAt)
    {
        if (!result || result->lease == 0) {
            handleElectionFailure("lease");
            return;
        }
        lease = result->lease;
        grantSentAt = sentAt;
        if (isAbandoned()) {
            abandonCandidacy();
            return;
        }
        if (currentStage == stage::owner) {
            acquire();
            return;
        }
        currentStage = stage::reading;
        send(call_kind::read, store_range{epochKey(settings.keyPrefix), false}, callLimit);
    }

    void onRead(const store_result &result)
    {
        if (!result) {
            handleElectionFailure("epoch");
            return;
        }
        const store_entry *entry = findEntry(*result, epochKey(settings.keyPrefix));
        epochRecord = entry == nullptr ? epoch_record() : parseEpochRecord(entry->value);
        epochRevision = entry == nullptr ? 0 : entry->modRevision;
        currentStage = stage::acquiring;
        acquire();
    }

    // Writes the owner and epoch keys. An owner whose key was lost keeps its epoch, provided that
    // no other host has written the epoch key since, and confirms its ownership. The acquisition
    // itself does not, so that an owner that is lost before it serves extends no wait.
    void acquire()
    {
        pendingEpochRecord = epochRecord;
        const bool isNewEpoch = currentStage != stage::owner;
        if (isNewEpoch) {
            formerConfirmation = epochRecord.lastConfirmed;
            ++pendingEpochRecord.epoch;
            pendingEpochRecord.commit = 0;
            pendingEpochRecord.confirmation = 0;
            lastCommit = 0;
        } else {
            pendingEpochRecord.commit = ++lastCommit;
        }
        pendingEpochRecord.host = settings.host.value;
        const owner_info self{settings.host, settings.address, pendingEpochRecord.epoch};
        store_transaction transaction;
        transaction.compares.push_back(
            {ownerKey(settings.keyPrefix), store_compare::property::mod_revision, 0, {}});
        transaction.compares.push_back({epochKey(settings.keyPrefix),
                                        store_compare::property::mod_revision,
                                        epochRevision,
                                        {}});
        transaction.puts.push_back({ownerKey(settings.keyPrefix), toText(self), lease});
        if (isNewEpoch)
            publish(transaction);
        else
            addConfirmation(transaction);
        transaction.puts.push_back({epochKey(settings.keyPrefix), toText(pendingEpochRecord), 0});
        send(call_kind::acquire, transaction, callLimit);
    }

    void onAcquired(const store_result &result, instant sentAt)
    {
        const bool wasOwner = currentStage == stage::owner;
        isReacquiring = false;
        if (result && result->succeeded) {
            if (!wasOwner)
                boundFormerOwner();
            epochRecord = pendingEpochRecord;
            epochRevision = result->revision;
            confirmations.onEpoch(now, epochRecord.epoch);
            owner = owner_info{settings.host, settings.address, epochRecord.epoch};
            ownerRevision = result->revision;
            currentStage = stage::owner;
            isStoreAvailable = true;
            nextRenewAt = now + settings.renewInterval;
            extendExclusive(grantSentAt);
            if (wasOwner)
                confirmationSentAt = sentAt;
            else
                confirmationSentAt.reset();
            reportConfirmed();
            if (!wasOwner) {
                ports.log("elected", fmt::format("epoch={}", epochRecord.epoch));
                ports.onElected(epochRecord.epoch);
                ports.onOwner(owner);
            }
            if (batch && !isCommitSent)
                sendCommit();
            return;
        }
        if (wasOwner) {
            // If the store refused the write, another host has taken a key. Without an answer, the
            // next commit or update of the owner's key shows whether the write took effect.
            if (result && !result->succeeded)
                depose("key_taken");
            else
                isKeyLost = true;
            unansweredEpochRecord = pendingEpochRecord;
            return;
        }
        // Without an answer the write may have taken effect. This host's own key, which the watch
        // then shows, is removed with its lease.
        if (!result && result.error() == store_error::no_answer)
            revokeLease();
        handleElectionFailure("acquire");
    }

    // The compared epoch record names the last confirmation of any former owner.
    void boundFormerOwner()
    {
        const owner_confirmation &last = epochRecord.lastConfirmed;
        const owner_confirmation seen = confirmations.lastSeen(last.epoch);
        confirmations.onAcquired(now, pendingEpochRecord.epoch, last);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            confirmations.formerAuthority().endOf(epochRecord.epoch) - now);
        ports.log("former_owner_bounded",
                  fmt::format("epoch={} confirmed_epoch={} confirmation={} seen_epoch={} "
                              "seen_confirmation={} authority_left_ms={}",
                              epochRecord.epoch, last.epoch, last.number, seen.epoch, seen.number,
                              left.count()));
    }

    // Ownership.

    void renew()
    {
        nextRenewAt = now + settings.renewInterval;
        if (openRenewals >= maxOpenRenewals)
            return;
        ++openRenewals;
        send(call_kind::renew, store_lease_renewal{lease}, renewLimit);
    }

    void onRenewed(const store_result &result, instant sentAt)
    {
        --openRenewals;
        if (currentStage != stage::owner)
            return;
        setStoreAvailability(result.has_value());
        if (!result)
            return;
        if (result->ttlSeconds > 0) {
            extendExclusive(sentAt);
            reportConfirmed();
            return;
        }
        ports.log("lease_lost", fmt::format("epoch={}", epochRecord.epoch));
        isKeyLost = true;
    }

    void setStoreAvailability(bool hasAnswered)
    {
        if (std::exchange(isStoreAvailable, hasAnswered) == hasAnswered)
            return;
        ports.log(hasAnswered ? "store_regained" : "store_lost",
                  fmt::format("epoch={}", epochRecord.epoch));
        ports.onStoreAvailable(hasAnswered);
    }

    // Starts to rewrite a lost owner's key. This happens between commits only, because both replace
    // the epoch key.
    void restoreKey()
    {
        if (!isKeyLost || isReacquiring || isCommitSent || currentStage != stage::owner
            || now < nextRestoreAt)
            return;
        isKeyLost = false;
        isReacquiring = true;
        nextRestoreAt = now + retryInterval;
        send(call_kind::grant, store_lease_grant{settings.leaseSeconds}, callLimit);
    }

    void depose(const char *reason)
    {
        if (currentStage != stage::owner)
            return;
        ports.log("deposed", fmt::format("epoch={} reason={}", epochRecord.epoch, reason));
        currentStage = stage::follower;
        batch.reset();
        isCommitSent = false;
        isKeyLost = false;
        isReacquiring = false;
        unansweredEpochRecord.reset();
        // Answers to calls of this ownership say nothing about a later one.
        forgetCalls();
        openRenewals = 0;
        ports.onDeposed();
    }

    // Commits.

    void sendCommit()
    {
        if (isReacquiring)
            return;
        pendingEpochRecord = epochRecord;
        pendingEpochRecord.commit = batchCommit;
        store_transaction transaction;
        transaction.compares.push_back({epochKey(settings.keyPrefix),
                                        store_compare::property::mod_revision,
                                        epochRevision,
                                        {}});
        transaction.puts = batch->puts;
        if (batch->confirmsOwnership)
            addConfirmation(transaction);
        transaction.puts.push_back({epochKey(settings.keyPrefix), toText(pendingEpochRecord), 0});
        for (const std::string &key : batch->removedKeys)
            transaction.deletes.push_back({key});
        isCommitSent = true;
        // Other hosts may see a confirmation from when its first copy was sent.
        if (!batchSentAt)
            batchSentAt = now;
        send(call_kind::commit, transaction, commitLimit);
        commitToken = lastToken;
    }

    void onCommitResult(const store_result &result)
    {
        if (currentStage != stage::owner || !isCommitSent)
            return;
        isCommitSent = false;
        setStoreAvailability(result.has_value());
        if (!result) {
            onCommitFailed(result.error());
            return;
        }
        std::int64_t revision = result->revision;
        if (!result->succeeded) {
            // An earlier copy of this commit may have taken effect without an answer.
            const store_entry *entry = findEntry(*result, epochKey(settings.keyPrefix));
            const bool isOurs = entry != nullptr && entry->value == toText(pendingEpochRecord);
            if (!isOurs && entry != nullptr && unansweredEpochRecord
                && entry->value == toText(*unansweredEpochRecord)) {
                // The conflicting write is this host's own rewrite of the owner's key, which had no
                // answer. Continue from it and retry the commit.
                epochRecord = *std::exchange(unansweredEpochRecord, std::nullopt);
                epochRevision = entry->modRevision;
                retryCommitAt = now;
                return;
            }
            if (!isOurs) {
                depose("fenced");
                return;
            }
            revision = entry->modRevision;
        }
        epochRecord = pendingEpochRecord;
        epochRevision = revision;
        if (batch->confirmsOwnership)
            confirmationSentAt = std::max(confirmationSentAt.value_or(instant()), *batchSentAt);
        batch.reset();
        retryCommitAt.reset();
        reportConfirmed();
        ports.onCommitted();
    }

    // Reports a batch that the store refused, so that callers learn of it immediately. A batch of
    // which any copy had no answer may still take effect and is retried instead.
    void onCommitFailed(store_error error)
    {
        isEffectUnknown = isEffectUnknown || error == store_error::no_answer;
        if (isEffectUnknown) {
            retryCommitAt = now + retryInterval;
            return;
        }
        batch.reset();
        retryCommitAt.reset();
        ports.onCommitRefused();
    }

    election_settings settings;
    election_ports &ports;
    instant now;
    stage currentStage = stage::follower;
    bool isEligible = false;

    bool isOwnerKnown = false;
    std::optional<owner_info> owner;
    confirmation_watch confirmations;
    std::int64_t ownerRevision = 0; ///< The store's revision when the owner's key was last read.
    std::optional<instant> candidateAt;

    std::int64_t lease = 0;
    instant grantSentAt; ///< When the present lease was asked for; it runs from its arrival.
    epoch_record epochRecord;
    epoch_record pendingEpochRecord;
    std::optional<epoch_record> unansweredEpochRecord; ///< From a key rewrite that had no answer.
    /// Each batch and each rewrite of the owner's key has a number of its own, so that a write
    /// without an answer can be recognised and is never mistaken for another one.
    std::int64_t lastCommit = 0;
    std::int64_t batchCommit = 0; ///< Number of the batch in flight.
    std::int64_t epochRevision = 0;
    instant exclusiveUntil; ///< The lease of the owner's key cannot have expired before this time.
    instant nextRenewAt;
    int openRenewals = 0;
    bool isStoreAvailable = true;
    bool isKeyLost = false;
    bool isReacquiring = false;
    instant nextRestoreAt;

    std::optional<commit_batch> batch;
    std::optional<instant> batchSentAt; ///< When the first copy of the batch was sent.
    /// When the last confirmation that took effect was sent; nothing if this epoch has none.
    std::optional<instant> confirmationSentAt;
    owner_confirmation formerConfirmation; ///< The last one of any owner before this epoch.
    bool isCommitSent = false;
    std::uint64_t commitToken
        = 0; ///< Token of the last commit; answers to earlier ones are ignored.
    bool isEffectUnknown = false; ///< A copy of the batch had no answer, so it may take effect.
    std::optional<instant> retryCommitAt;

    std::uint64_t lastToken = 0;
    std::map<std::uint64_t, call> calls;
};

owner_election::owner_election(election_settings settings, election_ports &ports)
    : m_implementation(std::make_unique<implementation>(std::move(settings), ports))
{ }

owner_election::~owner_election() = default;

void owner_election::setEligible(instant now, bool isEligible)
{
    implementation &i = *m_implementation;
    i.now = now;
    if (std::exchange(i.isEligible, isEligible) != isEligible)
        i.ports.log("eligible", fmt::format("value={}", isEligible));
    // A lease that is not granted yet has no number. It is revoked once it has.
    const bool isCandidate = i.currentStage == implementation::stage::reading
        || i.currentStage == implementation::stage::acquiring;
    if (!isEligible && isCandidate)
        i.abandonCandidacy();
    i.updateCandidacy();
}

void owner_election::onOwnerKey(instant now, const std::optional<std::string> &value,
                                std::int64_t revision)
{
    implementation &i = *m_implementation;
    i.now = now;
    if (revision < i.ownerRevision)
        return;
    i.ownerRevision = revision;
    const std::optional<owner_info> owner = value ? parseOwner(*value) : std::nullopt;
    i.isOwnerKnown = true;
    if (owner)
        i.confirmations.onEpoch(now, owner->epoch);
    const bool isSelf = owner && owner->host == i.settings.host;
    if (i.currentStage == implementation::stage::owner) {
        if (owner && !(isSelf && owner->epoch == i.epochRecord.epoch))
            i.depose("other_owner");
        else if (!owner)
            i.isKeyLost = true;
    }
    const bool isChanged = !(i.owner == owner);
    i.owner = owner;
    if (i.currentStage == implementation::stage::owner)
        i.restoreKey();
    else if (isChanged)
        i.ports.onOwner(owner);
    i.updateCandidacy();
}

void owner_election::onConfirmationKey(instant now, const std::string &value)
{
    m_implementation->now = now;
    if (const auto confirmation = parseConfirmation(value))
        m_implementation->confirmations.onConfirmation(now, *confirmation);
}

void owner_election::onOwnerKeyUnknown(instant now)
{
    m_implementation->now = now;
    m_implementation->isOwnerKnown = false;
    m_implementation->candidateAt.reset();
}

void owner_election::onStoreResult(instant now, std::uint64_t token, const store_result &result)
{
    implementation &i = *m_implementation;
    i.now = now;
    const auto found = i.calls.find(token);
    if (found == i.calls.end())
        return;
    const implementation::call call = found->second;
    i.calls.erase(found);
    switch (call.kind) {
    case implementation::call_kind::grant:
        if (i.currentStage == implementation::stage::granting
            || (i.currentStage == implementation::stage::owner && i.isReacquiring)) {
            if (i.currentStage == implementation::stage::owner && (!result || result->lease == 0)) {
                i.isReacquiring = false;
                i.isKeyLost = true;
                break;
            }
            i.onGranted(result, call.sentAt);
        }
        break;
    case implementation::call_kind::read:
        if (i.currentStage == implementation::stage::reading)
            i.onRead(result);
        break;
    case implementation::call_kind::acquire:
        if (i.currentStage == implementation::stage::acquiring || i.isReacquiring)
            i.onAcquired(result, call.sentAt);
        break;
    case implementation::call_kind::renew:
        i.onRenewed(result, call.sentAt);
        break;
    case implementation::call_kind::commit:
        if (token == i.commitToken)
            i.onCommitResult(result);
        break;
    case implementation::call_kind::revoke:
        break;
    }
    i.restoreKey();
}

void owner_election::commit(instant now, commit_batch batch)
{
    implementation &i = *m_implementation;
    i.now = now;
    CROCUSWIND_INVARIANT(!i.batch, "at most one commit may be in flight");
    if (i.currentStage != implementation::stage::owner)
        return;
    i.batch = std::move(batch);
    i.batchSentAt.reset();
    i.isEffectUnknown = false;
    i.batchCommit = ++i.lastCommit;
    i.sendCommit();
}

void owner_election::resign(instant now)
{
    implementation &i = *m_implementation;
    i.now = now;
    if (i.currentStage != implementation::stage::owner)
        return;
    i.revokeLease();
    i.depose("resigned");
}

void owner_election::tick(instant now)
{
    implementation &i = *m_implementation;
    i.now = now;
    i.updateCandidacy();
    if (i.currentStage != implementation::stage::owner)
        return;
    if (i.nextRenewAt <= now)
        i.renew();
    i.restoreKey();
    if (i.batch && !i.isCommitSent && (!i.retryCommitAt || *i.retryCommitAt <= now))
        i.sendCommit();
}

instant owner_election::nextWake() const
{
    const implementation &i = *m_implementation;
    instant next = i.now + 250ms;
    if (i.candidateAt)
        next = std::min(next, *i.candidateAt);
    if (i.currentStage != implementation::stage::owner)
        return next;
    next = std::min(next, i.nextRenewAt);
    if (i.batch && !i.isCommitSent && i.retryCommitAt)
        next = std::min(next, *i.retryCommitAt);
    return next;
}

bool owner_election::isOwner() const
{
    return m_implementation->currentStage == implementation::stage::owner;
}

const earlier_authority &owner_election::earlierAuthority() const
{
    return m_implementation->confirmations.formerAuthority();
}

bool owner_election::mayHoldKey() const
{
    const implementation &i = *m_implementation;
    const bool isRevoking = std::any_of(i.calls.begin(), i.calls.end(), [](const auto &entry) {
        return entry.second.kind == implementation::call_kind::revoke;
    });
    return i.currentStage != implementation::stage::follower || isRevoking;
}

std::int64_t owner_election::epoch() const
{
    return m_implementation->epochRecord.epoch;
}

} // namespace crocuswind::scheduler
