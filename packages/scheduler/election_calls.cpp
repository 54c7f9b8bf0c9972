#include "election_calls.h"

#include <algorithm>
#include <iterator>

namespace crocuswind::scheduler {

std::uint64_t election_calls::add(election_call_kind kind, instant now)
{
    m_calls[++m_lastToken] = {kind, now};
    return m_lastToken;
}

std::optional<election_call> election_calls::take(std::uint64_t token)
{
    const auto found = m_calls.find(token);
    if (found == m_calls.end())
        return std::nullopt;
    const election_call call = found->second;
    m_calls.erase(found);
    return call;
}

void election_calls::keepRevocations()
{
    for (auto i = m_calls.begin(); i != m_calls.end();)
        i = i->second.kind == election_call_kind::revoke ? std::next(i) : m_calls.erase(i);
}

bool election_calls::isRevoking() const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [](const auto &entry) {
        return entry.second.kind == election_call_kind::revoke;
    });
}

} // namespace crocuswind::scheduler
