#include "endpoint.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace crocuswind {

namespace {

bool isNumericAddress(int family, const std::string &address)
{
    unsigned char binary[sizeof(in6_addr)];
    return inet_pton(family, address.c_str(), binary) == 1;
}

} // namespace

std::optional<ip_endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    ip_endpoint endpoint;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    std::string_view address = text.substr(0, colon);
    const bool hasBrackets = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (hasBrackets)
        address = address.substr(1, address.size() - 2);
    endpoint.address = std::string(address);
    // inet_pton() reads a C string, so it would ignore everything after an embedded null byte.
    if (address.find('\0') != std::string_view::npos
        || !isNumericAddress(hasBrackets ? AF_INET6 : AF_INET, endpoint.address))
        return std::nullopt;
    return endpoint;
}

std::string toString(const ip_endpoint &endpoint)
{
    if (endpoint.address.find(':') != std::string::npos)
        return fmt::format("[{}]:{}", endpoint.address, endpoint.port);
    return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

} // namespace crocuswind
