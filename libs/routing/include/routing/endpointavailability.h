#ifndef MAGNOLIA_ROUTING_ENDPOINTAVAILABILITY_H
#define MAGNOLIA_ROUTING_ENDPOINTAVAILABILITY_H

#include "base/clock.h"
#include "base/random.h"

namespace magnolia::routing
{

/**
 * Whether an endpoint may be sent requests by this entry, as far as the endpoint itself has stated.
 *
 * An endpoint that leaves accepts none until it ends. One that asks for rest accepts none until the rest is over; then it is probed with one request at a
 * time until it has answered one, since it may need more rest. The end of a rest is delayed at random, so that entries that were asked at the same moment
 * don't return together. Both statements hold for the run of the endpoint that made them, and outlive its entry on the list. A value type, not thread-safe.
 *
 * @code
 * availability.onRestStated(rest, now, random);
 * if (availability.mayDispatch(now)) { availability.onDispatch(now); send(); }
 * @endcode
 */
class EndpointAvailability
{
public:
    /** @return false if it was known. */
    bool onLeavingStated();

    /** A rest that ends before an earlier one changes nothing. @param rest from now on; 0: none. */
    void onRestStated(Duration rest, BootTime now, Random &random);

    /** A later run of the endpoint began. It may have asked for rest before it was known, so it is probed. */
    void onNewRun();

    void onDispatch(BootTime now);

    /** The endpoint answered a request without turning it away. @param sentAt when the request was dispatched. */
    void onAnswer(BootTime sentAt);

    bool isLeaving() const
    {
        return isLeaving_;
    }

    bool isResting(BootTime now) const
    {
        return now < restEndsAt_;
    }

    /** @return true if nothing has been stated since the endpoint last answered a request. */
    bool isUnrestricted() const
    {
        return !isLeaving_ && !isProbed_;
    }

    bool mayDispatch(BootTime now) const
    {
        return !isLeaving_ && now >= nextDispatchAt();
    }

    /** @return when the next request may be dispatched, unless the endpoint leaves; the epoch if at any time. */
    BootTime nextDispatchAt() const;

private:
    bool isLeaving_ = false;
    bool isProbed_ = false; ///< It has not answered a request since its last rest.
    BootTime restEndsAt_;
    BootTime nextProbeAt_;
};

} // namespace magnolia::routing

#endif
