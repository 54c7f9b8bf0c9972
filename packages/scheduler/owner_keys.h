/// Defines the store keys of the owner election and the format of their values. Private to the
/// package.
#ifndef CROCUSWIND_SCHEDULER_OWNER_KEYS_H
#define CROCUSWIND_SCHEDULER_OWNER_KEYS_H

#include "owner_election.h"

#include <cstdint>
#include <optional>
#include <string>

namespace crocuswind::scheduler {

/// Returns the store key that holds the epoch and the number of the last commit.
std::string epochKey(const std::string &keyPrefix);

/// The value of the epoch key. It contains the number of the last commit, so that a commit that
/// took effect without an answer can be recognised, and that of the last confirmation.
struct epoch_record
{
    std::int64_t epoch = 0;
    std::int64_t commit = 0;
    std::string host;
    std::int64_t confirmation = 0; ///< 0 if an earlier build wrote the record.
};

/// Format and parse `epoch commit host confirmation`. Parsing leaves the fields from the first
/// malformed one on at their defaults; an epoch of 0 means that there was none.
std::string toText(const epoch_record &value);
epoch_record parseEpochRecord(const std::string &text);

/// Format and parse `epoch number`. Parsing returns std::nullopt for any other text.
std::string toText(const owner_confirmation &confirmation);
std::optional<owner_confirmation> parseConfirmation(const std::string &text);

/// Format and parse `epoch host address`. Parsing returns std::nullopt for any other text.
std::string toText(const owner_info &owner);
std::optional<owner_info> parseOwner(const std::string &text);

} // namespace crocuswind::scheduler

#endif
