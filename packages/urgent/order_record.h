/// Defines the record of the dispatch orders that this host has received from other hosts.
#ifndef CROCUSWIND_URGENT_ORDER_RECORD_H
#define CROCUSWIND_URGENT_ORDER_RECORD_H

#include "base/base.h"

#include <cstdint>
#include <deque>
#include <set>
#include <tuple>

namespace crocuswind {

/// Remembers the identifiers of dispatch orders, so that a duplicated order is not carried out
/// twice. An identifier is remembered for as long as identifiers live, counted from the order's
/// arrival.
class order_record
{
public:
    enum class admission {
        fresh, ///< The order is new and now remembered.
        known, ///< The order came before.
        full, ///< The record is full; the order is not remembered and must not be carried out.
    };

    order_record(duration lifetime, std::size_t maxOrders)
        : m_lifetime(lifetime)
        , m_maxOrders(maxOrders)
    { }

    /// Records an order unless it is known or the record is full.
    admission admit(const request_id &id, instant now)
    {
        expire(now);
        // Homes are kept by their hash. Two homes with one hash could at worst make a new order
        // look like a known one, which is then not carried out.
        const key k{stableHash(id.home.value), id.epoch, id.sequence};
        if (m_known.count(k) != 0)
            return admission::known;
        if (m_known.size() >= m_maxOrders)
            return admission::full;
        m_known.insert(k);
        m_order.emplace_back(now + m_lifetime, k);
        return admission::fresh;
    }

    /// Forgets the orders whose time is over.
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
