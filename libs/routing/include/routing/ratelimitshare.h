#ifndef MAGNOLIA_ROUTING_RATELIMITSHARE_H
#define MAGNOLIA_ROUTING_RATELIMITSHARE_H

#include "base/clock.h"
#include "base/random.h"

#include <cstddef>

namespace magnolia::routing
{

/**
 * One entry's share of the rate limit that an endpoint states for all entries together.
 *
 * The entries share the limit without communication. Each may send one request at times that it draws at random, so that the requests of all entries
 * form a Poisson process with half the stated rate, whatever their number. A send time that passes unused is lost, since saved up shares would be used
 * in a burst. A newly stated limit replaces the previous one; an endpoint that restarted has none. Not thread-safe.
 *
 * @code
 * limit.update(perSecond, instances, now, random); // stated in an answer
 * if (limit.canSend(instances, now, random)) { limit.consume(instances, now, random); send(); }
 * @endcode
 */
class RateLimitShare
{
public:
    /** Sets the limit. @param perSecond requests of all entries together; 0 or more. @return true if the limit changed. */
    bool update(double perSecond, std::size_t instances, BootTime now, Random &random);

    /** Removes the limit, because an answer stated none. @return true if there was one. */
    bool clear();

    bool isLimited() const
    {
        return isLimited_;
    }

    /** @return true if a request may be sent now. Draws a new send time if the last one passed unused. */
    bool canSend(std::size_t instances, BootTime now, Random &random);

    /** Uses up the current send time for a request that is being sent. */
    void consume(std::size_t instances, BootTime now, Random &random);

private:
    void scheduleNext(std::size_t instances, BootTime from, Random &random);

    bool isLimited_ = false;
    double perSecond_ = 0;
    BootTime nextSendAt_; ///< From then on one request may be sent, for SendWindow.
};

} // namespace magnolia::routing

#endif
