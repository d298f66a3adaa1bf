#ifndef MAGNOLIA_WIRE_DIALPOLICY_H
#define MAGNOLIA_WIRE_DIALPOLICY_H

#include "base/clock.h"
#include "base/random.h"

#include <optional>

namespace magnolia::wire
{

/**
 * Decides when a lost link is dialled again, and when its peer is to be reported lost. Pure: the time comes in.
 *
 * A link that had lasted is replaced at once: an open connection may be dead while new ones work. Only when such a fresh
 * connection fails too is the peer lost; further attempts follow with exponential backoff and jitter.
 */
class DialPolicy
{
public:
    struct Options {
        Duration firstDelay{100};
        Duration maxDelay{3000};
        Duration stableAfter{2000}; ///< A link that lasted for less is replaced with backoff, lest two peers loop.
    };

    struct Decision {
        Duration delay{0}; ///< Before the next attempt.
        bool peerLost = false; ///< To be reported now; true once in an outage.
    };

    explicit DialPolicy(Options options) : options_(options) {}

    /** A fresh link is ready. */
    void noteUp(MonoTime now);

    /** A link that was ready has ended. */
    Decision noteDown(MonoTime now, Random &random);

    /** An attempt has failed before its link was ready. */
    Decision noteFailedAttempt(Random &random);

private:
    Duration nextBackoff(Random &random);

    Options options_;
    MonoTime upSince_{};
    unsigned backoffs_ = 0;
    bool peerLost_ = false;
};

} // namespace magnolia::wire

#endif
