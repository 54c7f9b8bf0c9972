/// Defines the value types of HTTP requests and responses that the server and the client share.
#ifndef CROCUSWIND_IO_HTTP_MESSAGE_H
#define CROCUSWIND_IO_HTTP_MESSAGE_H

#include "base/base.h"

#include <string>
#include <string_view>
#include <vector>

namespace crocuswind {

/// One header field. Names of received fields are in lower case.
struct http_header
{
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// Returns the value of the first field named \p lowerCaseName, or an empty text if there is none.
/// The result points into \p headers.
std::string_view headerValue(const http_headers &headers, std::string_view lowerCaseName);

/// A request that the server received completely.
struct http_request
{
    std::string method; ///< GET, POST, PUT or DELETE; others are refused by the server.
    std::string path; ///< The path as sent, without the query, not decoded.
    std::string query; ///< The part after the question mark, not decoded.
    http_headers headers;
    std::string body;
    std::string peerAddress; ///< Numeric IP address of the client.
    instant arrived; ///< When the last byte of the request was read.
};

/// The response to a request. The server adds the content length.
struct http_response
{
    int status = 200;
    std::string contentType = "application/json";
    http_headers headers;
    std::string body;
};

} // namespace crocuswind

#endif
