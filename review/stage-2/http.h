/// Defines a small HTTP/1.1 server and client on loopback addresses for the cases of this review.
/// The server can cut its connections off, as a network partition does.
#ifndef CROCUSWIND_REVIEW_STAGE_2_HTTP_H
#define CROCUSWIND_REVIEW_STAGE_2_HTTP_H

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

struct http_request
{
    std::string method;
    std::string path; ///< With the query.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_response
{
    int status = 200;
    std::string body = "{}";
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Binds a socket to a free port of the loopback address. Returns the socket and the port.
inline std::pair<int, int> bindFreePort()
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof(address);
    if (listener < 0 || bind(listener, reinterpret_cast<sockaddr *>(&address), length) != 0
        || getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        throw std::runtime_error("no free port");
    return {listener, int(ntohs(address.sin_port))};
}

/// Returns a port that is free now.
inline int freePort()
{
    const auto [listener, port] = bindFreePort();
    close(listener);
    return port;
}

/// Reads and writes the messages of one connection.
class http_stream
{
public:
    explicit http_stream(int socket)
        : m_socket(socket)
    { }
    ~http_stream() { close(m_socket); }
    http_stream(const http_stream &) = delete;
    http_stream &operator=(const http_stream &) = delete;

    int socket() const { return m_socket; }

    /// Lets the peer see a reset instead of the end of the stream.
    void resetOnClose() const
    {
        const linger now = {1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }

    /// Returns one line without its end, or nothing at the end of the stream.
    std::optional<std::string> readLine()
    {
        std::size_t end = m_read.find("\r\n");
        while (end == std::string::npos) {
            if (!readMore())
                return std::nullopt;
            end = m_read.find("\r\n");
        }
        std::string line = m_read.substr(0, end);
        m_read.erase(0, end + 2);
        return line;
    }

    /// Returns the headers up to the empty line.
    std::optional<std::map<std::string, std::string>> readHeaders()
    {
        std::map<std::string, std::string> headers;
        while (true) {
            const auto line = readLine();
            if (!line)
                return std::nullopt;
            if (line->empty())
                return headers;
            const std::size_t colon = line->find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line->substr(0, colon);
            for (char &c : name)
                c = char(std::tolower(c));
            const std::size_t value = line->find_first_not_of(' ', colon + 1);
            headers[name] = value == std::string::npos ? "" : line->substr(value);
        }
    }

    std::optional<std::string> readBody(const std::map<std::string, std::string> &headers)
    {
        const auto found = headers.find("content-length");
        const std::size_t length = found == headers.end() ? 0 : std::stoul(found->second);
        while (m_read.size() < length) {
            if (!readMore())
                return std::nullopt;
        }
        std::string body = m_read.substr(0, length);
        m_read.erase(0, length);
        return body;
    }

    bool write(const std::string &text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count
                = send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += std::size_t(count);
        }
        return true;
    }

private:
    bool readMore()
    {
        char bytes[4096];
        const ssize_t count = recv(m_socket, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        m_read.append(bytes, std::size_t(count));
        return true;
    }

    int m_socket;
    std::string m_read;
};

/// Serves requests on a free port, each connection on a thread of its own.
class http_server
{
public:
    /// Returns the response, or nothing if the request gets none.
    using handler = std::function<std::optional<http_response>(const http_request &)>;

    explicit http_server(handler handle)
        : m_handle(std::move(handle))
    {
        std::tie(m_listener, m_port) = bindFreePort();
        listen(m_listener, 256);
        std::thread([this] { acceptAll(); }).detach();
    }

    int port() const { return m_port; }

    /// Cuts the server off: nothing that arrives is carried out or answered.
    void cut() { m_isCut = true; }

    /// Ends the cut. Connections from before are unknown to the machine if its process has
    /// restarted meanwhile, and are reset at their next request.
    void heal(bool hasRestarted)
    {
        if (hasRestarted)
            ++m_life;
        m_isCut = false;
    }

    bool isCut() const { return m_isCut; }

private:
    void acceptAll()
    {
        while (true) {
            const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    void serve(int socket)
    {
        http_stream stream(socket);
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const int life = m_life;
        while (true) {
            const auto request = readRequest(stream);
            if (!request)
                return;
            if (m_isCut)
                continue; // What arrives during the cut is lost.
            if (life != m_life) {
                stream.resetOnClose();
                return;
            }
            const auto response = m_handle(*request);
            if (!response || m_isCut || life != m_life)
                continue;
            if (!stream.write("HTTP/1.1 " + std::to_string(response->status)
                              + " X\r\nContent-Type: application/json\r\nContent-Length: "
                              + std::to_string(response->body.size()) + "\r\n\r\n"
                              + response->body))
                return;
        }
    }

    static std::optional<http_request> readRequest(http_stream &stream)
    {
        const auto line = stream.readLine();
        if (!line)
            return std::nullopt;
        http_request request;
        const std::size_t first = line->find(' ');
        const std::size_t last = line->rfind(' ');
        if (first == std::string::npos || last <= first)
            return std::nullopt;
        request.method = line->substr(0, first);
        request.path = line->substr(first + 1, last - first - 1);
        const auto headers = stream.readHeaders();
        if (!headers)
            return std::nullopt;
        request.headers = *headers;
        const auto body = stream.readBody(*headers);
        if (!body)
            return std::nullopt;
        request.body = *body;
        return request;
    }

    handler m_handle;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isCut = false;
    std::atomic<int> m_life = 0;
};

/// Sends one request on a new connection. Returns nothing if no complete response arrives within
/// \p limit.
inline std::optional<http_response> callHttp(int port, const std::string &method,
                                             const std::string &path, const std::string &host,
                                             const std::string &body,
                                             std::chrono::milliseconds limit = 3000ms)
{
    http_stream stream(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval wait = {limit.count() / 1000, int(limit.count() % 1000) * 1000};
    setsockopt(stream.socket(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    setsockopt(stream.socket(), SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
    const sockaddr_in address = loopback(port);
    if (connect(stream.socket(), reinterpret_cast<const sockaddr *>(&address), sizeof(address))
        != 0)
        return std::nullopt;
    const bool isSent = stream.write(
        method + " " + path + " HTTP/1.1\r\nHost: " + host
        + "\r\nContent-Type: application/json\r\nDeadline-Ms: " + std::to_string(limit.count())
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto line = isSent ? stream.readLine() : std::nullopt;
    if (!line || line->size() < 12)
        return std::nullopt;
    const auto headers = stream.readHeaders();
    const auto answer = headers ? stream.readBody(*headers) : std::nullopt;
    if (!answer)
        return std::nullopt;
    return http_response{std::stoi(line->substr(9, 3)), *answer};
}

} // namespace review

#endif
