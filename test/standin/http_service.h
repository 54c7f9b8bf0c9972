/// Defines the HTTP server of the stand-ins. It uses evhttp directly instead of packages/io,
/// because stand-ins must also misbehave: truncate responses, close connections after the work is
/// done, and stream responses without an end.
#ifndef CROCUSWIND_STANDIN_HTTP_SERVICE_H
#define CROCUSWIND_STANDIN_HTTP_SERVICE_H

#include "io/io.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace crocuswind::standin {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request and its response. The object may be kept and answered later. Once the client has
/// disconnected, all functions that send have no effect. At most one of answer(), answerTruncated()
/// and startStream() may be called. The destructor closes the connection if none was called, or if
/// the response is a stream.
class http_exchange
{
public:
    http_exchange(evhttp_request *request, std::size_t listener);
    ~http_exchange();
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    const std::string &method() const { return m_method; }
    const std::string &path() const { return m_path; }
    const std::string &body() const { return m_body; }

    /// Returns the index, from 0, of the listening socket that received the request.
    std::size_t listener() const { return m_listener; }

    /// Returns the value of a header field. Returns an empty text if the field is absent or the
    /// client has disconnected.
    std::string header(const std::string &name) const;

    /// Returns the value of a query parameter. Returns an empty text if the parameter is absent or
    /// the client has disconnected.
    std::string parameter(const std::string &name) const;

    /// Sends a complete response.
    void answer(int status, const std::string &body, const header_list &headers = {});

    /// Sends a header with the content length of the whole body, then only the first \p bytes of
    /// the body, and closes the connection.
    void answerTruncated(int status, const std::string &body, std::size_t bytes,
                         const header_list &headers);

    /// Closes the connection without a response, or in the middle of a stream.
    void drop();

    /// Begins a response without an end.
    void startStream();

    /// Appends bytes to the response that startStream() began.
    void sendChunk(const std::string &bytes);

    /// Returns true once the client has disconnected or the response has been handed over.
    bool isDisconnected() const { return m_connection == nullptr; }

private:
    static void connectionClosed(evhttp_connection *connection, void *self);
    void detach();

    evhttp_request *m_request;
    evhttp_connection *m_connection;
    std::size_t m_listener;
    std::string m_method;
    std::string m_path;
    std::string m_body;
};

using exchange_handler = std::function<void(const std::shared_ptr<http_exchange> &)>;

/// An HTTP server that listens on one or more consecutive ports.
class http_service
{
public:
    http_service(event_loop &loop, exchange_handler handler);
    ~http_service();
    http_service(const http_service &) = delete;
    http_service &operator=(const http_service &) = delete;

    /// Listens on \p count consecutive ports, the first of which is \p where, `ip:port`. With port
    /// 0 the system chooses the first port. Returns false if the ports are not available.
    bool listen(const std::string &where, int count);

    /// Closes a listening socket, so that new connections to it are refused. Established
    /// connections stay open.
    void stopListening(std::size_t listener);

    /// Returns `ip:port` of a listening socket.
    std::string address(std::size_t listener) const;

    /// Prints `listening on IP:PORT` to standard output, followed by the number of ports if there
    /// is more than one.
    void announce() const;

private:
    struct listening_socket;
    bool listenOn(int firstPort, int count);

    event_loop &m_loop;
    exchange_handler m_handler;
    std::vector<std::unique_ptr<listening_socket>> m_sockets;
    std::string m_ip;
    int m_firstPort = 0;
};

} // namespace crocuswind::standin

#endif
