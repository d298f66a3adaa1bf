#ifndef MAGNOLIA_ROUTING_COLDENDPOINTS_H
#define MAGNOLIA_ROUTING_COLDENDPOINTS_H

#include "base/clock.h"
#include "routing/coldrate.h"
#include "routing/coldrateshare.h"
#include "routing/routetable.h"
#include "routing/turnholders.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** By what an endpoint is taken for cold. */
enum class ColdSource : std::uint8_t {
    Registration, ///< Its registration states a remaining time.
    Start, ///< It, or a later run of it, has been registered since this entry's start.
    Answer, ///< An answer states a remaining time.
    Unreachable, ///< No connection could be established, so that what answers next has just started.
    Return, ///< Its data centre takes requests again.
};

/**
 * Decides which endpoints are cold, and whether this entry may send one of them a request.
 *
 * Only endpoints of services with a configured ColdStart are ever cold, and only with a bound. Keeps what holds for all endpoints; the state of each is its
 * ColdRateShare. Lives as long as its entry's task. Not thread-safe.
 *
 * @code
 * cold.setServices(config.services);
 * cold.onListed({.id = id, .service = service, .coldUntil = until, .version = 7}, share, now);
 * if (cold.mayDispatch(id, service, share, now)) { cold.onDispatch(service, share, now); send(); }
 * @endcode
 */
class ColdEndpoints
{
public:
    /** What an endpoint's registration says. */
    struct Listing {
        std::string_view service;
        BootTime coldUntil; ///< The epoch: not cold.
        std::uint64_t version = 0; ///< Of the list, at the registration's last change; 0: unknown.
    };

    /** An endpoint as far as its share depends on it. */
    struct Subject {
        std::string_view id;
        std::string_view service;
        ColdRateShare &share;
    };

    /** @param bound nothing: no endpoint is ever cold. */
    explicit ColdEndpoints(std::optional<ColdBound> bound) : bound_(bound) {}

    void setServices(std::span<const Service> services);

    /** Sets which entries there are, see TurnHolders. Until then this entry holds no turns. */
    void setInstances(std::string own, std::vector<std::string> others)
    {
        holders_.setInstances(std::move(own), std::move(others));
    }

    /** @return the names of the services whose endpoints may be cold. */
    std::vector<std::string> services() const;

    /** The first full list was received: endpoints that are registered from now on have started during operation. */
    void onFirstListComplete()
    {
        isFirstListComplete_ = true;
    }

    /** A registration was received. @return why the endpoint has become cold; nothing if it was cold before or is not cold. */
    std::optional<ColdSource> onListed(const Listing &listing, ColdRateShare &share, BootTime now) const;

    /** The endpoint states that it is cold until then. @return true if it was not known to be. */
    bool onStated(std::string_view service, ColdRateShare &share, BootTime until, BootTime now) const;

    /** The endpoint may have just started. @return true if it has become cold. */
    bool assumeCold(std::string_view service, ColdRateShare &share, BootTime now) const;

    bool isCold(std::string_view service, const ColdRateShare &share, BootTime now) const
    {
        return share.isCold(now) && rateOf(service) != nullptr;
    }

    /** @return true also if the endpoint is not cold. */
    bool mayDispatch(const Subject &endpoint, BootTime now) const;

    void onDispatch(std::string_view service, ColdRateShare &share, BootTime now) const;

    /** @return when the endpoint may be sent a request by this entry, at the latest when it is no longer cold. */
    BootTime nextDispatchAt(const Subject &endpoint, BootTime now) const;

    /** Whether the endpoint is cold and this entry holds no turns for it. */
    bool isWithheld(const Subject &endpoint, BootTime now) const;

    /** @return how many of its slots a cold endpoint can use, as if each request held its slot for a second. */
    std::uint32_t usableSlots(std::string_view service, const ColdRateShare &share, std::uint32_t slots, BootTime now) const;

private:
    struct ServiceRate {
        Duration time{0};
        ColdRate rate;
    };

    const ServiceRate *rateOf(std::string_view service) const;

    std::optional<ColdBound> bound_;
    TextMap<ServiceRate> services_;
    TurnHolders holders_;
    bool isFirstListComplete_ = false;
};

} // namespace magnolia::routing

#endif
