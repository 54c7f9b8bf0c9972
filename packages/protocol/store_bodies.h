/// Defines the bodies of the etcd v3 JSON gateway. Keys and values are base64, 64-bit numbers are
/// strings, and the gateway omits a field whose value is zero.
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

/// Parses JSON of at most 16 nested levels. Returns nothing if the text is invalid or nests deeper.
std::optional<nlohmann::json> parseBoundedJson(std::string_view text);

/// Encodes bytes as base64 with padding.
std::string toBase64(std::string_view bytes);

/// Decodes base64 with padding. Returns nothing for any other text.
std::optional<std::string> fromBase64(std::string_view text);

/// Returns the exclusive end of the range of all keys with \p prefix, as etcd defines it: trailing
/// 0xff bytes are removed and the last remaining byte is incremented. If no byte remains, the end
/// is a single zero byte, which means "to the last key".
std::string prefixRangeEnd(std::string_view prefix);

/// A request to the gateway. The HTTP method is always POST.
struct store_call
{
    std::string path;
    std::string body;
};

/// Formats an operation as a request.
store_call toStoreCall(const store_operation &operation);

/// Parses the body of an answer with status 200 to \p operation. Returns an error message if the
/// body is invalid; the operation may then have taken effect or not.
tl::expected<store_reply, std::string> parseStoreReply(const store_operation &operation,
                                                       std::string_view body);

/// One change of a watched key.
struct store_change
{
    bool isDeleted = false;
    store_entry entry; ///< For a deletion, only `key` and `modRevision` are set.
};

/// One message of a watch stream.
struct store_watch_message
{
    bool isCreated = false; ///< Confirms the watch at the store's `revision`.
    bool isCancelled = false; ///< The store ended the watch, such as after a compaction.
    std::int64_t revision = 0;
    std::vector<store_change> changes;
};

/// Formats the request that starts a watch of all keys with \p prefix and asks for progress
/// messages.
store_call toWatchCall(std::string_view prefix);

/// Parses one message of a watch. Returns an error message if it is invalid or reports an error of
/// the store.
tl::expected<store_watch_message, std::string> parseWatchMessage(std::string_view object);

/// Splits a stream of JSON objects, such as the answer to a watch, into single objects. An object
/// may arrive in any number of parts.
class json_object_splitter
{
public:
    /// \p maxObjectBytes is the largest accepted size of one object.
    explicit json_object_splitter(std::size_t maxObjectBytes);

    /// Consumes \p bytes and appends each completed object to \p objects. Returns false if an
    /// object is too large or the stream contains anything but objects and white space. Every later
    /// call then returns false as well.
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
