/// Defines the messages between entry hosts and their encoding: each is one CBOR map with `version`
/// and `type` (RFC 8949). Fields that a reader does not know are ignored, so that hosts of
/// neighbouring versions understand each other during a rolling replacement.
#ifndef CROCUSWIND_PROTOCOL_PEER_CODEC_H
#define CROCUSWIND_PROTOCOL_PEER_CODEC_H

#include "cluster/cluster.h"
#include "urgent/urgent.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace crocuswind {

/// Version of the messages, 100 × major + minor. A minor version only adds fields and types.
constexpr std::int64_t peerVersion = 100;

/// Largest encoded message in bytes.
constexpr std::size_t maxPeerMessageBytes = 1 << 20;

/// Largest depth of nested maps and arrays in a message.
constexpr std::size_t maxPeerMessageDepth = 8;

/// Largest number of values in a message.
constexpr std::size_t maxPeerMessageValues = 10'000;

/// Hands a job request to the owner of its shard.
struct forward_job
{
    shard_id shard;
    std::uint64_t token = 0; ///< Number that the sender matches the answer with.
    std::string body; ///< JSON, opaque to this package.
};

/// Answers a forward_job.
struct job_answer
{
    shard_id shard;
    std::uint64_t token = 0; ///< As in the request.
    std::string body; ///< JSON, opaque to this package.
};

/// Asks for the configuration if its revision is higher than `above` (`config_request_copy`).
struct ask_config
{
    std::int64_t above = 0;
};

/// Answers ask_config with the encoded configuration, empty if there is no higher one.
struct peer_config
{
    std::string encoded;
};

/// Any message between entry hosts.
using peer_message
    = std::variant<peer_hello, membership_probe, membership_probe_answer, membership_indirect_probe,
                   forward_request, forward_answer, ask_outcome, outcome, forward_job, job_answer,
                   ask_config, peer_config>;

/// Why a message cannot be read.
enum class peer_codec_fault {
    too_large, ///< More than `maxPeerMessageBytes`.
    too_deep, ///< More than `maxPeerMessageDepth`.
    too_many, ///< More than `maxPeerMessageValues`, or a list is longer than its bound.
    malformed, ///< Not CBOR, not a map, or bytes are left over.
    other_version, ///< Another major version, or none.
    unknown_type, ///< A type that this version does not know. Skip the message and go on.
    bad_field, ///< A field is missing, has another type, or is out of range.
};

/// Formats a fault as a short word with underscores, for logs and metrics.
std::string_view toString(peer_codec_fault fault);

/// Why a message cannot be read, for the log.
struct peer_codec_error
{
    peer_codec_fault fault = peer_codec_fault::malformed;
    std::string detail;
};

/// Encodes a message. It may be larger than a receiver accepts if a payload is; the sender checks
/// the size against `maxPeerMessageBytes`.
std::string encodePeerMessage(const peer_message &message);

/// Decodes a message of this or a later minor version.
tl::expected<peer_message, peer_codec_error> decodePeerMessage(std::string_view bytes);

} // namespace crocuswind

#endif
