#include "lingeringclose.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace magnolia::http
{

namespace
{

constexpr Duration LingerTime{2000};
constexpr std::size_t MaxLingeringSockets = 256;
constexpr std::size_t MaxDrainedBytes = 64U << 20U;

} // namespace

struct LingeringClose::Socket {
    LingeringClose *owner = nullptr;
    int fd = -1;
    std::size_t drained = 0;
    EventPtr readable;

    Socket() = default;
    ~Socket()
    {
        readable.reset();
        close(fd);
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
};

LingeringClose::LingeringClose(event_base *loop) : loop_(loop) {}

LingeringClose::~LingeringClose() = default;

void LingeringClose::refuse(int fd, std::string_view answer)
{
    (void)send(fd, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(fd, SHUT_WR);
    // Under a flood of refused connections the politeness is dropped rather than our descriptors used up.
    if (sockets_.size() >= MaxLingeringSockets) {
        return;
    }
    // A descriptor of our own keeps the socket open after its owner has closed his.
    const int own = dup(fd);
    if (own < 0) {
        return;
    }
    auto socket = std::make_unique<Socket>();
    socket->owner = this;
    socket->fd = own;
    socket->readable.reset(event_new(loop_, own, EV_READ | EV_PERSIST, &LingeringClose::onReadable, socket.get()));
    startTimer(socket->readable.get(), LingerTime);
    sockets_.push_back(std::move(socket));
}

void LingeringClose::onReadable(int fd, short what, void *socket)
{
    auto *lingering = static_cast<Socket *>(socket);
    std::array<char, 16384> sink{};
    const ssize_t count = (what & EV_READ) != 0 ? recv(fd, sink.data(), sink.size(), MSG_DONTWAIT) : 0;
    const bool isBusy = count < 0 && (errno == EAGAIN || errno == EINTR);
    if (count > 0) {
        lingering->drained += static_cast<std::size_t>(count);
    }
    const bool isDone = !isBusy && (count <= 0 || lingering->drained > MaxDrainedBytes);
    if (isDone) {
        lingering->owner->drop(lingering);
    }
}

void LingeringClose::drop(Socket *socket)
{
    sockets_.remove_if([socket](const auto &entry) { return entry.get() == socket; });
}

} // namespace magnolia::http
