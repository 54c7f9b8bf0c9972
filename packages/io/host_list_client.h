/// Defines the client that polls the platform's host list.
#ifndef CROCUSWIND_IO_HOST_LIST_CLIENT_H
#define CROCUSWIND_IO_HOST_LIST_CLIENT_H

#include "http_client.h"
#include "protocol/host_list_body.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace crocuswind {

/// Settings of the client.
struct host_list_client_settings
{
    ip_endpoint endpoint;
    duration interval = 1s; ///< From the end of one poll to the start of the next.
    duration timeout = 1s; ///< Timeout of one poll.
    std::size_t maxAnswerBytes = 4 * 1024 * 1024; ///< About 10,000 hosts of 400 bytes.
    std::shared_ptr<tls_context> tls;
};

/// Polls `GET /v1/hosts` and reports each list or failure.
class host_list_client
{
public:
    /// Receives the complete list, or a message if it could not be read. Invalid entries are left
    /// out and counted in the list.
    using callback = std::function<void(const tl::expected<host_list, std::string> &list)>;

    /// Starts polling immediately.
    host_list_client(event_loop &loop, host_list_client_settings settings, callback c);
    ~host_list_client();
    host_list_client(const host_list_client &) = delete;
    host_list_client &operator=(const host_list_client &) = delete;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
