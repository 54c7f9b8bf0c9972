/// Defines the ledger of the requests whose identifiers this entry host issued (design 2.3). It is
/// the only place where the outcome of a request is decided.
#ifndef CROCUSWIND_URGENT_REQUEST_LEDGER_H
#define CROCUSWIND_URGENT_REQUEST_LEDGER_H

#include "base/base.h"
#include "request_outcome.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// Issues identifiers and remembers the state of each until it expires. An entry takes three bytes,
/// since sequence numbers are consecutive; answers are held apart, up to a bound.
class request_ledger
{
public:
    /// What the ledger knows about an identifier.
    enum class standing {
        foreign, ///< Issued by another host or incarnation; only that one can decide.
        forgotten, ///< Expired, or never issued.
        unseen, ///< Issued, and no request with it has come yet.
        seen, ///< A request with it has come; outcomeOf() tells its state.
    };

    /// Identifiers of \p host in \p epoch live for \p lifetime; at most \p maxIdentifiers live at a
    /// time, and answers of at most \p maxAnswerBytes are held.
    request_ledger(host_id host, incarnation epoch, duration lifetime, std::size_t maxIdentifiers,
                   std::size_t maxAnswerBytes);

    /// Issues an identifier, or returns nothing when too many are live.
    std::optional<request_id> issue(instant now);

    /// Forgets the identifiers that have expired. An identifier lives up to a second longer than
    /// its lifetime, since the ledger remembers only in which second it was issued.
    void expire(instant now);

    standing look(const request_id &id) const;

    /// Returns the state of a request: `pending` if unseen, `unknown` if forgotten or foreign, or
    /// if the answer is no longer held.
    request_outcome outcomeOf(const request_id &id) const;

    /// Records that the request has come. The identifier must be unseen.
    void begin(const request_id &id);

    /// Records an outcome if the transition is permitted (pending to any, unknown to answered).
    /// Returns false and changes nothing otherwise. A forgotten identifier is left alone.
    bool settle(const request_id &id, const request_outcome &result);

    std::size_t size() const { return m_entries.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

    /// Appends a description of each violated internal invariant.
    void checkInvariants(std::vector<std::string> *violations) const;

private:
    struct entry
    {
        bool isSeen = false;
        std::uint8_t kind = 0; ///< An outcome_kind.
        std::uint8_t reason = 0; ///< An outcome_reason.
    };
    struct issue_second
    {
        instant end; ///< All sequences of the second were issued before this.
        std::int64_t endSequence = 0; ///< One past the last sequence issued in the second.
    };

    const entry *find(const request_id &id) const;
    void holdAnswer(std::int64_t sequence, const std::string &answer);
    void dropAnswer(std::int64_t sequence);

    host_id m_host;
    incarnation m_epoch;
    duration m_lifetime;
    std::size_t m_maxIdentifiers;
    std::size_t m_maxAnswerBytes;
    std::int64_t m_firstSequence = 1; ///< Of `m_entries.front()`.
    std::deque<entry> m_entries;
    std::deque<issue_second> m_seconds;
    std::map<std::int64_t, std::string> m_answers;
    std::deque<std::int64_t> m_answerOrder; ///< Oldest answer first.
    std::size_t m_answerBytes = 0;
};

} // namespace crocuswind

#endif
