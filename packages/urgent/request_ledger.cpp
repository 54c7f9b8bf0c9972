#include "request_ledger.h"

#include <fmt/format.h>
#include <utility>

namespace crocuswind {

namespace {

/// Estimated memory overhead, in bytes, of one stored answer; counted against the size limit.
constexpr std::size_t answerOverhead = 100;

} // namespace

request_ledger::request_ledger(host_id host, incarnation epoch, duration lifetime,
                               std::size_t maxIdentifiers, std::size_t maxAnswerBytes)
    : m_host(std::move(host))
    , m_epoch(epoch)
    , m_lifetime(lifetime)
    , m_maxIdentifiers(maxIdentifiers)
    , m_maxAnswerBytes(maxAnswerBytes)
{ }

std::optional<request_id> request_ledger::issue(instant now)
{
    expire(now);
    if (m_entries.size() >= m_maxIdentifiers)
        return std::nullopt;
    const std::int64_t sequence = m_firstSequence + std::int64_t(m_entries.size());
    m_entries.emplace_back();
    if (m_seconds.empty() || now >= m_seconds.back().end)
        m_seconds.push_back({now + duration(1s), sequence});
    m_seconds.back().endSequence = sequence + 1;
    return request_id{m_host, m_epoch, sequence};
}

void request_ledger::expire(instant now)
{
    while (!m_seconds.empty() && m_seconds.front().end + m_lifetime <= now) {
        for (; m_firstSequence < m_seconds.front().endSequence; ++m_firstSequence) {
            discardAnswer(m_firstSequence);
            m_entries.pop_front();
        }
        m_seconds.pop_front();
    }
    // discardAnswer() leaves the sequence in m_answerOrder; it is removed when it reaches the
    // front.
    while (!m_answerOrder.empty() && m_answers.count(m_answerOrder.front()) == 0)
        m_answerOrder.pop_front();
}

const request_ledger::entry *request_ledger::find(const request_id &id) const
{
    if (id.home != m_host || id.epoch != m_epoch || id.sequence < m_firstSequence)
        return nullptr;
    const auto offset = std::size_t(id.sequence - m_firstSequence);
    return offset < m_entries.size() ? &m_entries[offset] : nullptr;
}

request_ledger::lookup_result request_ledger::lookUp(const request_id &id) const
{
    if (id.home != m_host || id.epoch != m_epoch)
        return lookup_result::foreign;
    const entry *found = find(id);
    if (!found)
        return lookup_result::forgotten;
    return found->isSeen ? lookup_result::seen : lookup_result::unseen;
}

request_outcome request_ledger::outcomeOf(const request_id &id) const
{
    if (id.home != m_host || id.epoch != m_epoch)
        return unknownOutcome(outcome_reason::home_gone);
    const entry *found = find(id);
    if (!found)
        return unknownOutcome(outcome_reason::identifier_expired);
    request_outcome result{outcome_kind(found->kind), outcome_reason(found->reason), {}};
    if (result.kind == outcome_kind::answered) {
        const auto answer = m_answers.find(id.sequence);
        if (answer == m_answers.end())
            return unknownOutcome(outcome_reason::answer_dropped);
        result.answer = answer->second;
    }
    return result;
}

void request_ledger::markReceived(const request_id &id)
{
    CROCUSWIND_INVARIANT(lookUp(id) == lookup_result::unseen, toString(id));
    m_entries[std::size_t(id.sequence - m_firstSequence)].isSeen = true;
}

bool request_ledger::recordOutcome(const request_id &id, const request_outcome &result)
{
    if (!find(id))
        return false;
    entry &e = m_entries[std::size_t(id.sequence - m_firstSequence)];
    const auto former = outcome_kind(e.kind);
    const bool isTransitionAllowed = e.isSeen && result.kind != outcome_kind::pending
        && (former == outcome_kind::pending
            || (former == outcome_kind::unknown && result.kind == outcome_kind::answered));
    if (!isTransitionAllowed)
        return false;
    e.kind = std::uint8_t(result.kind);
    e.reason = std::uint8_t(result.reason);
    if (result.kind == outcome_kind::answered)
        storeAnswer(id.sequence, result.answer);
    return true;
}

void request_ledger::storeAnswer(std::int64_t sequence, const std::string &answer)
{
    const std::size_t bytes = answer.size() + answerOverhead;
    if (bytes > m_maxAnswerBytes)
        return;
    while (m_answerBytes + bytes > m_maxAnswerBytes) {
        discardAnswer(m_answerOrder.front());
        m_answerOrder.pop_front();
    }
    m_answers.emplace(sequence, answer);
    m_answerOrder.push_back(sequence);
    m_answerBytes += bytes;
}

void request_ledger::discardAnswer(std::int64_t sequence)
{
    const auto found = m_answers.find(sequence);
    if (found == m_answers.end())
        return;
    m_answerBytes -= found->second.size() + answerOverhead;
    m_answers.erase(found);
}

void request_ledger::checkInvariants(std::vector<std::string> *violations) const
{
    if (m_entries.size() > m_maxIdentifiers)
        violations->push_back(fmt::format("too many live identifiers: {}", m_entries.size()));
    std::size_t bytes = 0;
    for (const auto &[sequence, answer] : m_answers) {
        bytes += answer.size() + answerOverhead;
        if (sequence < m_firstSequence
            || std::size_t(sequence - m_firstSequence) >= m_entries.size()
            || outcome_kind(m_entries[std::size_t(sequence - m_firstSequence)].kind)
                != outcome_kind::answered)
            violations->push_back(fmt::format(
                "an answer is stored for sequence {}, which is expired or not answered", sequence));
    }
    if (bytes != m_answerBytes || bytes > m_maxAnswerBytes)
        violations->push_back(
            fmt::format("stored answers take {} bytes, counted {}", bytes, m_answerBytes));
    if (m_answerOrder.size() < m_answers.size())
        violations->push_back("a stored answer is missing from the discard order");
}

} // namespace crocuswind
