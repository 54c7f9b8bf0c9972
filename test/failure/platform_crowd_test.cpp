// Guards against clients that send many requests ahead and read no answer, and against more
// connections than the process may have descriptors. The system's own process runs with lowered
// limits. What is checked does not depend on the speed of the machine: the process lives, its peak
// memory and its descriptors stay under a bound, and an ordinary request is answered afterwards.

#include "standin/platform_process.h"
#include "standin/platform_site.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace crocuswind;
using namespace crocuswind::standin;

namespace {

/// Bounds the time that a test waits; no check depends on the value.
constexpr duration waitLimit = 60s;

/// The limits in the settings of the process.
constexpr int memoryLimitMb = 64;
constexpr int descriptorLimit = 300;

/// What the process may use beyond its limit if it is built with AddressSanitizer: shadow memory,
/// red zones and a quarantine of 16 MB.
#ifdef __SANITIZE_ADDRESS__
constexpr int sanitizerMb = 128;
#else
constexpr int sanitizerMb = 0;
#endif

/// The crowd that sends ahead: 16 connections with 64 Ki requests of 256 bytes each, 256 MB.
constexpr int senders = 16;
constexpr int requestsPerSender = 64 * 1024;
constexpr std::size_t requestBytes = 256;
constexpr int receiveBufferBytes = 4096;

/// The crowd that sends half a request: this many connections to each of the two addresses.
constexpr int idleConnections = 300;

/// A crowd gives up after so many ordinary requests in a row were answered while the process took
/// nothing from it.
constexpr int maxRoundsWithoutProgress = 50;

/// Returns a request of exactly `requestBytes`, whose path has a long query.
std::string paddedRequest(const std::string &methodAndPath, const std::string &headers)
{
    const std::string begin = methodAndPath + "?";
    const std::string end = " HTTP/1.1\r\n" + headers + "\r\n";
    return begin + std::string(requestBytes - begin.size() - end.size(), 'x') + end;
}

/// A connection with a small receive buffer whose client never reads.
class unread_connection
{
public:
    explicit unread_connection(const ip_endpoint &to)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                   sizeof(receiveBufferBytes));
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_isOpen = connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    }
    ~unread_connection() { close(m_socket); }
    unread_connection(const unread_connection &) = delete;
    unread_connection &operator=(const unread_connection &) = delete;

    bool isOpen() const { return m_isOpen; }

    /// Sends as much of \p bytes, from \p offset, as the process takes at once. Returns the number
    /// of bytes.
    std::size_t send(const std::string &bytes, std::size_t offset)
    {
        const ssize_t count = ::send(m_socket, bytes.data() + offset, bytes.size() - offset,
                                     MSG_DONTWAIT | MSG_NOSIGNAL);
        m_isOpen = m_isOpen && (count >= 0 || errno == EAGAIN);
        return std::size_t(std::max<ssize_t>(count, 0));
    }

private:
    int m_socket;
    bool m_isOpen = false;
};

/// A client that sends the same request again and again.
struct sender
{
    std::unique_ptr<unread_connection> connection;
    int requestsLeft = requestsPerSender;
    std::size_t offset = 0; ///< Bytes of the current batch that were sent.
};

struct platform_crowd : testing::Test
{
    platform_crowd()
        : store(loop)
        , host(
              loop, "host", store.address(), std::string(CROCUSWIND_BIN) + "/crocuswindd",
              fmt::format("limits.memoryMb={}\nlimits.maxFds={}\n", memoryLimitMb, descriptorLimit))
    {
        store.put("op/config", oneQueueConfiguration());
        setenv("ASAN_OPTIONS", "quarantine_size_mb=16", 1);
        host.start("/dev/null");
    }

    /// Returns the status of a request on a connection of its own, or 0 without an answer.
    int ask(const ip_endpoint &to, const std::string &path)
    {
        http_client client(loop, http_client_settings());
        http_call call;
        call.to = to;
        call.method = "GET";
        call.path = path;
        call.headers = {{"Host", "jobs.example"}};
        call.deadline = loop.now() + waitLimit;
        std::optional<http_result> result;
        client.send(std::move(call), [&](http_result r) { result = std::move(r); });
        loop.runUntil([&] { return result.has_value(); }, waitLimit);
        return result ? result->status : 0;
    }

