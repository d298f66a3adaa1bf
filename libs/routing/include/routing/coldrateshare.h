#ifndef MAGNOLIA_ROUTING_COLDRATESHARE_H
#define MAGNOLIA_ROUTING_COLDRATESHARE_H

#include "base/clock.h"
#include "routing/coldrate.h"
#include "routing/turnholders.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace magnolia::routing
{

/** Far longer than any service's endpoints are cold. A longer time that is stated is not believed. */
constexpr Duration MaxColdTime{600'000};

/**
 * Until when one run of an endpoint is cold, and when this entry may send it a request meanwhile.
 *
 * The entries that hold turns for the endpoint divide its rate. Each sends evenly spaced requests, since all of them together then exceed the rate by at
 * most about one request for each holder in any second, whatever their phases. A turn that passes unused stays available, but is not added to the next one.
 * Not thread-safe.
 *
 * @code
 * share.extend(now + remaining);
 * if (!share.isCold(now) || share.canSend({.endpoint = id, .rate = rate, .holders = holders}, now)) { share.onSent(now); send(); }
 * @endcode
 */
class ColdRateShare
{
public:
    /** What the endpoint's rate depends on. */
    struct Terms {
        std::string_view endpoint; ///< Its id.
        ColdRate rate;
        const TurnHolders &holders;
    };

    /** The endpoint is cold until then, unless it is known to be cold for longer. @return true if it was not cold before. */
    bool extend(BootTime until, BootTime now);

    bool isCold(BootTime now) const
    {
        return now < coldUntil_;
    }
    BootTime coldUntil() const
    {
        return coldUntil_;
    }

    /** @return true if a request may be sent to the cold endpoint now. */
    bool canSend(const Terms &terms, BootTime now);

    /** Uses up the current turn. */
    void onSent(BootTime now);

    /** @return when this entry's next turn comes; nothing if it holds none. */
    std::optional<BootTime> nextTurnAt(const Terms &terms, BootTime now);

    /** @return the turns of this entry per second, as last determined. */
    double turnsPerSecond() const;

    /** A version of the registration was received. @return true if what it states has not been applied yet. @param version 0: not known. */
    bool onListed(std::uint64_t version);

    /** Whether a registration of this run was received before. */
    bool isListed() const
    {
        return isListed_;
    }

private:
    void updateShare(const Terms &terms, BootTime now);

    BootTime coldUntil_;
    BootTime nextSendAt_;
    BootClock::duration interval_{0}; ///< Between two requests of this entry.
    bool isHolder_ = false;
    std::uint64_t generation_ = 0; ///< Of the names by which the share was determined; 0: not determined.
    bool isListed_ = false;
    std::uint64_t listedVersion_ = 0;
};

} // namespace magnolia::routing

#endif
