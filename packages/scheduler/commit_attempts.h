/// Defines the attempts of an owner to make one batch durable. Open it to learn when a batch is
/// sent again, and when it is given up. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_COMMIT_ATTEMPTS_H
#define CROCUSWIND_SCHEDULER_COMMIT_ATTEMPTS_H

#include "scheduler_ports.h"

#include <cstdint>
#include <optional>

namespace crocuswind::scheduler {

/// Keeps the batch that an owner commits until its outcome is known, and the state of the attempts
/// to write it. At most one copy is sent at a time.
class commit_attempts
{
public:
    /// Takes a batch that has not been sent yet, once the one before is dropped. \p number is the
    /// same in all its copies.
    void begin(commit_batch batch, std::int64_t number);

    /// A copy was sent as the call with this token. Answers to earlier copies are ignored.
    void onSent(instant now, std::uint64_t token);

    /// The copy that was sent has an answer, or is given up.
    void onAnswered() { m_isSent = false; }

    /// The copy that was sent has failed. Returns true if the batch may still take effect and is
    /// sent again later, and false if it certainly has none and was dropped.
    bool retryAfter(instant now, store_error error);

    /// The copy that was sent had no effect, and the next may be sent at \p now.
    void retryAt(instant now) { m_retryAt = now; }

    /// The outcome is known: drops the batch.
    void finish();

    /// The ownership has ended: drops the batch and ignores the answer to its last copy.
    void abandon();

    bool hasBatch() const { return m_batch.has_value(); }
    bool isSent() const { return m_isSent; }

    /// Returns true if a batch waits to be sent and may be sent at \p now.
    bool isDue(instant now) const;

    /// Returns when the batch that waits is due; nothing if none waits for a retry.
    std::optional<instant> nextRetry() const;

    std::uint64_t token() const { return m_token; }
    std::int64_t number() const { return m_number; }
    const commit_batch &batch() const { return *m_batch; } ///< Only if hasBatch().

    /// When the first copy was sent. Only after onSent().
    instant firstSentAt() const { return *m_firstSentAt; }

private:
    std::optional<commit_batch> m_batch;
    std::int64_t m_number = 0;
    std::optional<instant> m_firstSentAt;
    bool m_isSent = false;
    std::uint64_t m_token = 0; ///< Of the last copy.
    bool m_isEffectUnknown = false; ///< A copy had no answer, so it may take effect.
    std::optional<instant> m_retryAt;
};

} // namespace crocuswind::scheduler

#endif
