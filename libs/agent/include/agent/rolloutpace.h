#ifndef MAGNOLIA_AGENT_ROLLOUTPACE_H
#define MAGNOLIA_AGENT_ROLLOUTPACE_H

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace magnolia::agent
{

/**
 * Decides when an endpoint that waits for a slot of a version change looks at the table again.
 *
 * Pure; one per model and endpoint that waits. Without news it looks rarely, since many wait for few slots. When a peer
 * that has changed is back, the few that are next look promptly for a short time, until the slot's row is freed as well.
 *
 * @code
 * if (isNextToMove(model, self, waitingPeers, maxMoving)) {
 *     pace.changeSeen(now, random);
 * }
 * @endcode
 */
class RolloutPace
{
public:
    struct Options {
        Duration waitingLook{4000}; ///< Mean time between looks without news.
        Duration promptLook{250}; ///< Mean time between looks after news.
        Duration promptTime{3000}; ///< How long news counts.
    };

    RolloutPace() : RolloutPace(Options()) {}
    explicit RolloutPace(const Options &options) : options_(options) {}

    /** A peer has come back or left, and this endpoint is among the next. */
    void changeSeen(MonoTime now, Random &random);

    /** The table has shown no slot to be had. */
    void lookedInVain(MonoTime now, Random &random);

    /** @return the table is not to be asked before. */
    MonoTime nextLook() const
    {
        return nextLook_;
    }

    bool isPrompt(MonoTime now) const
    {
        return now < promptUntil_;
    }

private:
    Options options_;
    MonoTime nextLook_;
    MonoTime promptUntil_;
};

/**
 * @param waitingPeers other endpoints that serve another version than the manifest's.
 * @return whether this endpoint is among the first maxMoving + 1 of all that wait, in rendezvous order of the model. One
 *         more than there are slots, so that one agent that is frozen doesn't hold up the change.
 */
bool isNextToMove(std::string_view model, std::string_view endpoint, const std::set<std::string> &waitingPeers, std::uint32_t maxMoving);

} // namespace magnolia::agent

#endif
