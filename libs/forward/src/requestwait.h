#ifndef MAGNOLIA_FORWARD_REQUESTWAIT_H
#define MAGNOLIA_FORWARD_REQUESTWAIT_H

#include "base/clock.h"

#include <cstdint>

namespace magnolia::forward
{

/**
 * What a request waits for before it is dispatched or its answer is relayed, and until when. A value type.
 *
 * @code
 * wait.begin(RequestWait::For::Slot, now, until);
 * if (wait.isOver(RequestWait::For::Slot, now)) { reject(); }
 * @endcode
 */
class RequestWait
{
public:
    enum class For : std::uint8_t {
        Nothing,
        Update, ///< A change of the routes or endpoints, the recovery of the endpoint's group, or the end of an endpoint's rest.
        Slot, ///< A free slot in the service's SlotQueue.
        Probe, ///< The probe of an endpoint after a connection to it broke.
        EndProof, ///< The probe of an endpoint whose answer has ended with its connection.
    };

    /** @param until when the request stops waiting, and is dispatched or rejected. */
    void begin(For awaited, BootTime now, BootTime until)
    {
        awaited_ = awaited;
        since_ = now;
        until_ = until;
    }

    /** Ends the wait for the given thing. @return false if the request was not waiting for it. */
    bool stop(For awaited)
    {
        if (!isFor(awaited)) {
            return false;
        }
        awaited_ = For::Nothing;
        return true;
    }

    /** Ends any wait. */
    void cancel()
    {
        awaited_ = For::Nothing;
    }

    bool isFor(For awaited) const
    {
        return awaited_ == awaited;
    }

    /** Whether the request waits for the given thing, and has done so for long enough. */
    bool isOver(For awaited, BootTime now) const
    {
        return isFor(awaited) && now >= until_;
    }

    BootTime since() const ///< When the last wait began.
    {
        return since_;
    }
    BootTime until() const
    {
        return until_;
    }

private:
    For awaited_ = For::Nothing;
    BootTime since_;
    BootTime until_;
};

} // namespace magnolia::forward

#endif
