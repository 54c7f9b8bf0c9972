/// Defines the bodies of the etcd v3 JSON gateway: keys and values as base64, 64-bit numbers as
/// strings, and absent fields for zero.
#ifndef CROCUSWIND_PROTOCOL_STORE_BODIES_H
#define CROCUSWIND_PROTOCOL_STORE_BODIES_H

#include "base/base.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

/// Parses JSON that nests at most 16 deep. Returns nothing for anything else.
std::optional<nlohmann::json> parseBoundedJson(std::string_view text);

/// Encodes bytes as base64 with padding.
std::string toBase64(std::string_view bytes);

/// Decodes base64 with padding. Returns nothing for any other text.
std::optional<std::string> fromBase64(std::string_view text);

/// Returns the end of the range of all keys with \p prefix, as the protocol defines it: the prefix
/// with its last byte below 0xff raised by one; a single zero byte means "to the last key".
std::string prefixRangeEnd(std::string_view prefix);

/// A request to the gateway, always a POST.
struct store_call
{
    std::string path;
    std::string body;
};

/// Writes an operation as a request.
store_call toStoreCall(const store_operation &operation);

/// Reads the body of a successful answer (status 200) to \p operation. Returns a message if the
/// body is not what the protocol defines, which leaves open whether the operation took effect.
tl::expected<store_reply, std::string> parseStoreReply(const store_operation &operation,
                                                       std::string_view body);

/// One change of a watched key.
struct store_change
{
    bool isDeleted = false;
    store_entry entry; ///< For a deletion, only key and `modRevision` are set.
};

/// One message of a watch.
struct store_watch_message
{
    bool isCreated = false; ///< Confirms the watch; `revision` is the store's revision then.
    bool isCancelled = false; ///< The store has ended the watch, for instance after a compaction.
    std::int64_t revision = 0;
    std::vector<store_change> changes;
};

/// Writes the request that begins a watch of all keys with \p prefix, with progress messages.
store_call toWatchCall(std::string_view prefix);

/// Reads one message of a watch. Returns a message if it is not what the protocol defines or
/// reports an error.
tl::expected<store_watch_message, std::string> parseWatchMessage(std::string_view object);

/// Cuts a stream of JSON objects, as a watch answers, into single objects, however it is split.
class json_object_splitter
{
public:
    /// \p maxObjectBytes bounds one object.
    explicit json_object_splitter(std::size_t maxObjectBytes);

    /// Takes in bytes and appends the objects that are complete to \p objects. Returns false if the
    /// stream holds anything but objects and white space or an object is too large; the stream
    /// cannot be used any further then.
    bool feed(std::string_view bytes, std::vector<std::string> &objects);

private:
    std::size_t m_maxObjectBytes;
    std::string m_object;
    int m_depth = 0;
    bool m_isInString = false;
    bool m_isEscaped = false;
    bool m_isBroken = false;
};

} // namespace crocuswind

#endif
