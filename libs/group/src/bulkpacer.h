#ifndef MAGNOLIA_GROUP_BULKPACER_H
#define MAGNOLIA_GROUP_BULKPACER_H

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace magnolia::group
{

/**
 * Rate limiter for large messages, so that short urgent messages wait for at most a few milliseconds of them.
 *
 * All links of an instance share one network interface, which sends in FIFO order. Sending a map to every agent of a large group at once would occupy it for
 * longer than the agents' coordinator timeout: they would consider the coordinator lost, and its successor would send a map to all of them again. Large
 * messages therefore use only a part of the capacity, in small bursts. A value type.
 *
 * @code
 * while (!queue.empty() && pacer.tryConsume(queue.front().size(), now)) { send(queue.pop()); }
 * @endcode
 */
class BulkPacer
{
public:
    struct Options {
        double bytesPerSecond = 0; ///< Rate limit for large messages; 0: no limit.
        Duration burst{20}; ///< Messages for this much time may be sent at once.
    };

    explicit BulkPacer(Options options) : options_(options) {}

    /** Consumes capacity for a message. @return false if the message may not be sent yet. */
    bool tryConsume(std::size_t bytes, BootTime now)
    {
        if (options_.bytesPerSecond <= 0) {
            return true;
        }
        idleAt_ = std::max(idleAt_, now - options_.burst);
        if (idleAt_ > now) {
            return false;
        }
        const std::chrono::duration<double> transmissionTime(static_cast<double>(bytes) / options_.bytesPerSecond);
        idleAt_ += std::chrono::duration_cast<BootClock::duration>(transmissionTime);
        return true;
    }

private:
    Options options_;
    BootTime idleAt_; ///< When the interface will have sent all consumed bytes.
};

} // namespace magnolia::group

#endif
