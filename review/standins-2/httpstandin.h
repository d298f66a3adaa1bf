#ifndef MAGNOLIA_REVIEW_HTTPSTANDIN_H
#define MAGNOLIA_REVIEW_HTTPSTANDIN_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/** Clients and engines of the review's cases: plain blocking sockets and one thread for each connection, so that every byte is theirs. */
namespace magnolia::review
{

/** A request or an answer as read from a socket. */
struct Message {
    std::string firstLine;
    std::map<std::string, std::string> headers; ///< Names in small letters.
    std::string body;
    bool isWhole = false; ///< Its framing says that it is complete.

    std::string header(std::string name) const
    {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const
    {
        return firstLine.substr(0, firstLine.find(' '));
    }
    std::string target() const
    {
        const std::size_t begin = firstLine.find(' ') + 1;
        return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
    }
    int status() const
    {
        constexpr std::size_t StatusAt = 9; // After "HTTP/1.1 ".
        return firstLine.size() > StatusAt ? std::atoi(firstLine.c_str() + StatusAt) : 0; // NOLINT(cert-err34-c): 0 is as good
    }
};

/** A connection. Owns its socket. */
class Connection
{
public:
    explicit Connection(int fd) : fd_(fd) {}
    ~Connection()
    {
        ::close(fd_);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** @return the socket of a connection to "127.0.0.1:PORT", on which nothing is awaited for longer than the time. */
    static int dial(const std::string &address, int timeoutSeconds)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval timeout{.tv_sec = timeoutSeconds, .tv_usec = 0};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
            ::close(fd);
            throw std::runtime_error("cannot connect to " + address);
        }
        return fd;
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    /** Reads a head. @return false if the connection ended before. */
    bool readHead(Message &message)
    {
        std::string line;
        while (message.firstLine.empty()) {
            if (!readLine(message.firstLine)) {
                return false;
            }
        }
        while (readLine(line)) {
            if (line.empty()) {
                return true;
            }
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
        }
        return false;
    }

    /** Reads the body of a request, which has a length. */
    bool readRequestBody(Message &message)
    {
        const std::string length = message.header("Content-Length");
        message.isWhole = length.empty() || readBytes(std::stoul(length), message.body);
        return message.isWhole;
    }

    /** Reads the body of an answer as far as it comes. */
    void readAnswerBody(Message &message)
    {
        const std::string length = message.header("Content-Length");
        if (message.header("Transfer-Encoding") == "chunked") {
            message.isWhole = readChunks(message.body);
        } else if (!length.empty()) {
            message.isWhole = readBytes(std::stoul(length), message.body);
        } else {
            while (fill()) {
                message.body.append(std::exchange(input_, {}));
            }
            message.isWhole = true;
        }
    }

    int fd() const
    {
        return fd_;
    }

private:
    bool fill()
    {
        std::array<char, 16384> buffer{};
        const ssize_t count = ::recv(fd_, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            return false;
        }
        input_.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }

    bool readLine(std::string &line)
    {
        std::size_t end = input_.find("\r\n");
        while (end == std::string::npos) {
            if (!fill()) {
                return false;
            }
            end = input_.find("\r\n");
        }
        line = input_.substr(0, end);
        input_.erase(0, end + 2);
        return true;
    }

    bool readBytes(std::size_t count, std::string &into)
    {
        while (input_.size() < count) {
            if (!fill()) {
                into.append(std::exchange(input_, {}));
                return false;
            }
        }
        into.append(input_, 0, count);
        input_.erase(0, count);
        return true;
    }

    bool readChunks(std::string &into)
    {
        constexpr int Hexadecimal = 16;
        std::string line;
        while (readLine(line)) {
            const std::size_t size = std::stoul(line, nullptr, Hexadecimal);
            if (!readBytes(size, into) || !readLine(line)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
        return false;
    }

    int fd_;
    std::string input_;
};

/** A server that gives each request to a handler, on the thread of its connection. */
class Server
{
public:
    /** @return whether the connection is kept for a further request. */
    using Handler = std::function<bool(Connection &connection, const Message &request)>;

    /** @param port 0: one that is free. */
    explicit Server(Handler handler, std::uint16_t port = 0) : handler_(std::move(handler)), listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        constexpr int Backlog = 128;
        const int enabled = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        own.sin_port = htons(port);
        socklen_t size = sizeof(own);
        auto *raw = reinterpret_cast<sockaddr *>(&own);
        if (::bind(listener_, raw, size) != 0 || ::listen(listener_, Backlog) != 0 || ::getsockname(listener_, raw, &size) != 0) {
            throw std::runtime_error("cannot listen");
        }
        address_ = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
        acceptor_ = std::thread([this] { accept(); });
    }
    ~Server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        {
            const std::lock_guard lock(mutex_);
            for (const Connection &connection : connections_) {
                ::shutdown(connection.fd(), SHUT_RDWR);
            }
        }
        for (std::thread &thread : threads_) {
            thread.join();
        }
        ::close(listener_);
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &address() const
    {
        return address_;
    }

private:
    void accept()
    {
        for (int fd = ::accept(listener_, nullptr, nullptr); fd >= 0; fd = ::accept(listener_, nullptr, nullptr)) {
            const std::lock_guard lock(mutex_);
            Connection &connection = connections_.emplace_back(fd);
            threads_.emplace_back([this, &connection] { serve(connection); });
        }
    }

    void serve(Connection &connection)
    {
        bool isKept = true;
        while (isKept) {
            Message request;
            isKept = connection.readHead(request) && connection.readRequestBody(request) && handler_(connection, request);
        }
        ::shutdown(connection.fd(), SHUT_RDWR);
    }

    Handler handler_;
    int listener_;
    std::string address_;
    std::mutex mutex_;
    std::list<Connection> connections_; ///< Also the ended ones, until the server ends.
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace magnolia::review

#endif
