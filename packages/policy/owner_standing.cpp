#include "owner_standing.h"

#include <algorithm>

namespace crocuswind::policy {

namespace {

/// A renewal that is sent through another host after this time still arrives before the lease of
/// the owner's key, of a second, has ended: renewals are at most 300 ms apart.
constexpr duration minPatience = 250ms;

/// A call waits for this many times the usual time of an answer.
constexpr int patienceFactor = 3;

/// An owner returns to the store itself after this many answers in turn.
constexpr int answersToReturn = 3;

/// After all hosts that were asked have failed, none is asked for this long.
constexpr duration othersPause = 400ms;

/// Weight of the last answer in the usual time of an answer, as a divisor.
constexpr int usualAnswerWeight = 4;

} // namespace

void owner_standing::onDirectAnswer(instant, duration took)
{
    m_failingSince.reset();
    m_usualAnswer += (took - m_usualAnswer) / usualAnswerWeight;
    ++m_answersInTurn;
    if (m_answersInTurn >= answersToReturn)
        m_isDetouring = false;
}

void owner_standing::onDirectFailure(instant now)
{
    m_answersInTurn = 0;
    if (!m_failingSince)
        m_failingSince = now;
}

void owner_standing::onDetourAnswer(instant)
{
    m_isDetouring = m_isDetouring || m_failingSince.has_value();
}

void owner_standing::onDetourFailure(instant now)
{
    m_isDetouring = false;
    m_askAgainAt = now + othersPause;
}

store_way owner_standing::way() const
{
    return m_isDetouring ? store_way::detour : store_way::direct;
}

duration owner_standing::patience() const
{
    return std::max<duration>(minPatience, m_usualAnswer * patienceFactor);
}

} // namespace crocuswind::policy
