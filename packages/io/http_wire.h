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

/// Creates a connection that dials with its first request. Returns null if the system refuses.
evhttp_connection *newClientConnection(event_loop &loop, const http_client_settings &settings,
                                       const ip_endpoint &to);

/// Sets the options of a connected socket.
void configureSocket(evhttp_connection *wire, bool isStream);

/// Returns whether an idle connection may carry a request. If its server has closed it, the request
/// would end as `no_answer` although it never arrived; bytes that are left over would be taken for
/// the answer to it.
bool isUsable(evhttp_connection *wire);

/// Sets header fields and body of a request.
void fillRequest(evhttp_request *request, const http_call &call);

} // namespace crocuswind

#endif
