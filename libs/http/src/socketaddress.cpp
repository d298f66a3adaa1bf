#include "http/socketaddress.h"

#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <charconv>
#include <csignal>
#include <system_error>

namespace magnolia::http
{

namespace
{

// A peer that vanished without a FIN (its instance was replaced) would otherwise hold its connection for minutes.
constexpr int KeepaliveIdleSeconds = 5;
constexpr int KeepaliveIntervalSeconds = 2;
constexpr int KeepaliveProbes = 3;
constexpr int UserTimeoutMilliseconds = 10000;

void setOption(int fd, int level, int name, int value)
{
    // Best effort: a socket without these options still works, it only notices a vanished peer later.
    (void)setsockopt(fd, level, name, &value, sizeof(value));
}

} // namespace

Result<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.starts_with('[') && host.ends_with(']');
    if (isBracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const std::string_view digits = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool hasPort = !digits.empty() && parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();

    SocketAddress address;
    const std::string copy(host);
    if (hasPort && isBracketed) {
        auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.storage);
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        address.length = evutil_inet_pton(AF_INET6, copy.c_str(), &v6->sin6_addr) == 1 ? sizeof(sockaddr_in6) : 0;
    } else if (hasPort) {
        auto *v4 = reinterpret_cast<sockaddr_in *>(&address.storage);
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        address.length = evutil_inet_pton(AF_INET, copy.c_str(), &v4->sin_addr) == 1 ? sizeof(sockaddr_in) : 0;
    }
    if (address.length == 0) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "not an IP number and port: " + std::string(text));
    }
    return address;
}

SocketAddress SocketAddress::ofSocket(int fd)
{
    SocketAddress address;
    address.length = sizeof(address.storage);
    if (getsockname(fd, reinterpret_cast<sockaddr *>(&address.storage), &address.length) != 0) {
        address.length = 0;
    }
    return address;
}

const sockaddr *SocketAddress::get() const
{
    return reinterpret_cast<const sockaddr *>(&storage);
}

std::string SocketAddress::host() const
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET6) {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(&storage);
        evutil_inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    } else {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(&storage);
        evutil_inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    }
    return text.data();
}

std::uint16_t SocketAddress::port() const
{
    if (storage.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in *>(&storage)->sin_port);
}

std::string SocketAddress::toString() const
{
    const std::string number = std::to_string(port());
    if (storage.ss_family == AF_INET6) {
        return "[" + host() + "]:" + number;
    }
    return host() + ":" + number;
}

int openSocket(int family)
{
    const int fd = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0) {
        tuneSocket(fd);
    }
    return fd;
}

void tuneSocket(int fd)
{
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepaliveIdleSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepaliveIntervalSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KeepaliveProbes);
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMilliseconds);
}

void ignoreBrokenPipes()
{
    struct sigaction present {
    };
    const bool isDefault = sigaction(SIGPIPE, nullptr, &present) == 0 && present.sa_handler == SIG_DFL;
    if (isDefault) {
        std::signal(SIGPIPE, SIG_IGN);
    }
}

} // namespace magnolia::http
