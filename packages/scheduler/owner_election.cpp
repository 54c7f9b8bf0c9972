#include "owner_election.h"

#include "owner_election_state.h"
#include "owner_keys.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crocuswind::scheduler {

owner_election::owner_election(election_settings settings, election_ports &ports)
    : m_state(std::make_unique<owner_election_state>(std::move(settings), ports))
{ }

owner_election::~owner_election() = default;

void owner_election::setEligible(instant now, bool isEligible)
{
    owner_election_state &state = *m_state;
    state.now = now;
    if (std::exchange(state.isEligible, isEligible) != isEligible)
        state.ports.log("eligible", fmt::format("value={}", isEligible));
    // A lease that is not granted yet has no number. It is revoked once it has.
    const bool isCandidate = state.currentStage == election_stage::reading
        || state.currentStage == election_stage::acquiring;
    if (!isEligible && isCandidate)
        state.abandonCandidacy();
    state.updateCandidacy();
}

void owner_election::onOwnerKey(instant now, const std::optional<std::string> &value,
                                std::int64_t revision)
{
    owner_election_state &state = *m_state;
    state.now = now;
    if (revision < state.ownerRevision)
        return;
    state.ownerRevision = revision;
    const std::optional<owner_info> owner = value ? parseOwner(*value) : std::nullopt;
    state.isOwnerKnown = true;
    if (owner) {
        state.highestEpoch = std::max(state.highestEpoch, owner->epoch);
        state.confirmations.onEpoch(now, owner->epoch);
    }
    const bool isSelf = owner && owner->host == state.settings.host;
    if (state.currentStage == election_stage::owner) {
        if (owner && !(isSelf && owner->epoch == state.epoch()))
            state.depose("other_owner");
        else if (!owner)
            state.isKeyLost = true;
    }
    const bool isChanged = !(state.owner == owner);
    state.owner = owner;
    if (state.currentStage == election_stage::owner)
        state.restoreKey();
    else if (isChanged)
        state.ports.onOwner(owner);
    state.updateCandidacy();
}

bool owner_election::onOwnerNews(instant now, const owner_info &owner)
{
    owner_election_state &state = *m_state;
    state.now = now;
    if (owner.epoch <= std::max(state.highestEpoch, state.epoch()))
        return false;
    state.highestEpoch = owner.epoch;
    state.depose("other_owner");
    state.owner = owner;
    state.ports.onOwner(owner);
    state.updateCandidacy();
    return true;
}

void owner_election::onConfirmationKey(instant now, const std::string &value)
{
    m_state->now = now;
    if (const auto confirmation = parseConfirmation(value))
        m_state->confirmations.onConfirmation(now, *confirmation);
}

void owner_election::onOwnerKeyUnknown(instant now)
{
    m_state->now = now;
    m_state->isOwnerKnown = false;
    m_state->candidateAt.reset();
}

void owner_election::onStoreResult(instant now, std::uint64_t token, const store_result &result)
{
    owner_election_state &state = *m_state;
    state.now = now;
    const std::optional<election_call> call = state.calls.take(token);
    if (!call)
        return;
    switch (call->kind) {
    case election_call_kind::grant:
        if (state.currentStage == election_stage::granting
            || (state.currentStage == election_stage::owner && state.isReacquiring)) {
            if (state.currentStage == election_stage::owner && (!result || result->lease == 0)) {
                state.isReacquiring = false;
                state.isKeyLost = true;
                break;
            }
            state.onGranted(result, call->sentAt);
        }
        break;
    case election_call_kind::read:
        if (state.currentStage == election_stage::reading)
            state.onRead(result);
        break;
    case election_call_kind::acquire:
        if (state.currentStage == election_stage::acquiring || state.isReacquiring)
            state.onAcquired(result, call->sentAt);
        break;
    case election_call_kind::renew:
        state.onRenewed(result, call->sentAt);
        break;
    case election_call_kind::commit:
        if (token == state.attempts.token())
            state.onCommitResult(result);
        break;
    case election_call_kind::revoke:
        break;
    }
    state.restoreKey();
}

void owner_election::commit(instant now, commit_batch batch)
{
    owner_election_state &state = *m_state;
    state.now = now;
    CROCUSWIND_INVARIANT(!state.attempts.hasBatch(), "at most one commit may be in flight");
    if (state.currentStage != election_stage::owner)
        return;
    state.attempts.begin(std::move(batch), state.epochKeyWriter.nextCommit());
    state.sendCommit();
}

void owner_election::resign(instant now)
{
    owner_election_state &state = *m_state;
    state.now = now;
    if (state.currentStage != election_stage::owner)
        return;
    state.revokeLease();
    state.depose("resigned");
}

void owner_election::tick(instant now)
{
    owner_election_state &state = *m_state;
    state.now = now;
    state.updateCandidacy();
    if (state.currentStage != election_stage::owner)
        return;
    if (state.nextRenewAt <= now)
        state.renew();
    state.restoreKey();
    if (state.attempts.isDue(now))
        state.sendCommit();
}

instant owner_election::nextWake() const
{
    const owner_election_state &state = *m_state;
    instant next = state.now + 250ms;
    if (state.candidateAt)
        next = std::min(next, *state.candidateAt);
    if (state.currentStage != election_stage::owner)
        return next;
    next = std::min(next, state.nextRenewAt);
    if (const auto retry = state.attempts.nextRetry())
        next = std::min(next, *retry);
    return next;
}

bool owner_election::isOwner() const
{
    return m_state->currentStage == election_stage::owner;
}

const earlier_authority &owner_election::earlierAuthority() const
{
    return m_state->confirmations.formerAuthority();
}

bool owner_election::mayHoldKey() const
{
    const owner_election_state &state = *m_state;
    return state.currentStage != election_stage::follower || state.calls.isRevoking();
}

std::int64_t owner_election::epoch() const
{
    return m_state->epoch();
}

} // namespace crocuswind::scheduler
