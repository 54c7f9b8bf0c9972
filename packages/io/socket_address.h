/// Converts between endpoints and socket addresses, and opens listeners; private to the package.
#ifndef CROCUSWIND_IO_SOCKET_ADDRESS_H
#define CROCUSWIND_IO_SOCKET_ADDRESS_H

#include "endpoint.h"

#include <sys/socket.h>
#include <tl/expected.hpp>

struct event_base;
struct evconnlistener;

namespace crocuswind {

/// A socket address with its length.
struct socket_address
{
    sockaddr_storage storage = {};
    socklen_t length = 0;

    const sockaddr *pointer() const { return reinterpret_cast<const sockaddr *>(&storage); }
};

/// Converts an endpoint to a socket address. Returns nothing if its address is not a numeric IP
/// address.
std::optional<socket_address> toSocketAddress(const ip_endpoint &endpoint);

/// Converts an IPv4 or IPv6 socket address to an endpoint.
ip_endpoint toEndpoint(const sockaddr *address);

/// A listener with the endpoint on which it listens.
struct bound_listener
{
    evconnlistener *listener = nullptr;
    ip_endpoint endpoint;
};

/// Listens on an endpoint; port 0 selects any free port. The listener has no callback yet, and the
/// caller owns it. On failure, returns a message that contains the endpoint and the reason.
tl::expected<bound_listener, std::string> bindListener(event_base *base, const ip_endpoint &where);

} // namespace crocuswind

#endif
