/// Defines the ledger of the requests whose identifiers this entry host issued (design 2.3). The
/// outcome of a request is decided only here.
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

/// Issues identifiers and stores the state of each until it expires. Sequence numbers are
/// consecutive, so entries need no key and take three bytes each. Answers are stored separately, up
/// to a size limit.
class request_ledger
{
public:
    /// The result of lookUp(): what the ledger knows about an identifier.
    enum class lookup_result {
        foreign, ///< Issued by another host or incarnation; only that one can decide the outcome.
        forgotten, ///< Expired, or never issued.
        unseen, ///< Issued, but no request with it has arrived yet.
        seen, ///< A request with it has arrived; outcomeOf() returns its state.
    };

    /// Issues identifiers of \p host in incarnation \p epoch that expire after \p lifetime. At most
    /// \p maxIdentifiers are live at a time, and at most \p maxAnswerBytes of answers are stored.
    request_ledger(host_id host, incarnation epoch, duration lifetime, std::size_t maxIdentifiers,
                   std::size_t maxAnswerBytes);

    /// Issues an identifier, or returns nothing if too many are live.
    std::optional<request_id> issue(instant now);

    /// Removes the identifiers that have expired. An identifier can outlive its lifetime by up to a
    /// second, because the ledger stores only the second in which it was issued.
    void expire(instant now);

    /// Returns whether the identifier is known and whether a request with it has arrived.
    lookup_result lookUp(const request_id &id) const;

    /// Returns the state of a request: `pending` if unseen, `unknown` if forgotten or foreign, or
    /// if the answer is no longer stored.
    request_outcome outcomeOf(const request_id &id) const;

    /// Records that the request has arrived. The identifier must be unseen.
    void markReceived(const request_id &id);

    /// Records an outcome if the transition is permitted (pending to any outcome, unknown to
    /// answered). Otherwise, or if the identifier is forgotten, returns false and changes nothing.
    bool recordOutcome(const request_id &id, const request_outcome &result);

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
        instant end; ///< End of the second.
        std::int64_t endSequence = 0; ///< One past the last sequence issued in the second.
    };

    const entry *find(const request_id &id) const;
    void storeAnswer(std::int64_t sequence, const std::string &answer);
    void discardAnswer(std::int64_t sequence);

    host_id m_host;
    incarnation m_epoch;
    duration m_lifetime;
    std::size_t m_maxIdentifiers;
    std::size_t m_maxAnswerBytes;
    std::int64_t m_firstSequence = 1; ///< Sequence of `m_entries.front()`.
    std::deque<entry> m_entries;
    std::deque<issue_second> m_seconds;
    std::map<std::int64_t, std::string> m_answers;
    /// Sequences of the stored answers, oldest first. May contain sequences whose answer has been
    /// discarded already.
    std::deque<std::int64_t> m_answerOrder;
    std::size_t m_answerBytes = 0;
};

} // namespace crocuswind

#endif