    void becomeReady()
    {
        const instant until = loop.now() + waitLimit;
        while (ask(host.ready(), "/ready") != 200 && loop.now() < until)
            loop.runUntil([] { return false; }, 20ms);
    }

    /// Returns a field of /proc/PID/status in kilobytes.
    int statusKb(const std::string &field) const
    {
        std::ifstream file(fmt::format("/proc/{}/status", host.id()));
        for (std::string line; std::getline(file, line);) {
            if (line.rfind(field + ":", 0) == 0)
                return std::stoi(line.substr(field.size() + 1));
        }
        return 0;
    }

    int descriptors() const
    {
        int count = 0;
        for ([[maybe_unused]] const auto &entry :
             std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", host.id())))
            ++count;
        return count;
    }

    /// Lets the crowd send until it has sent everything, or the process takes nothing more or has
    /// closed all connections.
    void sendAhead(const ip_endpoint &to, const std::string &request)
    {
        ASSERT_EQ(request.size(), requestBytes);
        constexpr int batch = 1024;
        std::string batchBytes;
        for (int i = 0; i < batch; ++i)
            batchBytes += request;
        std::vector<sender> crowd(senders);
        for (sender &s : crowd)
            s.connection = std::make_unique<unread_connection>(to);
        int roundsWithoutProgress = 0;
        bool isFinished = false;
        while (!isFinished && roundsWithoutProgress < maxRoundsWithoutProgress) {
            isFinished = true;
            ++roundsWithoutProgress;
            for (sender &s : crowd) {
                if (!s.connection->isOpen() || s.requestsLeft == 0)
                    continue;
                isFinished = false;
                const std::size_t count = s.connection->send(batchBytes, s.offset);
                roundsWithoutProgress = count > 0 ? 0 : roundsWithoutProgress;
                s.offset += count;
                if (s.offset == batchBytes.size()) {
                    s.offset = 0;
                    s.requestsLeft -= batch;
                }
            }
            ASSERT_NE(ask(host.ready(), "/ready"), 0);
        }
        expectServes();
    }

    /// Checks that the process lives within its bounds and answers an ordinary request.
    void expectServes()
    {
        EXPECT_NE(ask(host.callers(), "/q/0123456789abcdef"), 0);
        ASSERT_FALSE(host.hasEnded());
        const int peakMb = statusKb("VmHWM") / 1024;
        const int open = descriptors();
        std::printf("peak memory %d MB, now %d MB, descriptors %d\n", peakMb,
                    statusKb("VmRSS") / 1024, open);
        EXPECT_LT(peakMb, memoryLimitMb + sanitizerMb);
        EXPECT_LT(open, descriptorLimit);
    }

    event_loop loop;
    platform_store store;
    platform_process host;
};

} // namespace

TEST_F(platform_crowd, UnknownPath)
{
    becomeReady();
    sendAhead(host.callers(), paddedRequest("GET /nowhere/", "Host: jobs.example\r\n"));
}

TEST_F(platform_crowd, NoHeaders)
{
    becomeReady();
    sendAhead(host.callers(), paddedRequest("GET /q/0123456789abcdef", ""));
}

TEST_F(platform_crowd, ReadyAddress)
{
    becomeReady();
    sendAhead(host.ready(), paddedRequest("GET /ready", "Host: jobs.example\r\n"));
}

TEST_F(platform_crowd, EmptyPost)
{
    becomeReady();
    sendAhead(host.callers(),
              paddedRequest("POST /nowhere/", "Host: jobs.example\r\nContent-Length: 0\r\n"));
}

TEST_F(platform_crowd, ManyConnections)
{
    becomeReady();
    std::vector<std::unique_ptr<unread_connection>> crowd;
    int mostDescriptors = 0;
    for (int i = 0; i < idleConnections; ++i) {
        for (const ip_endpoint &to : {host.callers(), host.ready()}) {
            crowd.push_back(std::make_unique<unread_connection>(to));
            crowd.back()->send("GET /q/ HTTP/1.1\r\nHost:", 0);
        }
        mostDescriptors = std::max(mostDescriptors, descriptors());
    }
    EXPECT_NE(ask(host.ready(), "/ready"), 0);
    expectServes();
    EXPECT_LT(std::max(mostDescriptors, descriptors()), descriptorLimit);
}
