#ifndef MAGNOLIA_WIRE_LINKFIXTURE_H
#define MAGNOLIA_WIRE_LINKFIXTURE_H

#include "wire/link.h"

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::wire
{

/** What one end of a link was told. */
struct EndLog {
    std::vector<PeerInfo> ups;
    std::vector<Message> messages;
    std::vector<Failure> closes;
    std::vector<Failure> losses;
};

/** An event loop with a listener whose links it keeps, on a port that the kernel picks. */
class LinkFixture
{
public:
    LinkFixture();

    static LinkOptions optionsOf(Role role, const std::string &instance);

    /** Runs the loop until the condition holds. @return false if it doesn't within ten seconds. */
    bool runUntil(const std::function<bool()> &condition);

    void listen(const LinkOptions &options);
    std::unique_ptr<Link> connect(const LinkOptions &options);
    std::unique_ptr<LinkDialer> dial(const std::string &address, const LinkOptions &options);
    static Link::Callbacks logTo(EndLog &log);

    struct LoopDeleter {
        void operator()(event_base *loop) const
        {
            event_base_free(loop);
        }
    };

    std::unique_ptr<event_base, LoopDeleter> loop;
    EndLog dialerLog;
    EndLog listenerLog;
    std::vector<Failure> refusals;
    std::vector<std::unique_ptr<Link>> accepted;
    std::unique_ptr<LinkListener> listener;
};

} // namespace magnolia::wire

#endif
