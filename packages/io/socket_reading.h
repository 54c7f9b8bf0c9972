/// Lets what has arrived on a socket be read at once; private to the package.
#ifndef CROCUSWIND_IO_SOCKET_READING_H
#define CROCUSWIND_IO_SOCKET_READING_H

struct bufferevent;

namespace crocuswind {

/// Makes a plain socket read all that has arrived, up to 256 KiB, whenever libevent looks at it.
/// libevent 2.1 reads 4 KiB for each look. A busy process looks at its sockets some 30 times a
/// second, so that a sender of more than 120 kB a second is read later and later.
void readAllThatArrived(bufferevent *socket);

} // namespace crocuswind

#endif
