/// Defines the store keys and the settings of a shard that several of its parts share.
#ifndef CROCUSWIND_BATCH_SHARD_KEYS_H
#define CROCUSWIND_BATCH_SHARD_KEYS_H

#include "base/base.h"

#include <string>

namespace crocuswind {

/// The jobs of a shard are spread over this many store keys, so that one value stays below 1 MB.
constexpr int segmentCount = 16;

/// A store call without an answer after this time counts as lost.
constexpr duration storeCallLimit = 1s;

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
