#ifndef MAGNOLIA_WIRE_SOCKETADDRESS_H
#define MAGNOLIA_WIRE_SOCKETADDRESS_H

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::wire
{

/** An IP address with a port. A value type. */
class SocketAddress
{
public:
    /** @param text "IP:PORT", IPv6 in brackets. @return nothing if it is anything else; names are not looked up. */
    static std::optional<SocketAddress> parse(std::string_view text);

    /** @return the address that the socket is bound to. */
    static SocketAddress ofSocket(int socket);

    const sockaddr *get() const;
    int size() const;
    std::uint16_t port() const;
    std::string toString() const;

private:
    sockaddr_storage storage_{};
    socklen_t size_ = sizeof(sockaddr_storage);
};

} // namespace magnolia::wire

#endif
