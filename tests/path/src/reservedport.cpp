#include "reservedport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace magnolia::path
{

ReservedPort::ReservedPort() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int enabled = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *raw = reinterpret_cast<sockaddr *>(&address);
    if (::bind(socket_, raw, size) != 0 || ::getsockname(socket_, raw, &size) != 0) {
        throw std::runtime_error("cannot reserve a port");
    }
    port_ = ntohs(address.sin_port);
}

ReservedPort::ReservedPort(ReservedPort &&other) noexcept : socket_(std::exchange(other.socket_, -1)), port_(other.port_) {}

ReservedPort::~ReservedPort()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
}

std::string ReservedPort::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

} // namespace magnolia::path
