/// Defines the record of the dispatch commands that this host received from other hosts.
#ifndef CROCUSWIND_URGENT_DISPATCH_COMMAND_RECORD_H
#define CROCUSWIND_URGENT_DISPATCH_COMMAND_RECORD_H

#include "base/base.h"

#include <cstdint>
#include <deque>
#include <set>
#include <tuple>

namespace crocuswind {

/// Remembers the identifiers of dispatch commands, so that a duplicated command is not executed
/// twice. An identifier is remembered for the lifetime of identifiers, counted from the arrival of
/// the command.
class dispatch_command_record
{
public:
    enum class admission {
        fresh, ///< The command is new and was recorded.
        known, ///< The command is a duplicate.
        full, ///< The record is full. The command was not recorded and must not be executed.
    };

    dispatch_command_record(duration lifetime, std::size_t maxDispatchCommands)
        : m_lifetime(lifetime)
        , m_maxOrders(maxDispatchCommands)
    { }

    /// Records a command unless it is known or the record is full.
    admission admit(const request_id &id, instant now)
    {
        expire(now);
        // Only the hash of the home is stored. If two homes have the same hash, a new command can
        // be mistaken for a duplicate and is then not executed, which is safe.
        const key k{stableHash(id.home.value), id.epoch, id.sequence};
        if (m_known.count(k) != 0)
            return admission::known;
        if (m_known.size() >= m_maxOrders)
            return admission::full;
        m_known.insert(k);
        m_order.emplace_back(now + m_lifetime, k);
        return admission::fresh;
    }

    /// Removes the commands that have expired.
    void expire(instant now)
    {
        while (!m_order.empty() && m_order.front().first <= now) {
            m_known.erase(m_order.front().second);
            m_order.pop_front();
        }
    }

    std::size_t size() const { return m_known.size(); }

private:
    using key = std::tuple<std::uint64_t, incarnation, std::int64_t>;

    duration m_lifetime;
    std::size_t m_maxOrders;
    std::set<key> m_known;
    std::deque<std::pair<instant, key>> m_order; ///< Oldest first.
};

} // namespace crocuswind

#endif
