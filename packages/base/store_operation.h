/// Defines the requests to the platform's key-value store and its replies as values. The cores
/// return requests as actions, and the store adapters of the I/O layer execute them.
#ifndef CROCUSWIND_BASE_STORE_OPERATION_H
#define CROCUSWIND_BASE_STORE_OPERATION_H

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace crocuswind {

/// A key with its value, revisions and lease.
struct store_entry
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0; ///< Store revision at which the key was created.
    std::int64_t modRevision = 0; ///< Store revision of the last change.
    std::int64_t version = 0; ///< Number of writes since creation; 0 if the key does not exist.
    std::int64_t lease = 0; ///< Lease that the key is bound to, or 0.
};

/// Compares one property of a key for equality. For a key that does not exist, all counters are 0.
struct store_compare
{
    enum class property { create_revision, mod_revision, version, value };

    std::string key;
    property what = property::version;
    std::int64_t number = 0; ///< Expected counter, unless `what` is `value`.
    std::string value; ///< Expected value, if `what` is `value`.
};

/// Writes a key and, if `lease` is not 0, binds it to that lease.
struct store_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/// Deletes a key.
struct store_delete
{
    std::string key;
};

/// Reads one key, or all keys with a prefix.
struct store_range
{
    std::string key;
    bool isPrefix = false;
};

/// Applies all puts and deletes atomically if every comparison holds; otherwise it only reads
/// `readOnFailure`.
struct store_transaction
{
    std::vector<store_compare> compares;
    std::vector<store_put> puts;
    std::vector<store_delete> deletes;
    std::vector<store_range> readOnFailure;
};

/// Creates a lease that expires `ttlSeconds` after its creation or last renewal.
struct store_lease_grant
{
    std::int64_t ttlSeconds = 0;
};

/// Renews a lease.
struct store_lease_renewal
{
    std::int64_t lease = 0;
};

/// Revokes a lease immediately and deletes the keys bound to it.
struct store_lease_revocation
{
    std::int64_t lease = 0;
};

/// Any call to the store; each counts as one against the store's call budget.
using store_operation = std::variant<store_range, store_transaction, store_lease_grant,
                                     store_lease_renewal, store_lease_revocation>;

/// The reply of the store.
struct store_reply
{
    bool succeeded = true; ///< For a transaction: whether all comparisons held.
    std::int64_t revision = 0; ///< Revision of the store at the time of the reply.
    std::vector<store_entry> entries; ///< For a range, or for `readOnFailure`.
    std::int64_t lease = 0; ///< For a grant or renewal.
    std::int64_t ttlSeconds = 0; ///< For a grant or renewal; 0 means that the lease has expired.
};

/// Why a call has no reply.
enum class store_error {
    not_sent, ///< The operation never reached the store, so it certainly had no effect.
    no_answer, ///< The operation may or may not have taken effect.
    refused, ///< The store answered with an error; the operation had no effect.
};

/// The outcome of an operation.
using store_result = tl::expected<store_reply, store_error>;

} // namespace crocuswind

#endif
