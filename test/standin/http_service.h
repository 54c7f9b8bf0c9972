/// Defines the HTTP side of the stand-ins. It is built on evhttp directly, beside packages/io,
/// since stand-ins must be able to do what a correct server must not: cut answers short, drop
/// connections after the work is done, and stream without an end.
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

/// One request and its answer. It may be kept and answered later; nothing happens once the caller
/// has gone. At most one of the answering functions is called. Without an answer the connection is
/// closed.
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

    /// Returns the number of the listening socket, from 0, on which the request arrived.
    std::size_t listener() const { return m_listener; }

    /// Returns a field of the header, empty if there is none.
    std::string header(const std::string &name) const;

    /// Returns a parameter of the query, empty if there is none.
    std::string parameter(const std::string &name) const;

    /// Sends a whole answer.
    void answer(int status, const std::string &body, const header_list &headers = {});

    /// Sends the header and the first \p bytes of the body under the content length of the whole
    /// body, then closes the connection.
    void answerTruncated(int status, const std::string &body, std::size_t bytes,
                         const header_list &headers);

    /// Closes the connection without an answer.
    void drop();

    /// Begins an answer without an end, to which sendPiece() adds.
    void startStream();
    void sendPiece(const std::string &bytes);

    bool isGone() const { return m_connection == nullptr; }

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

/// A server on one or more consecutive ports.
class http_service
{
public:
    http_service(event_loop &loop, exchange_handler handler);
    ~http_service();
    http_service(const http_service &) = delete;
    http_service &operator=(const http_service &) = delete;

    /// Listens on \p count consecutive ports from \p where, `ip:port`; with port 0, from any port
    /// after which enough are free. Returns false if that is not possible.
    bool listen(const std::string &where, int count);

    /// Closes one listening socket, so that connections to it are refused. Open connections stay.
    void stopListening(std::size_t listener);

    /// Returns `ip:port` of a listening socket.
    std::string address(std::size_t listener) const;

    /// Prints `listening on IP:PORT`, with the number of ports if there are several.
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
