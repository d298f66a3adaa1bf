#ifndef MAGNOLIA_ROUTING_RATELIMITSHARE_H
#define MAGNOLIA_ROUTING_RATELIMITSHARE_H

#include "base/clock.h"
#include "base/random.h"

#include <cstddef>

namespace magnolia::routing
{

/**
 * One entry's share of the requests that an endpoint takes from all entries together, by the endpoint's own word.
 *
 * Entries need no word of one another for it: each may send one request at moments that it draws at random, so that those of all entries together
 * are a Poisson process of half the stated rate, however many they are. A moment that passes unused is lost; saved up shares would come all
 * at once. A new statement replaces the one before; an endpoint that runs anew has made none. Not thread-safe.
 *
 * @code
 * limit.state(perSecond, instances, now, random); // an answer named it
 * if (limit.mayUse(instances, now, random)) { limit.use(instances, now, random); send(); }
 * @endcode
 */
class RateLimitShare
{
public:
    /** @param perSecond requests from all entries together; 0 or more. @return true if it differs from what was known. */
    bool state(double perSecond, std::size_t instances, BootTime now, Random &random);

    /** An answer named none. @return true if one was known. */
    bool lift();

    bool isLimited() const
    {
        return isStated_;
    }

    /** @return false if no request may be sent now. */
    bool mayUse(std::size_t instances, BootTime now, Random &random);

    /** A request is sent. */
    void use(std::size_t instances, BootTime now, Random &random);

private:
    void drawNext(std::size_t instances, BootTime from, Random &random);

    bool isStated_ = false;
    double perSecond_ = 0;
    BootTime opensAt_; ///< One request may be sent from then on, for a short time.
};

} // namespace magnolia::routing

#endif
