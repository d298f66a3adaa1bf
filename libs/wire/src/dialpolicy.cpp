#include "wire/dialpolicy.h"

#include <algorithm>
#include <random>

namespace magnolia::wire
{

void DialPolicy::noteUp(MonoTime now)
{
    upSince_ = now;
    peerLost_ = false;
}

DialPolicy::Decision DialPolicy::noteDown(MonoTime now, Random &random)
{
    if (now - upSince_ >= options_.stableAfter) {
        backoffs_ = 0;
        return {.delay = Duration::zero(), .peerLost = false};
    }
    return {.delay = nextBackoff(random), .peerLost = false};
}

DialPolicy::Decision DialPolicy::noteFailedAttempt(Random &random)
{
    const bool firstOfOutage = !peerLost_;
    peerLost_ = true;
    return {.delay = nextBackoff(random), .peerLost = firstOfOutage};
}

// Half of each delay is random. Without it all the dialers of an agent that was restarted would come back in step, at each
// attempt anew, and the handshakes of some hundreds of links would fall into the same millisecond.
Duration DialPolicy::nextBackoff(Random &random)
{
    constexpr unsigned MaxDoublings = 16;
    const Duration doubled = options_.firstDelay * (1U << std::min(backoffs_, MaxDoublings));
    const Duration whole = std::min(doubled, options_.maxDelay);
    ++backoffs_;
    std::uniform_int_distribution<Duration::rep> jitter(0, whole.count() / 2);
    return whole - Duration(jitter(random));
}

} // namespace magnolia::wire
