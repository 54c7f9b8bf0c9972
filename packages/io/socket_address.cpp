#include "socket_address.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/listener.h>
#include <fmt/format.h>

namespace crocuswind {

namespace {

constexpr int listenBacklog = 512;

} // namespace

std::optional<socket_address> toSocketAddress(const ip_endpoint &endpoint)
{
    socket_address address;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&address.storage);
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.storage);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint.port);
        address.length = sizeof(*v4);
        return address;
    }
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(endpoint.port);
        address.length = sizeof(*v6);
        return address;
    }
    return std::nullopt;
}

ip_endpoint toEndpoint(const sockaddr *address)
{
    char text[INET6_ADDRSTRLEN] = "";
    if (address->sa_family == AF_INET6) {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(address);
        inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
        return {text, ntohs(v6->sin6_port)};
    }
    const auto *v4 = reinterpret_cast<const sockaddr_in *>(address);
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
    return {text, ntohs(v4->sin_port)};
}

tl::expected<bound_listener, std::string> bindListener(event_base *base, const ip_endpoint &where)
{
    const auto address = toSocketAddress(where);
    if (!address)
        return tl::unexpected(
            fmt::format("cannot listen on {}: not a numeric IP address", toString(where)));
    bound_listener bound;
    bound.listener = evconnlistener_new_bind(
        base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        listenBacklog, address->pointer(), int(address->length));
    if (bound.listener == nullptr)
        return tl::unexpected(
            fmt::format("cannot listen on {}: {}", toString(where), std::strerror(errno)));
    sockaddr_storage local = {};
    socklen_t length = sizeof(local);
    getsockname(evconnlistener_get_fd(bound.listener), reinterpret_cast<sockaddr *>(&local),
                &length);
    bound.endpoint = toEndpoint(reinterpret_cast<sockaddr *>(&local));
    return bound;
}

} // namespace crocuswind
