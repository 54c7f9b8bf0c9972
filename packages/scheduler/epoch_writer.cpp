#include "epoch_writer.h"

#include <algorithm>
#include <utility>

namespace crocuswind::scheduler {

namespace {

const store_entry *findEntry(const store_reply &reply, const std::string &key)
{
    const auto found = std::find_if(reply.entries.begin(), reply.entries.end(),
                                    [&](const store_entry &entry) { return entry.key == key; });
    return found == reply.entries.end() ? nullptr : &*found;
}

} // namespace

epoch_writer::epoch_writer(host_id host, std::string address, std::string keyPrefix)
    : m_host(std::move(host))
    , m_address(std::move(address))
    , m_keyPrefix(std::move(keyPrefix))
{ }

store_operation epoch_writer::read() const
{
    return store_range{epochKey(m_keyPrefix), false};
}

void epoch_writer::onRead(const store_reply &reply)
{
    const store_entry *entry = findEntry(reply, epochKey(m_keyPrefix));
    m_record = entry == nullptr ? epoch_record() : parseEpochRecord(entry->value);
    m_revision = entry == nullptr ? 0 : entry->modRevision;
}

store_transaction epoch_writer::acquisition(instant now, std::int64_t lease)
{
    m_pending = m_record;
    m_formerConfirmation = m_record.lastConfirmed;
    ++m_pending.epoch;
    m_pending.commit = 0;
    m_pending.confirmation = 0;
    m_lastCommit = 0;
    m_pending.host = m_host.value;
    store_transaction transaction = keyWrite(lease);
    publish(now, transaction);
    putEpoch(transaction);
    return transaction;
}

store_transaction epoch_writer::rewrite(instant now, std::int64_t lease)
{
    m_pending = m_record;
    m_pending.commit = nextCommit();
    m_pending.host = m_host.value;
    store_transaction transaction = keyWrite(lease);
    addConfirmation(now, transaction);
    putEpoch(transaction);
    return transaction;
}

store_transaction epoch_writer::commit(instant now, std::int64_t number, const commit_batch &batch)
{
    m_pending = m_record;
    m_pending.commit = number;
    store_transaction transaction;
    transaction.compares.push_back(compareEpoch());
    transaction.puts = batch.puts;
    if (batch.confirmsOwnership)
        addConfirmation(now, transaction);
    putEpoch(transaction);
    for (const std::string &key : batch.removedKeys)
        transaction.deletes.push_back({key});
    return transaction;
}

void epoch_writer::onWritten(std::int64_t revision)
{
    m_record = m_pending;
    m_revision = revision;
}

epoch_conflict epoch_writer::resolveConflict(const store_reply &reply)
{
    const store_entry *entry = findEntry(reply, epochKey(m_keyPrefix));
    if (entry == nullptr)
        return epoch_conflict::other_write;
    if (entry->value == toText(m_pending)) {
        onWritten(entry->modRevision);
        return epoch_conflict::same_commit;
    }
    if (!m_unanswered || entry->value != toText(*m_unanswered))
        return epoch_conflict::other_write;
    m_record = *std::exchange(m_unanswered, std::nullopt);
    m_revision = entry->modRevision;
    return epoch_conflict::own_rewrite;
}

// Begins a write that creates the owner's key.
store_transaction epoch_writer::keyWrite(std::int64_t lease) const
{
    const owner_info self{m_host, m_address, m_pending.epoch};
    store_transaction transaction;
    transaction.compares.push_back(
        {ownerKey(m_keyPrefix), store_compare::property::mod_revision, 0, {}});
    transaction.compares.push_back(compareEpoch());
    transaction.puts.push_back({ownerKey(m_keyPrefix), toText(self), lease});
    return transaction;
}

store_compare epoch_writer::compareEpoch() const
{
    return {epochKey(m_keyPrefix), store_compare::property::mod_revision, m_revision, {}};
}

void epoch_writer::putEpoch(store_transaction &transaction) const
{
    transaction.puts.push_back({epochKey(m_keyPrefix), toText(m_pending), 0});
}

// Makes a transaction that replaces the epoch key confirm the ownership too.
void epoch_writer::addConfirmation(instant now, store_transaction &transaction)
{
    ++m_pending.confirmation;
    m_pending.lastConfirmed = {m_pending.epoch, m_pending.confirmation};
    publish(now, transaction);
}

// Shows all hosts the last confirmation of this epoch, or its acquisition.
void epoch_writer::publish(instant now, store_transaction &transaction) const
{
    published_confirmation published;
    published.confirmation = {m_pending.epoch, m_pending.confirmation};
    published.former = m_formerConfirmation;
    published.clockMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    transaction.puts.push_back({confirmationKey(m_keyPrefix), toText(published), 0});
}

} // namespace crocuswind::scheduler
