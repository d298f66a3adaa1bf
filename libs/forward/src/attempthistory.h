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
 * To which endpoints one request was sent, for the route's bound on them. A value type.
 *
 * @code
 * sendings.began(endpoint.id);
 * if (sendings.mayTryAnother(route.maxEndpoints)) { sendElsewhere(); }
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

    /** The last one does not count against the bound and may be tried again: it reached nobody, or waits for its group. */
    void forgetLast()
    {
        tried_.pop_back();
    }

    bool allowsAnother(std::size_t maxEndpoints) const
    {
        return tried_.size() < maxEndpoints;
    }

    /** As many endpoints as allowed have seen it, so that a further sending has to go to one of them. */
    bool hasReachedLimit(std::size_t maxEndpoints) const
    {
        return reached_.size() >= maxEndpoints;
    }

    /** Ids that are not to be tried again. */
    std::span<const std::string> tried() const
    {
        return tried_;
    }

    /** Id of the last one that counts; empty if there is none. */
    std::string_view lastTried() const
    {
        return tried_.empty() ? std::string_view() : std::string_view(tried_.back());
    }

    /** Id of the endpoint that saw it last; only after a sending. */
    const std::string &lastReached() const
    {
        return reached_.back();
    }

    std::uint32_t count() const ///< All of them.
    {
        return count_;
    }

private:
    std::vector<std::string> tried_;
    std::vector<std::string> reached_; ///< Each once.
    std::uint32_t count_ = 0;
};

} // namespace magnolia::forward

#endif
