// Guards against reading a large response only a few kilobytes per round. On a busy process, whose
// rounds take tens of milliseconds, the store's updates on leaving workers were delayed by seconds.

#include "failure/io_raw_peer.h"

#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <optional>
#include <string>
#include <sys/ioctl.h>
#include <unistd.h>
#include <vector>

using namespace crocuswind;

namespace {

/// Fits into the buffers of a socket whose receiver does not read.
constexpr std::size_t answerBytes = 60000;

/// Rounds allowed for a response that has arrived completely: one to read it, one to call the
/// callback, and one spare.
constexpr int maxRounds = 3;

// Returns once the receiver's kernel has acknowledged all bytes.
void sendWhole(int socket, const std::string &bytes)
{
    ASSERT_EQ(write(socket, bytes.data(), bytes.size()), ssize_t(bytes.size()));
    int unsent = 1;
    while (unsent != 0)
        ASSERT_EQ(ioctl(socket, SIOCOUTQ, &unsent), 0);
}

} // namespace

TEST(large_answer, IsReadInFewRounds)
{
    event_loop loop;
    http_client client(loop, http_client_settings());
    const manual_listener listener;
    http_call call;
    call.to = listener.endpoint();
    call.deadline = loop.now() + testTimeout;
    std::optional<http_result> result;
    client.send(call, [&](http_result r) { result = std::move(r); });
    std::vector<int> sockets;
    const auto hasRequest = [&] {
        listener.acceptReady(sockets);
        return !sockets.empty() && hasUnreadInput(sockets.front());
    };
    ASSERT_TRUE(loop.runUntil(hasRequest, testTimeout));
    sendWhole(sockets.front(),
              "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answerBytes) + "\r\n\r\n"
                  + std::string(answerBytes, 'x'));
    int rounds = 0;
    loop.runUntil(
        [&] {
            rounds += result ? 0 : 1;
            return result.has_value();
        },
        testTimeout);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body.size(), answerBytes);
    EXPECT_LE(rounds, maxRounds);
    close(sockets.front());
}
