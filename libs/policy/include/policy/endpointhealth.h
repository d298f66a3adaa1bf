#ifndef MAGNOLIA_POLICY_ENDPOINTHEALTH_H
#define MAGNOLIA_POLICY_ENDPOINTHEALTH_H

#include "base/clock.h"
#include "base/random.h"
#include "policy/backoff.h"

#include <cstdint>

namespace magnolia::policy
{

/**
 * Says whether an endpoint that failed several attempts in a row should be left alone for now.
 *
 * An endpoint that fails at once looks idle, so that choice by load would send it ever more. After some failures it is suspect,
 * and gets one probe at a time, at growing intervals with jitter, until one ends well. Refusals for want of capacity are no
 * failures. One per endpoint in an entry; lives as long as the link. Not thread-safe.
 *
 * @code
 * candidate.suspect = health.isSuspect() && !health.tryProbe(now, random);
 * @endcode
 */
class EndpointHealth
{
public:
    struct Options {
        std::uint32_t failuresToSuspect = 3; ///< In a row.
        Backoff::Options probe = {.base = Duration(500), .limit = Duration(4000)}; ///< Interval between probes.
    };

    explicit EndpointHealth(const Options &options);

    void failed(MonoTime now, Random &random);
    void succeeded();
    bool isSuspect() const;

    /** @return true if this attempt may probe a suspect endpoint; the next one has to wait. */
    bool tryProbe(MonoTime now, Random &random);

private:
    Options options_;
    Backoff backoff_;
    std::uint32_t failures_ = 0;
    MonoTime nextProbe_;
};

} // namespace magnolia::policy

#endif
