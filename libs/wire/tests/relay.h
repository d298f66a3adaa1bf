#ifndef MAGNOLIA_WIRE_RELAY_H
#define MAGNOLIA_WIRE_RELAY_H

#include <event2/event.h>

#include <memory>
#include <string>
#include <string_view>

namespace magnolia::wire
{

/** Passes bytes between its callers and one address, and can lose track of the connections that are open. */
class Relay
{
public:
    Relay(event_base *loop, std::string_view target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    std::string address() const;

    /** The open connections stay open and pass nothing from now on; new ones work. */
    void silenceOpenConnections();

    /** While set, new connections are accepted and pass nothing. */
    void setSilentForNew(bool silent);

    std::size_t connectionCount() const;

private:
    class Connection;
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace magnolia::wire

#endif
