/// Defines the store keys of a shard and the constants of its store access.
#ifndef CROCUSWIND_BATCH_SHARD_KEYS_H
#define CROCUSWIND_BATCH_SHARD_KEYS_H

#include "base/base.h"

#include <string>

namespace crocuswind {

/// Number of store keys over which the jobs of a shard are distributed, so that each value stays
/// below 1 MB.
constexpr int segmentCount = 16;

/// A store call without a response after this time is considered lost.
constexpr duration storeCallTimeout = 1s;

/// Builds the store keys of one shard.
struct shard_keys
{
    explicit shard_keys(const shard_id &shard)
        : prefix("shard/" + toString(shard) + "/")
        , owner(prefix + "owner")
        , commit(prefix + "commit")
        , segments(prefix + "segment/")
    { }

    std::string segment(int number) const { return segments + std::to_string(number); }

    std::string prefix;
    std::string owner;
    std::string commit;
    std::string segments;
};

} // namespace crocuswind

#endif
