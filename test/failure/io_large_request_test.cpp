// Guards against a large request that is written a few kilobytes a round: on a busy process a
// commit of many jobs took as many rounds as it had pieces, and callers got no answer in time.

#include "failure/io_raw_peer.h"

#include <gtest/gtest.h>
#include <string>
#include <unistd.h>
#include <vector>

using namespace crocuswind;

namespace {

/// Less than a socket takes for a reader that does not read.
constexpr std::size_t requestBytes = 60000;

// Takes what has arrived.
std::size_t takeInput(int socket)
{
    std::vector<char> bytes(2 * requestBytes);
    return hasInput(socket) ? std::size_t(read(socket, bytes.data(), bytes.size())) : 0;
}

} // namespace

TEST(large_request, IsWrittenInOneRound)
{
    event_loop loop;
    http_client client(loop, http_client_settings());
    const silent_listener listener;
    http_call call;
    call.to = listener.endpoint();
    call.deadline = loop.now() + testTimeout;
    call.body = std::string(requestBytes, 'x');
    client.send(call, [](const http_result &) {});
    std::vector<int> sockets;
    std::size_t arrived = 0;
    int rounds = 0;
    const auto isWhole = [&] {
        listener.acceptReady(sockets);
        const std::size_t before = arrived;
        if (!sockets.empty())
            arrived += takeInput(sockets.front());
        rounds += arrived > before ? 1 : 0;
        return arrived > requestBytes;
    };
    ASSERT_TRUE(loop.runUntil(isWhole, testTimeout));
    EXPECT_EQ(rounds, 1);
    close(sockets.front());
}
