/// Defines the server side of the store's JSON gateway. Bodies are etcd v3 messages in the JSON
/// mapping of grpc-gateway: bytes are base64, 64-bit numbers are strings, and zeros are omitted.
#ifndef CROCUSWIND_STANDIN_STORE_GATEWAY_H
#define CROCUSWIND_STANDIN_STORE_GATEWAY_H

#include "store_model.h"

#include <string>
#include <vector>

namespace crocuswind::standin {

/// An HTTP response of the gateway.
struct gateway_answer
{
    int status = 200;
    std::string body;
};

/// Executes a POST request to \p path on \p store and returns the response. An unknown path gives
/// status 404, an invalid body status 400.
gateway_answer answerStoreCall(store_model &store, instant now, const std::string &path,
                               const std::string &body);

/// Returns true if a request to \p path can change the store or a lease.
bool isStoreWrite(const std::string &path, const std::string &body);

/// The keys that a watch covers and the first revision that it reports.
struct watch_request
{
    key_range keys;
    std::int64_t startRevision = 0; ///< 0 means only future changes.
};

/// Parses the body of a watch request. Returns the response to send if the body is invalid.
tl::expected<watch_request, gateway_answer> parseWatchRequest(const std::string &body);

/// Formats the message that confirms the creation of a watch.
std::string watchCreatedMessage(std::int64_t revision);

/// Formats changes as watch messages. As in etcd, each message holds the changes of one revision.
std::string watchChangesMessage(std::int64_t revision, const std::vector<kv_change> &changes);

} // namespace crocuswind::standin

#endif
