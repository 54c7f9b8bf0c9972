/// Defines the writes by which a host acquires and keeps the ownership of the jobs. Open it to
/// learn what each of them compares and replaces in the store. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_EPOCH_WRITER_H
#define CROCUSWIND_SCHEDULER_EPOCH_WRITER_H

#include "owner_election.h"
#include "owner_keys.h"

#include <cstdint>
#include <optional>
#include <string>

namespace crocuswind::scheduler {

/// Who wrote the epoch record that made the comparison of a commit fail.
enum class epoch_conflict {
    same_commit, ///< An earlier copy of this commit, which had no answer.
    own_rewrite, ///< This host's rewrite of the owner's key, which had no answer.
    other_write, ///< Another owner, or nobody if the record is missing.
};

/// Builds the transactions that replace the epoch key, and keeps track of its value. Each compares
/// the revision of the last value that this host knows, so that none takes effect after a write of
/// another host. At most one of them may be in flight.
class epoch_writer
{
public:
    epoch_writer(host_id host, std::string address, std::string keyPrefix);

    /// Returns the read of the epoch key that comes before an acquisition.
    store_operation read() const;

    /// Takes the epoch record from the reply to read().
    void onRead(const store_reply &reply);

    /// Returns the write of the owner and epoch keys that acquires the ownership under a new epoch.
    /// It does not confirm the ownership, so that an owner that is lost before it serves extends no
    /// wait. \p lease is the one that the owner's key is bound to.
    store_transaction acquisition(instant now, std::int64_t lease);

    /// Returns the write of the owner and epoch keys by which an owner whose key was lost keeps its
    /// epoch, provided that no other host has written the epoch key since. It confirms the
    /// ownership.
    store_transaction rewrite(instant now, std::int64_t lease);

    /// Returns the number of a new batch.
    std::int64_t nextCommit() { return ++m_lastCommit; }

    /// Returns the write of a batch. All copies of a batch have the same \p number.
    store_transaction commit(instant now, std::int64_t number, const commit_batch &batch);

    /// The write in flight has taken effect at this revision of the store.
    void onWritten(std::int64_t revision);

    /// The rewrite in flight had no answer, so it may have taken effect.
    void onRewriteUnanswered() { m_unanswered = m_pending; }

    /// Forgets the rewrite that had no answer.
    void forgetRewrite() { m_unanswered.reset(); }

    /// Finds out whose write made the comparison of the commit in flight fail, and continues from
    /// that write if it is this host's own.
    epoch_conflict resolveConflict(const store_reply &reply);

    /// The last record that this host knows the store to hold, or to have held.
    const epoch_record &record() const { return m_record; }

    /// The record of the write in flight.
    const epoch_record &pending() const { return m_pending; }

private:
    store_transaction keyWrite(std::int64_t lease) const;
    store_compare compareEpoch() const;
    void putEpoch(store_transaction &transaction) const;
    void addConfirmation(instant now, store_transaction &transaction);
    void publish(instant now, store_transaction &transaction) const;

    host_id m_host;
    std::string m_address;
    std::string m_keyPrefix;
    epoch_record m_record;
    std::int64_t m_revision = 0; ///< Of the epoch key; 0 if it does not exist.
    epoch_record m_pending;
    std::optional<epoch_record> m_unanswered; ///< From a rewrite that had no answer.
    owner_confirmation m_formerConfirmation; ///< The last one of any owner before this epoch.
    /// Each batch and each rewrite of the owner's key has a number of its own, so that a write
    /// without an answer can be recognised and is never mistaken for another one.
    std::int64_t m_lastCommit = 0;
};

} // namespace crocuswind::scheduler

#endif
