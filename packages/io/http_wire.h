/// Helpers between evhttp's types and this package's values; private to the package.
#ifndef CROCUSWIND_IO_HTTP_WIRE_H
#define CROCUSWIND_IO_HTTP_WIRE_H

#include "endpoint.h"
#include "http_client.h"
#include "http_message.h"

#include <event2/http.h>
#include <string>
#include <string_view>

struct evbuffer;
struct evkeyvalq;

namespace crocuswind {

/// Returns \p text with ASCII letters in lower case.
std::string lowerCase(std::string_view text);

/// Copies header fields, with their names in lower case.
http_headers copyHeaders(const evkeyvalq *source);

/// Moves all bytes out of a buffer.
std::string takeBuffer(evbuffer *buffer);

/// Returns evhttp's value for a method; GET for one that it does not know.
evhttp_cmd_type commandOf(std::string_view method);

/// Returns the method's name, or an empty text for one that the server does not accept.
const char *methodName(evhttp_cmd_type method);

/// Returns whether an answer has arrived whole: with its content length, or as chunks up to the
/// last. An answer that ends with its connection may have been cut off and does not count as whole.
bool isWhole(const http_result &result, std::string_view method);

/// Returns whether the address is an IP address in numbers and the port is not 0.
bool isNumericEndpoint(const ip_endpoint &endpoint);

} // namespace crocuswind

#endif
