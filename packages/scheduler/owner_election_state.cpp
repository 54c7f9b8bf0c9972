#include "owner_election_state.h"

#include <algorithm>
#include <fmt/format.h>
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

} // namespace

owner_election_state::owner_election_state(election_settings s, election_ports &p)
    : settings(std::move(s))
    , ports(p)
    , confirmations(settings.authorityLimit)
    , epochKeyWriter(settings.host, settings.address, settings.keyPrefix)
{ }

std::uint64_t owner_election_state::send(election_call_kind kind, const store_operation &operation,
                                         duration limit)
{
    const std::uint64_t token = calls.add(kind, now);
    ports.submit(token, operation, now + limit);
    return token;
}

void owner_election_state::updateCandidacy()
{
    const bool canBeCandidate
        = isEligible && isOwnerKnown && !owner && currentStage == election_stage::follower;
    if (!canBeCandidate) {
        candidateAt.reset();
        return;
    }
    if (!candidateAt)
        candidateAt = now + candidacyDelay();
    if (*candidateAt <= now)
        startCandidacy();
}

duration owner_election_state::candidacyDelay() const
{
    return settings.candidacyDelay
        + (confirmations.isAgeKnown() ? duration::zero() : unknownAgeDelay);
}

void owner_election_state::startCandidacy()
{
    candidateAt.reset();
    currentStage = election_stage::granting;
    send(election_call_kind::grant, store_lease_grant{settings.leaseSeconds}, callLimit);
}

void owner_election_state::handleElectionFailure(const char *step)
{
    ports.log("election_failed", fmt::format("step={}", step));
    if (currentStage == election_stage::owner)
        return;
    currentStage = election_stage::follower;
    lease = 0;
    candidateAt = now + retryInterval + candidacyDelay();
}

void owner_election_state::abandonCandidacy()
{
    ports.log("candidacy_abandoned", fmt::format("lease={}", lease));
    calls.keepRevocations();
    if (lease != 0)
        revokeLease();
    currentStage = election_stage::follower;
    lease = 0;
}

void owner_election_state::onGranted(const store_result &result, instant sentAt)
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
    if (currentStage == election_stage::owner) {
        acquire();
        return;
    }
    currentStage = election_stage::reading;
    send(election_call_kind::read, epochKeyWriter.read(), callLimit);
}

void owner_election_state::onRead(const store_result &result)
{
    if (!result) {
        handleElectionFailure("epoch");
        return;
    }
    epochKeyWriter.onRead(*result);
    currentStage = election_stage::acquiring;
    acquire();
}

void owner_election_state::acquire()
{
    send(election_call_kind::acquire,
         currentStage == election_stage::owner ? epochKeyWriter.rewrite(now, lease)
                                               : epochKeyWriter.acquisition(now, lease),
         callLimit);
}

void owner_election_state::onAcquired(const store_result &result, instant sentAt)
{
    const bool wasOwner = currentStage == election_stage::owner;
    isReacquiring = false;
    if (result && result->succeeded) {
        if (!wasOwner)
            boundFormerOwner();
        epochKeyWriter.onWritten(result->revision);
        confirmations.onEpoch(now, epoch());
        highestEpoch = std::max(highestEpoch, epoch());
        owner = owner_info{settings.host, settings.address, epoch()};
        ownerRevision = result->revision;
        currentStage = election_stage::owner;
        isStoreAvailable = true;
        nextRenewAt = now + settings.renewInterval;
        extendExclusive(grantSentAt);
        if (wasOwner)
            confirmationSentAt = sentAt;
        else
            confirmationSentAt.reset();
        reportConfirmed();
        if (!wasOwner) {
            ports.log("elected", fmt::format("epoch={}", epoch()));
            ports.onElected(epoch());
            ports.onOwner(owner);
        }
        if (attempts.hasBatch() && !attempts.isSent())
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
        epochKeyWriter.onRewriteUnanswered();
        return;
    }
    // Without an answer the write may have taken effect. This host's own key, which the watch
    // then shows, is removed with its lease.
    if (!result && result.error() == store_error::no_answer)
        revokeLease();
    handleElectionFailure("acquire");
}

