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
/// took effect without an answer can be recognised, and the last confirmation.
struct epoch_record
{
    std::int64_t epoch = 0;
    std::int64_t commit = 0;
    std::string host;
    /// Number of the last confirmation of this epoch; 0 if it has none, or an earlier build wrote
    /// the record.
    std::int64_t confirmation = 0;
    /// The last confirmation of this or any earlier epoch. No owner has granted a lease that was
    /// not confirmed. Earlier builds do not write it and are confirmed by their acquisition.
    owner_confirmation lastConfirmed;
};

/// Format and parse `epoch commit host confirmation epoch number`, of which the last two are
/// `lastConfirmed`. Parsing leaves the fields from the first malformed one on at their defaults,
/// and takes the record's own epoch and confirmation for a missing `lastConfirmed`. An epoch of 0
/// means that there was none.
std::string toText(const epoch_record &value);
epoch_record parseEpochRecord(const std::string &text);

/// Format and parse `epoch number epoch number clock`, of which the third and the fourth are
/// `former`. Parsing accepts the first two alone, as earlier builds write them, and returns
/// std::nullopt for any other text.
std::string toText(const published_confirmation &published);
std::optional<published_confirmation> parseConfirmation(const std::string &text);

/// Format and parse `epoch host address`. Parsing returns std::nullopt for any other text.
std::string toText(const owner_info &owner);
std::optional<owner_info> parseOwner(const std::string &text);

} // namespace crocuswind::scheduler

#endif
