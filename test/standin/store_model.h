/// Defines an in-memory model of the platform's key-value store. It implements the semantics of
/// etcd v3 for the operations of the JSON gateway. The caller passes the current time to each
/// function, so tests can run the store in virtual time.
#ifndef CROCUSWIND_STANDIN_STORE_MODEL_H
#define CROCUSWIND_STANDIN_STORE_MODEL_H

#include "base/base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace crocuswind::standin {

/// A range of keys. An empty `end` selects the single key `key`; an `end` that consists of one zero
/// byte selects all keys from `key` on; any other `end` selects the half-open range [key, end).
struct key_range
{
    std::string key;
    std::string end;

    bool contains(const std::string &candidate) const;
};

/// A condition of a transaction: compares one property of a key with a number or a value.
struct kv_compare
{
    enum class target { version, create, mod, value, lease };
    enum class relation { equal, greater, less, not_equal };

    std::string key;
    target what = target::version;
    relation how = relation::equal;
    std::int64_t number = 0;
    std::string value;
};

/// Writes a key, attached to a lease unless `lease` is 0.
struct kv_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/// Deletes all keys of a range.
struct kv_delete
{
    key_range keys;
};

/// Reads all keys of a range.
struct kv_read
{
    key_range keys;
    std::int64_t limit = 0; ///< Maximum number of entries to return; 0 means no limit.
};

using kv_request = std::variant<kv_put, kv_delete, kv_read>;

/// Atomically executes `success` if all comparisons hold, and `failure` otherwise.
struct kv_transaction
{
    std::vector<kv_compare> compares;
    std::vector<kv_request> success;
    std::vector<kv_request> failure;
};

/// The result of one request within a transaction.
struct kv_response
{
    enum class kind { put, deleted, read };
    kind what = kind::read;
    std::vector<store_entry> entries; ///< Entries that a read found.
    std::int64_t count = 0; ///< Number of keys in the range of a read, or of deleted keys.
};

/// The result of a transaction.
struct kv_result
{
    bool succeeded = true;
    std::int64_t revision = 0;
    std::vector<kv_response> responses;
};

/// The identifier of a lease and its time to live.
struct lease_state
{
    std::int64_t lease = 0;
    std::int64_t ttlSeconds = 0; ///< 0 if the lease does not exist.
};

/// An error as the gateway reports it: the HTTP status, the gRPC status code and a message.
struct kv_error
{
    int httpStatus = 400;
    int code = 3;
    std::string message;
};

/// A change of a key, as reported to watchers.
struct kv_change
{
    bool isDeleted = false;
    store_entry entry; ///< For a deletion only `key` and `modRevision` are set.
};

/// Holds the keys, the leases and the recent changes of the store.
class store_model
{
public:
    /// Executes a transaction atomically and its requests in order, so that a read sees the puts
    /// and deletes before it. Returns an error, without any change, if a request is invalid.
    tl::expected<kv_result, kv_error> transact(instant now, const kv_transaction &t);

    /// Creates a lease with the identifier \p requestedLease, or with one that the store chooses if
    /// that is 0. Returns an error if the identifier is in use or the time to live is less than 1
    /// s.
    tl::expected<lease_state, kv_error> grant(instant now, std::int64_t ttlSeconds,
                                              std::int64_t requestedLease);

    /// Renews a lease for its full time to live. An expired lease is not revived: the result has a
    /// time to live of 0.
    lease_state keepAlive(instant now, std::int64_t lease);

    /// Revokes a lease and deletes its keys. Returns an error if the lease does not exist.
    tl::expected<void, kv_error> revoke(instant now, std::int64_t lease);

    /// Removes the expired leases and deletes their keys. All functions that execute a client's
    /// operation call this first.
    void expire(instant now);

    /// Returns the earliest expiry of the current leases, or nothing if there is no lease.
    std::optional<instant> nextExpiry() const;

    /// Executes an operation in the form that packages/base defines. Lets a test use the model in
    /// place of a store adapter.
    store_result apply(instant now, const store_operation &operation);

    /// Returns the changes of \p keys from \p revision (inclusive) on. Only the last 64 MB of
    /// changes are kept; older ones are missing from the result.
    std::vector<kv_change> changesFrom(std::int64_t revision, const key_range &keys) const;

    /// Returns the current entries of a range.
    std::vector<store_entry> read(const key_range &keys) const;

    std::int64_t revision() const { return m_revision; }

    /// Returns how many transactions changed the store; expired and revoked leases do not count.
    std::int64_t writes() const { return m_writes; }

private:
    struct lease_record
    {
        std::int64_t ttlSeconds = 0;
        instant expiry;
        std::set<std::string> keys;
    };

    bool holds(const kv_compare &c) const;
    std::optional<kv_error> check(const std::vector<kv_request> &requests) const;
    void put(const kv_put &p, std::int64_t revision);
    std::int64_t remove(const key_range &keys, std::int64_t revision);
    void detachFromLease(const store_entry &entry);
    void endLease(std::int64_t lease);
    void addToHistory(kv_change change);

    std::map<std::string, store_entry> m_entries;
    std::map<std::int64_t, lease_record> m_leases;
    std::deque<kv_change> m_history; ///< Ordered by revision; the oldest are dropped.
    std::size_t m_historyBytes = 0;
    std::int64_t m_revision = 1;
    std::int64_t m_writes = 0;
    std::int64_t m_nextLease = 7000;
};

} // namespace crocuswind::standin

#endif