void owner_election_state::boundFormerOwner()
{
    const owner_confirmation &last = epochKeyWriter.record().lastConfirmed;
    const owner_confirmation seen = confirmations.lastSeen(last.epoch);
    confirmations.onAcquired(now, epochKeyWriter.pending().epoch, last);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        confirmations.formerAuthority().endOf(epoch()) - now);
    ports.log("former_owner_bounded",
              fmt::format("epoch={} confirmed_epoch={} confirmation={} seen_epoch={} "
                          "seen_confirmation={} authority_left_ms={}",
                          epoch(), last.epoch, last.number, seen.epoch, seen.number, left.count()));
}

void owner_election_state::extendExclusive(instant leaseSentAt)
{
    exclusiveUntil = leaseSentAt + std::chrono::seconds(settings.leaseSeconds);
}

void owner_election_state::reportConfirmed()
{
    const instant authorityUntil
        = confirmationSentAt ? *confirmationSentAt + settings.authorityLimit : instant();
    ports.onConfirmed(authorityUntil, exclusiveUntil);
}

void owner_election_state::renew()
{
    nextRenewAt = now + settings.renewInterval;
    if (openRenewals >= maxOpenRenewals)
        return;
    ++openRenewals;
    send(election_call_kind::renew, store_lease_renewal{lease}, renewLimit);
}

void owner_election_state::onRenewed(const store_result &result, instant sentAt)
{
    --openRenewals;
    if (currentStage != election_stage::owner)
        return;
    setStoreAvailability(result.has_value());
    if (!result)
        return;
    if (result->ttlSeconds > 0) {
        extendExclusive(sentAt);
        reportConfirmed();
        return;
    }
    ports.log("lease_lost", fmt::format("epoch={}", epoch()));
    isKeyLost = true;
}

void owner_election_state::setStoreAvailability(bool hasAnswered)
{
    if (std::exchange(isStoreAvailable, hasAnswered) == hasAnswered)
        return;
    ports.log(hasAnswered ? "store_regained" : "store_lost", fmt::format("epoch={}", epoch()));
    ports.onStoreAvailable(hasAnswered);
}

void owner_election_state::restoreKey()
{
    if (!isKeyLost || isReacquiring || attempts.isSent() || currentStage != election_stage::owner
        || now < nextRestoreAt)
        return;
    isKeyLost = false;
    isReacquiring = true;
    nextRestoreAt = now + retryInterval;
    send(election_call_kind::grant, store_lease_grant{settings.leaseSeconds}, callLimit);
}

void owner_election_state::revokeLease()
{
    send(election_call_kind::revoke, store_lease_revocation{lease}, callLimit);
}

void owner_election_state::depose(const char *reason)
{
    if (currentStage != election_stage::owner)
        return;
    ports.log("deposed", fmt::format("epoch={} reason={}", epoch(), reason));
    currentStage = election_stage::follower;
    attempts.abandon();
    isKeyLost = false;
    isReacquiring = false;
    epochKeyWriter.forgetRewrite();
    // Answers to calls of this ownership say nothing about a later one.
    calls.keepRevocations();
    openRenewals = 0;
    ports.onDeposed();
}

void owner_election_state::sendCommit()
{
    if (isReacquiring)
        return;
    const store_transaction transaction
        = epochKeyWriter.commit(now, attempts.number(), attempts.batch());
    attempts.onSent(now, send(election_call_kind::commit, transaction, commitLimit));
}

void owner_election_state::onCommitResult(const store_result &result)
{
    if (currentStage != election_stage::owner || !attempts.isSent())
        return;
    attempts.onAnswered();
    setStoreAvailability(result.has_value());
    if (!result) {
        onCommitFailed(result.error());
    } else if (result->succeeded) {
        epochKeyWriter.onWritten(result->revision);
        reportCommitted();
    } else {
        onCommitConflict(*result);
    }
}

void owner_election_state::onCommitConflict(const store_reply &reply)
{
    switch (epochKeyWriter.resolveConflict(reply)) {
    case epoch_conflict::same_commit:
        reportCommitted();
        break;
    case epoch_conflict::own_rewrite:
        attempts.retryAt(now);
        break;
    case epoch_conflict::other_write:
        depose("fenced");
        break;
    }
}

void owner_election_state::reportCommitted()
{
    if (attempts.batch().confirmsOwnership)
        confirmationSentAt
            = std::max(confirmationSentAt.value_or(instant()), attempts.firstSentAt());
    attempts.finish();
    reportConfirmed();
    ports.onCommitted();
}

void owner_election_state::onCommitFailed(store_error error)
{
    if (!attempts.retryAfter(now, error))
        ports.onCommitRefused();
}

} // namespace crocuswind::scheduler
