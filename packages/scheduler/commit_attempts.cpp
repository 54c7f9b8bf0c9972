#include "commit_attempts.h"

#include <utility>

namespace crocuswind::scheduler {

namespace {

constexpr duration retryInterval = 150ms;

} // namespace

void commit_attempts::begin(commit_batch batch, std::int64_t number)
{
    m_batch = std::move(batch);
    m_number = number;
    m_firstSentAt.reset();
    m_isEffectUnknown = false;
}

void commit_attempts::onSent(instant now, std::uint64_t token)
{
    m_isSent = true;
    // Other hosts may see a confirmation from when its first copy was sent.
    if (!m_firstSentAt)
        m_firstSentAt = now;
    m_token = token;
}

bool commit_attempts::retryAfter(instant now, store_error error)
{
    m_isEffectUnknown = m_isEffectUnknown || error == store_error::no_answer;
    if (m_isEffectUnknown)
        m_retryAt = now + retryInterval;
    else
        finish();
    return m_isEffectUnknown;
}

void commit_attempts::finish()
{
    m_batch.reset();
    m_retryAt.reset();
}

void commit_attempts::abandon()
{
    m_batch.reset();
    m_isSent = false;
}

bool commit_attempts::isDue(instant now) const
{
    return m_batch && !m_isSent && (!m_retryAt || *m_retryAt <= now);
}

std::optional<instant> commit_attempts::nextRetry() const
{
    return m_batch && !m_isSent ? m_retryAt : std::nullopt;
}

} // namespace crocuswind::scheduler
