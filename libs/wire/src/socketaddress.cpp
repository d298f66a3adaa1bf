#include "socketaddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>

namespace magnolia::wire
{

namespace
{

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return port;
}

} // namespace

// libevent's own parser refuses port 0, which listeners need to have a port picked.
std::optional<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parsePort(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    if (!port) {
        return std::nullopt;
    }
    SocketAddress address;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        auto *six = reinterpret_cast<sockaddr_in6 *>(&address.storage_);
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(*port);
        address.size_ = sizeof *six;
        return inet_pton(AF_INET6, std::string(host).c_str(), &six->sin6_addr) == 1 ? std::optional(address) : std::nullopt;
    }
    auto *four = reinterpret_cast<sockaddr_in *>(&address.storage_);
    four->sin_family = AF_INET;
    four->sin_port = htons(*port);
    address.size_ = sizeof *four;
    return inet_pton(AF_INET, std::string(host).c_str(), &four->sin_addr) == 1 ? std::optional(address) : std::nullopt;
}

SocketAddress SocketAddress::ofSocket(int socket)
{
    SocketAddress address;
    getsockname(socket, reinterpret_cast<sockaddr *>(&address.storage_), &address.size_);
    return address;
}

const sockaddr *SocketAddress::get() const
{
    return reinterpret_cast<const sockaddr *>(&storage_);
}

int SocketAddress::size() const
{
    return static_cast<int>(size_);
}

std::uint16_t SocketAddress::port() const
{
    if (storage_.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&storage_)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in *>(&storage_)->sin_port);
}

std::string SocketAddress::toString() const
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage_.ss_family == AF_INET6) {
        inet_ntop(AF_INET6, &reinterpret_cast<const sockaddr_in6 *>(&storage_)->sin6_addr, text.data(), text.size());
        return "[" + std::string(text.data()) + "]:" + std::to_string(port());
    }
    inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in *>(&storage_)->sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(port());
}

} // namespace magnolia::wire
