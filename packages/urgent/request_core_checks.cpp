#include "request_core_state.h"

#include <fmt/format.h>

namespace crocuswind {

std::vector<std::string> request_core::violations() const
{
    const state &s = *m_state;
    std::vector<std::string> found;
    const auto check = [&found](bool holds, std::string text) {
        if (!holds)
            found.push_back(std::move(text));
    };
    s.ledger.checkInvariants(&found);
    s.runners.checkInvariants(&found);
    s.queue.checkInvariants(&found);

    std::vector<int> taken(s.runners.runnerCount());
    for (const auto &[number, a] : s.attempts) {
        ++taken.at(a.runner);
        const auto r = s.requests.find(a.request);
        check(a.request == 0 || (r != s.requests.end() && r->second.attempt == number),
              fmt::format("attempt {} belongs to no request", number));
    }
    for (std::size_t i = 0; i < taken.size(); ++i)
        check(taken[i] == s.runners.slotsTaken(i),
              fmt::format("runner {}: {} attempts, {} slots taken", i, taken[i],
                          s.runners.slotsTaken(i)));
    check(s.runners.countSlotsTaken() == s.attempts.size(), "slots are taken without attempts");

    std::size_t queued = 0;
    std::size_t bytes = 0;
    std::size_t callers = s.questions.size();
    for (const auto &[key, r] : s.requests) {
        queued += r.now == live_request::phase::queued ? 1 : 0;
        bytes += r.heldBytes;
        check(r.waiters.size() <= s.settings.maxWaiters, fmt::format("{} has waiters", key));
        for (const request_waiter &w : r.waiters)
            callers += std::holds_alternative<caller_token>(w) ? 1 : 0;
        const auto a = s.attempts.find(r.attempt);
        check(r.now != live_request::phase::running
                  || (a != s.attempts.end() && a->second.request == key),
              fmt::format("request {} runs without an attempt", key));
        const auto f = s.forwards.find(r.forwarding);
        check(r.now != live_request::phase::ordered
                  || (f != s.forwards.end() && f->second.request == key),
              fmt::format("request {} was ordered without a record", key));
        check(r.isOrder || s.ledger.look(r.id) != request_ledger::standing::unseen,
              fmt::format("request {} is not in the ledger", key));
    }
    for (const auto &[number, f] : s.forwards)
        callers += f.caller ? 1 : 0;
    check(queued == s.queue.queued(),
          fmt::format("{} requests are queued, the queue holds {}", queued, s.queue.queued()));
    check(bytes == s.queue.payloadBytes(),
          fmt::format("{} bytes are held, counted {}", bytes, s.queue.payloadBytes()));
    check(callers == s.callers.size(),
          fmt::format("{} callers wait, {} are indexed", callers, s.callers.size()));
    check(s.forwards.size() <= s.settings.maxForwarded
              && s.questions.size() <= s.settings.maxForwarded,
          "too many forwards");
    check(s.orders.size() <= s.settings.maxOrders, "too many orders");
    // Each ejection leaves one timer at most 45 s long; the other timers belong to a record.
    const std::size_t records = s.requests.size() + s.attempts.size() + s.forwards.size()
        + s.questions.size() + 8 * s.runners.runnerCount() + 4;
    check(s.timers.size() <= records, fmt::format("{} timers", s.timers.size()));
    return found;
}

} // namespace crocuswind
