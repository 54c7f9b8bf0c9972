/// Lets large messages pass a socket in one round of the loop; private to the package.
#ifndef CROCUSWIND_IO_SOCKET_THROUGHPUT_H
#define CROCUSWIND_IO_SOCKET_THROUGHPUT_H

struct bufferevent;

namespace crocuswind {

/// Makes a plain socket read all that has arrived, up to 256 KiB, whenever libevent looks at it.
/// libevent 2.1 reads 4 KiB for each look. A busy process looks at its sockets some 30 times a
/// second, so that a sender of more than 120 kB a second is read later and later.
void readAllThatArrived(bufferevent *socket);

/// Makes a socket write up to 256 KiB at once, as far as the system takes them. libevent writes 16
/// KiB for each look at a socket.
void writeAllAtOnce(bufferevent *socket);

} // namespace crocuswind

#endif
