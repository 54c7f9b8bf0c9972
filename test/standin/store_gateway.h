/// Defines the bodies of the store's JSON gateway as the server side sees them: grpc-gateway's form
/// of the etcd v3 messages, with base64 for bytes, strings for 64-bit numbers, and absent zeros.
#ifndef CROCUSWIND_STANDIN_STORE_GATEWAY_H
#define CROCUSWIND_STANDIN_STORE_GATEWAY_H

#include "store_model.h"

#include <string>
#include <vector>

namespace crocuswind::standin {

/// An answer of the gateway.
struct gateway_answer
{
    int status = 200;
    std::string body;
};

/// Answers a request, a POST to \p path, from \p store. Unknown paths are answered with 404.
gateway_answer answerStoreCall(store_model &store, instant now, const std::string &path,
                               const std::string &body);

/// Returns true if the request at \p path changes the store or a lease.
bool isStoreWrite(const std::string &path, const std::string &body);

/// What a watch asks for.
struct watch_request
{
    key_range keys;
    std::int64_t startRevision = 0; ///< 0 means from now on.
};

/// Parses the body of a watch request.
tl::expected<watch_request, gateway_answer> parseWatchRequest(const std::string &body);

/// Formats the message that confirms a watch.
std::string watchCreatedMessage(std::int64_t revision);

/// Formats changes as messages, one for each revision, as etcd sends them.
std::string watchChangesMessage(std::int64_t revision, const std::vector<kv_change> &changes);

} // namespace crocuswind::standin

#endif
