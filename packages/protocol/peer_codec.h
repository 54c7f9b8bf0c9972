/// Defines the messages between entry hosts and their encoding. Each message is one CBOR map (RFC
/// 8949) with the fields `version` and `type`. A decoder ignores unknown fields, so that hosts of
/// adjacent minor versions can communicate during a rolling upgrade.
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

/// Version of the message format, 100 × major + minor. A minor version only adds fields and types.
constexpr std::int64_t peerVersion = 100;

/// Largest encoded message in bytes.
constexpr std::size_t maxPeerMessageBytes = 1 << 20;

/// Largest depth of nested maps and arrays in a message.
constexpr std::size_t maxPeerMessageDepth = 8;

/// Largest number of values in a message.
constexpr std::size_t maxPeerMessageValues = 10'000;

/// Forwards a job request to the owner of its shard.
struct forward_job
{
    shard_id shard;
    std::uint64_t token = 0; ///< Correlates the answer with the request.
    std::string body; ///< JSON, opaque to this package.
};

/// Answers a forward_job.
struct job_answer
{
    shard_id shard;
    std::uint64_t token = 0; ///< Token of the forward_job.
    std::string body; ///< JSON, opaque to this package.
};

/// Requests the configuration of a peer if its revision is higher than `above`.
struct ask_config
{
    std::int64_t above = 0; ///< Revision that the sender has.
};

/// Answers ask_config with the encoded configuration, empty if the peer has no higher revision.
struct peer_config
{
    std::string encoded;
};

/// Any message between entry hosts.
using peer_message
    = std::variant<peer_hello, membership_probe, membership_probe_answer, membership_indirect_probe,
                   forward_request, forward_answer, ask_outcome, outcome, forward_job, job_answer,
                   ask_config, peer_config>;

/// Why a message cannot be decoded.
enum class peer_codec_fault {
    too_large, ///< More than `maxPeerMessageBytes`.
    too_deep, ///< More than `maxPeerMessageDepth`.
    too_many, ///< More than `maxPeerMessageValues`, or a list is longer than its bound.
    malformed, ///< Not CBOR, not a map, or followed by further bytes.
    other_version, ///< Of another major version, or without a version.
    unknown_type, ///< A type unknown to this version. The receiver skips the message.
    bad_field, ///< A field is missing, has another type, or is out of range.
};

/// Formats a fault as a short word with underscores, for logs and metrics.
std::string_view toString(peer_codec_fault fault);

/// Why a message cannot be decoded, with a detail such as the field name for the log.
struct peer_codec_error
{
    peer_codec_fault fault = peer_codec_fault::malformed;
    std::string detail;
};

/// Encodes a message. A large payload can make it larger than a receiver accepts, so the sender
/// checks the size against `maxPeerMessageBytes`.
std::string encodePeerMessage(const peer_message &message);

/// Decodes a message of the same major version. A later minor version may add fields.
tl::expected<peer_message, peer_codec_error> decodePeerMessage(std::string_view bytes);

} // namespace crocuswind

#endif
