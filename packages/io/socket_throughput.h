/// Raises the number of bytes that a socket reads and writes in one round of the loop; private to
/// the package.
#ifndef CROCUSWIND_IO_SOCKET_THROUGHPUT_H
#define CROCUSWIND_IO_SOCKET_THROUGHPUT_H

struct bufferevent;

namespace crocuswind {

/// Makes a plain socket read all available input, up to 256 KiB, in each round. By default,
/// libevent 2.1 reads 4 KiB from a socket in each round. A busy process runs about 30 rounds per
/// second, so that the backlog of a sender with more than 120 kB per second would grow without
/// bound.
void enableLargeReads(bufferevent *socket);

/// Makes a socket write up to 256 KiB in each round, as far as the socket's send buffer allows. By
/// default, libevent writes 16 KiB to a socket in each round.
void enableLargeWrites(bufferevent *socket);

} // namespace crocuswind

#endif
