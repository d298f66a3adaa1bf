#ifndef MAGNOLIA_FORWARD_ATTEMPTHISTORY_H
#define MAGNOLIA_FORWARD_ATTEMPTHISTORY_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::forward
{

/**
 * The endpoints to which one request was dispatched, for the route's limit on their number. A value type.
 *
 * @code
 * attempts.add(endpoint.id);
 * if (attempts.allowsAnother(route.maxEndpoints)) { dispatchElsewhere(); }
 * @endcode
 */
class AttemptHistory
{
public:
    void add(const std::string &id)
    {
        tried_.push_back(id);
        if (std::find(reached_.begin(), reached_.end(), id) == reached_.end()) {
            reached_.push_back(id);
        }
        ++count_;
    }

    /** Removes the last attempt from the count, so that its endpoint may be tried again: the request did not arrive, or waits for the endpoint's group. */
    void forgetLast()
    {
        tried_.pop_back();
    }

    bool allowsAnother(std::size_t maxEndpoints) const
    {
        return tried_.size() < maxEndpoints;
    }

    /** The request was dispatched to the maximum number of endpoints, so another attempt has to go to one of them. */
    bool hasReachedLimit(std::size_t maxEndpoints) const
    {
        return reached_.size() >= maxEndpoints;
    }

    /** Ids of endpoints that must not be tried again. */
    std::span<const std::string> tried() const
    {
        return tried_;
    }

    /** As tried(), without the endpoint of the last counted attempt. */
    std::span<const std::string> triedBeforeLast() const
    {
        return tried().first(tried_.empty() ? 0 : tried_.size() - 1);
    }

    /** Id of the endpoint of the last counted attempt; empty if there is none. */
    std::string_view lastTried() const
    {
        return tried_.empty() ? std::string_view() : std::string_view(tried_.back());
    }

    /** Id of the endpoint that was added last for the first time. Valid only after add(). */
    const std::string &lastReached() const
    {
        return reached_.back();
    }

    std::uint32_t count() const ///< All attempts, also the forgotten ones.
    {
        return count_;
    }

private:
    std::vector<std::string> tried_;
    std::vector<std::string> reached_; ///< Each id once.
    std::uint32_t count_ = 0;
};

} // namespace magnolia::forward

#endif
