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
              fmt::format("attempt {} does not match its request", number));
    }
    for (std::size_t i = 0; i < taken.size(); ++i)
        check(taken[i] == s.runners.slotsTaken(i),
              fmt::format("runner {}: {} attempts, {} slots taken", i, taken[i],
                          s.runners.slotsTaken(i)));
    check(s.runners.countSlotsTaken() == s.attempts.size(),
          "the number of slots taken differs from the number of attempts");

    std::size_t queued = 0;
    std::size_t bytes = 0;
    std::size_t callers = s.queries.size();
    for (const auto &[key, r] : s.requests) {
        queued += r.currentPhase == live_request::phase::queued ? 1 : 0;
        bytes += r.heldBytes;
        check(r.waiters.size() <= s.settings.maxWaiters,
              fmt::format("request {} has too many waiters", key));
        for (const request_waiter &w : r.waiters)
            callers += std::holds_alternative<caller_token>(w) ? 1 : 0;
        const auto a = s.attempts.find(r.attempt);
        check(r.currentPhase != live_request::phase::running
                  || (a != s.attempts.end() && a->second.request == key),
              fmt::format("request {} is running without an attempt", key));
        const auto f = s.forwards.find(r.forwarding);
        check(r.currentPhase != live_request::phase::delegated
                  || (f != s.forwards.end() && f->second.request == key),
              fmt::format("request {} is delegated without a pending forward", key));
        check(r.isDispatchCommand || s.ledger.lookUp(r.id) != request_ledger::lookup_result::unseen,
              fmt::format("request {} was not recorded in the ledger", key));
    }
    for (const auto &[number, f] : s.forwards)
        callers += f.caller ? 1 : 0;
    check(queued == s.queue.queued(),
          fmt::format("{} requests are in phase queued, the queue holds {}", queued,
                      s.queue.queued()));
    check(bytes == s.queue.payloadBytes(),
          fmt::format("requests hold {} payload bytes, the queue counts {}", bytes,
                      s.queue.payloadBytes()));
    check(callers == s.callers.size(),
          fmt::format("{} callers wait, the index holds {}", callers, s.callers.size()));
    check(s.forwards.size() <= s.settings.maxForwarded
              && s.queries.size() <= s.settings.maxForwarded,
          "too many pending forwards or queries");
    check(s.dispatchCommands.size() <= s.settings.maxDispatchCommands,
          "too many recorded dispatch commands");
    // Each ejection leaves one probe timer that runs for at most 45 s. Every other timer belongs to
    // a request, attempt, forward or query, or is the seat or drain timer.
    const std::size_t records = s.requests.size() + s.attempts.size() + s.forwards.size()
        + s.queries.size() + 8 * s.runners.runnerCount() + 4;
    check(s.timers.size() <= records, fmt::format("too many timers: {}", s.timers.size()));
    return found;
}

} // namespace crocuswind
