/// Defines the store calls of the owner election whose answers are awaited. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_ELECTION_CALLS_H
#define CROCUSWIND_SCHEDULER_ELECTION_CALLS_H

#include "scheduler_ports.h"

#include <cstdint>
#include <map>
#include <optional>

namespace crocuswind::scheduler {

/// What a store call of the election does.
enum class election_call_kind { grant, read, acquire, renew, commit, revoke };

/// A store call of the election.
struct election_call
{
    election_call_kind kind = election_call_kind::renew;
    instant sentAt;
};

/// The store calls of the election that have no answer yet, by their tokens.
class election_calls
{
public:
    /// Adds a call that is sent at \p now, and returns its token, which no other call has.
    std::uint64_t add(election_call_kind kind, instant now);

    /// Removes a call. Returns nothing if no answer to it is awaited.
    std::optional<election_call> take(std::uint64_t token);

    /// Forgets all calls but revocations, so that their answers are ignored.
    void keepRevocations();

    /// Returns true while a revocation has no answer.
    bool isRevoking() const;

private:
    std::uint64_t m_lastToken = 0;
    std::map<std::uint64_t, election_call> m_calls;
};

} // namespace crocuswind::scheduler

#endif
