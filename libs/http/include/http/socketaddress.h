#ifndef MAGNOLIA_HTTP_SOCKETADDRESS_H
#define MAGNOLIA_HTTP_SOCKETADDRESS_H

#include "base/failure.h"

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::http
{

/** An IP address and port. Names are never resolved: processes reach each other by IP numbers only. */
struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t length = 0;

    /** @param text "1.2.3.4:80" or "[::1]:80"; the port is required. */
    static Result<SocketAddress> parse(std::string_view text);

    /** @return the address that a socket is bound to. */
    static SocketAddress ofSocket(int fd);

    const sockaddr *get() const;
    std::string host() const; ///< Without brackets.
    std::uint16_t port() const;
    std::string toString() const; ///< "IP:PORT", IPv6 in brackets.
};

/** @return a non-blocking TCP socket of that family, set up as tuneSocket does; -1 on failure. */
int openSocket(int family);

/** Sets TCP_NODELAY, keepalive and TCP_USER_TIMEOUT, so that a peer that vanished is noticed within seconds. */
void tuneSocket(int fd);

/**
 * Makes writing to a connection that the peer has closed an error of that connection, not the end of the process: libevent
 * writes without MSG_NOSIGNAL. Leaves a handler that the program has set alone. HttpClient and HttpServer call it.
 */
void ignoreBrokenPipes();

} // namespace magnolia::http

#endif
