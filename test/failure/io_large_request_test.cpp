// Guards against writing a large request only a few kilobytes per round. On a busy process, a
// commit of many jobs was then spread over many rounds, and callers received no response in time.

#include "failure/io_raw_peer.h"

#include <gtest/gtest.h>
#include <string>
#include <unistd.h>
#include <vector>

using namespace crocuswind;

namespace {

/// Fits into the buffers of a socket whose receiver does not read.
constexpr std::size_t requestBytes = 60000;

// Reads the available input and returns its size.
std::size_t readInput(int socket)
{
    std::vector<char> bytes(2 * requestBytes);
    return hasUnreadInput(socket) ? std::size_t(read(socket, bytes.data(), bytes.size())) : 0;
}

} // namespace

TEST(large_request, IsWrittenInOneRound)
{
    event_loop loop;
    http_client client(loop, http_client_settings());
    const manual_listener listener;
    http_call call;
    call.to = listener.endpoint();
    call.deadline = loop.now() + testTimeout;
    call.body = std::string(requestBytes, 'x');
    client.send(call, [](const http_result &) {});
    std::vector<int> sockets;
    std::size_t arrived = 0;
    int rounds = 0;
    const auto hasArrived = [&] {
        listener.acceptReady(sockets);
        const std::size_t before = arrived;
        if (!sockets.empty())
            arrived += readInput(sockets.front());
        rounds += arrived > before ? 1 : 0;
        return arrived > requestBytes;
    };
    ASSERT_TRUE(loop.runUntil(hasArrived, testTimeout));
    EXPECT_EQ(rounds, 1);
    close(sockets.front());
}
