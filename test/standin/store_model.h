/// Defines the platform's key-value store as a state machine: the semantics of etcd v3 for the
/// operations that its JSON gateway offers. Time comes with each call, so it runs in virtual time.
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

/// A range of keys: one key if `end` is empty, else [key, end); an `end` of one zero byte has no
/// upper bound.
struct key_range
{
    std::string key;
    std::string end;

    bool contains(const std::string &candidate) const;
};

/// One comparison of a transaction.
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

struct kv_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

struct kv_delete
{
    key_range keys;
};

struct kv_read
{
    key_range keys;
    std::int64_t limit = 0; ///< Most entries to return, 0 for all.
};

using kv_request = std::variant<kv_put, kv_delete, kv_read>;

/// Carries out `success` if all comparisons hold, else `failure`, atomically.
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
    std::vector<store_entry> entries; ///< For a read.
    std::int64_t count = 0; ///< Keys in the range of a read, or deleted.
};

struct kv_result
{
    bool succeeded = true;
    std::int64_t revision = 0;
    std::vector<kv_response> responses;
};

struct lease_state
{
    std::int64_t lease = 0;
    std::int64_t ttlSeconds = 0; ///< 0 means that there is no such lease.
};

/// A refused request, with the codes of the gateway.
struct kv_error
{
    int httpStatus = 400;
    int code = 3;
    std::string message;
};

/// One change of a key, as watches report it.
struct kv_change
{
    bool isDeleted = false;
    store_entry entry; ///< For a deletion only `key` and `modRevision` are set.
};

/// The store.
class store_model
{
public:
    /// Carries out a transaction, or nothing of it. Deletes and reads in it see its own puts.
    tl::expected<kv_result, kv_error> transact(instant now, const kv_transaction &t);

    /// Creates a lease under \p wanted, or under a number of the store's choice if that is 0.
    tl::expected<lease_state, kv_error> grant(instant now, std::int64_t ttlSeconds,
                                              std::int64_t wanted);

    /// Renews a lease for its whole time; a lapsed one stays lapsed and has 0 seconds.
    lease_state keepAlive(instant now, std::int64_t lease);

    /// Ends a lease and deletes its keys.
    tl::expected<void, kv_error> revoke(instant now, std::int64_t lease);

    /// Ends the leases whose time is over and deletes their keys. Called by all other functions.
    void expire(instant now);

    /// Returns when the next lease lapses, if none is renewed.
    std::optional<instant> nextExpiry() const;

    /// Carries out an operation as packages/base defines it, as a store adapter would.
    store_result apply(instant now, const store_operation &operation);

    /// Returns the changes in \p keys since \p revision, that one included, as far as they are
    /// among the last 64 MB of changes.
    std::vector<kv_change> changesFrom(std::int64_t revision, const key_range &keys) const;

    /// Returns the entries of a range by the current state.
    std::vector<store_entry> read(const key_range &keys) const;

    std::int64_t revision() const { return m_revision; }

    /// Returns the number of revisions that client calls made.
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
    std::deque<kv_change> m_history; ///< In the order of revisions; the oldest are dropped.
    std::size_t m_historyBytes = 0;
    std::int64_t m_revision = 1;
    std::int64_t m_writes = 0;
    std::int64_t m_nextLease = 7000;
};

} // namespace crocuswind::standin

#endif
