#ifndef MAGNOLIA_FORWARD_BODYBUDGET_H
#define MAGNOLIA_FORWARD_BODYBUDGET_H

#include "base/clock.h"
#include "observe/metrics.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace magnolia::forward
{

/**
 * Bounds the memory that large request bodies take, over all callers of an entry.
 *
 * A body's whole size is reserved before it is read, so that bodies which are partly received never block each other. Beyond the bound bodies wait in the order
 * in which they came; one whose predicted wait is too long is denied at once. A body that is larger than the bound is admitted when no other is held. Decides
 * only: reading and waiting are up to the callers' connections. Lives as long as the entry's task, used on its thread.
 *
 * @code
 * BodyBudget::Share share(budget, [this] { readBody(); });
 * if (share.reserve(length) == BodyBudget::Outcome::Granted) { readBody(); }
 * @endcode
 */
class BodyBudget
{
public:
    struct Options {
        std::size_t memoryLimit = 0; ///< Of the process, in bytes.
        Duration maxWait{0}; ///< Of a body whose caller is not told to come back at once.
        observe::Gauge &heldBytes;
        std::function<BootTime()> now = &BootClock::now;
    };

    enum class Outcome : std::uint8_t {
        Granted,
        Waits, ///< The share's callback follows, unless the share is destroyed before.
        Denied,
    };

    /** Memory for one body; destroying it returns the memory. */
    class Share
    {
    public:
        /** @param onGranted called if reserve() returned Outcome::Waits, from within the end of another share. It must not destroy any share. */
        Share(BodyBudget &budget, std::function<void()> onGranted);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** Called once. */
        Outcome reserve(std::size_t bytes);

        /** Returns what the body does not need: it is complete, and smaller than was reserved. */
        void shrink(std::size_t bytes);

    private:
        friend class BodyBudget;

        BodyBudget &budget_;
        std::function<void()> onGranted_;
        std::size_t bytes_ = 0;
        bool isGranted_ = false;
        BootTime grantedAt_;
    };

    explicit BodyBudget(Options options);
    BodyBudget(const BodyBudget &) = delete;
    BodyBudget &operator=(const BodyBudget &) = delete;

    /** @return the bound on all shares together, in bytes. */
    std::size_t limit() const
    {
        return limit_;
    }

    /** @return how long a body of this size would wait, by the time for which bodies were held so far. */
    Duration predictedWait(std::size_t bytes) const;

private:
    bool hasRoomFor(std::size_t bytes) const;
    void grant(Share &share);
    void release(Share &share);
    void grantWaiting();
    void setHeld(std::size_t bytes);

    Options options_;
    std::size_t limit_;
    std::size_t held_ = 0; ///< Sum of the granted shares.
    std::size_t waiting_ = 0; ///< Sum of the shares in queue_.
    std::deque<Share *> queue_;
    double averageHoldMs_ = 0; ///< Moving average over the shares that have ended.
    bool isGranting_ = false;
};

} // namespace magnolia::forward

#endif
