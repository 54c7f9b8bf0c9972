/// Defines the address of a peer: a numeric IP address with a port. Host names are never resolved.
#ifndef CROCUSWIND_IO_ENDPOINT_H
#define CROCUSWIND_IO_ENDPOINT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace crocuswind {

/// A numeric IP address with a port.
struct ip_endpoint
{
    std::string address; ///< Numeric IPv4 or IPv6 address, without brackets.
    std::uint16_t port = 0;

    friend bool operator==(const ip_endpoint &a, const ip_endpoint &b)
    {
        return a.port == b.port && a.address == b.address;
    }
    friend bool operator!=(const ip_endpoint &a, const ip_endpoint &b) { return !(a == b); }
    friend bool operator<(const ip_endpoint &a, const ip_endpoint &b)
    {
        return std::tie(a.address, a.port) < std::tie(b.address, b.port);
    }
};

/// Parses `1.2.3.4:80` or `[::1]:80`. Returns nothing for a host name, a missing port or a port out
/// of range. Port 0 is accepted; a listener uses it to select any free port.
std::optional<ip_endpoint> parseEndpoint(std::string_view text);

/// Formats an endpoint in the syntax that parseEndpoint() accepts.
std::string toString(const ip_endpoint &endpoint);

} // namespace crocuswind

#endif
