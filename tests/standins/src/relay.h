#ifndef MAGNOLIA_STANDINS_RELAY_H
#define MAGNOLIA_STANDINS_RELAY_H

#include "http/httpserver.h"
#include "http/socketaddress.h"
#include "replies.h"
#include "scheduler.h"

#include <event2/listener.h>

#include <cstdint>
#include <list>
#include <memory>
#include <string>

struct bufferevent;

namespace magnolia::standins
{

/** What the relay does to connections from now on; switched by `POST /faults` on its control address. */
struct RelayFaults {
    int delay_ms = 0; // NOLINT(readability-identifier-naming): the names of the JSON fields.
    bool drop_to_target = false; // NOLINT(readability-identifier-naming): what callers send is read and thrown away.
    bool drop_to_caller = false; // NOLINT(readability-identifier-naming)
    bool refuse = false; // NOLINT(readability-identifier-naming): new connections are closed at once.

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RelayFaults, delay_ms, drop_to_target, drop_to_caller, refuse)
};

/**
 * A TCP relay that can fail as networks do.
 *
 * On the control address: `POST /silence` makes the connections that are open now silent for good (kept open, nothing
 * forwarded, not even a close), while new ones work; `POST /cut` resets all of them; `POST /faults` sets RelayFaults;
 * `GET /counts` gives `{"accepted", "open", "silent", "bytes_to_target", "bytes_to_caller"}`.
 */
class Relay
{
public:
    struct Options {
        std::string address = "127.0.0.1:0";
        std::string target{}; ///< "IP:PORT" that connections are relayed to.
        std::string control = "127.0.0.1:0";
    };

    Relay(event_base *loop, Options options);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    std::string address() const;
    std::string controlAddress() const
    {
        return control_->address();
    }
    RelayFaults &faults()
    {
        return faults_;
    }

    void silence();
    void cut();
    Json counts() const;

private:
    struct Pair;
    struct Side;

    struct ListenerDeleter {
        void operator()(evconnlistener *handle) const
        {
            evconnlistener_free(handle);
        }
    };

    void control(const std::shared_ptr<http::Exchange> &exchange);
    void accept(int fd);
    void forward(Side &from);
    void deliver(const std::weak_ptr<Pair> &pair, bool toTarget, const std::string &data);
    void ended(Side &side, bool isError);
    void closeOnceFlushed(const std::weak_ptr<Pair> &pair);
    void close(const std::shared_ptr<Pair> &pair, bool isReset);

    static void onAccept(evconnlistener *listener, int fd, sockaddr *from, int length, void *self);
    static void onRead(bufferevent *stream, void *side);
    static void onEvent(bufferevent *stream, short what, void *side);

    event_base *loop_;
    Options options_;
    http::SocketAddress target_;
    RelayFaults faults_;
    Scheduler scheduler_;
    std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
    std::list<std::shared_ptr<Pair>> pairs_;
    std::uint64_t accepted_ = 0;
    std::uint64_t bytesToTarget_ = 0;
    std::uint64_t bytesToCaller_ = 0;
    std::unique_ptr<http::HttpServer> control_;
};

} // namespace magnolia::standins

#endif
