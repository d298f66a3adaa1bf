#ifndef MAGNOLIA_GROUP_BULKPACER_H
#define MAGNOLIA_GROUP_BULKPACER_H

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace magnolia::group
{

/**
 * Says when a bulky message may be sent, so that short urgent ones never wait behind more than a few milliseconds of it.
 *
 * All links of an instance share one network interface, which sends in the order of arrival. A map told to each agent of a large group at once keeps it
 * busy for longer than agents wait for a coordinator's next word: they take it for lost, another takes its place, and tells all a map again. So bulk takes
 * a part of the interface only, a piece at a time. A value type.
 *
 * @code
 * while (!queue.empty() && pacer.take(queue.front().size(), now)) { send(queue.pop()); }
 * @endcode
 */
class BulkPacer
{
public:
    struct Options {
        double bytesPerSecond = 0; ///< That bulk may take; 0: no bound.
        Duration burst{20}; ///< As much as that time allows may go at once.
    };

    explicit BulkPacer(Options options) : options_(options) {}

    /** @return whether a message of this size may be sent now, and counts it if so. */
    bool tryConsume(std::size_t bytes, BootTime now)
    {
        if (options_.bytesPerSecond <= 0) {
            return true;
        }
        idleAt_ = std::max(idleAt_, now - options_.burst);
        if (idleAt_ > now) {
            return false;
        }
        const std::chrono::duration<double> sendTime(static_cast<double>(bytes) / options_.bytesPerSecond);
        idleAt_ += std::chrono::duration_cast<BootClock::duration>(sendTime);
        return true;
    }

private:
    Options options_;
    BootTime idleAt_; ///< When all that was taken will have been sent.
};

} // namespace magnolia::group

#endif
