#ifndef MAGNOLIA_AGENT_REPORTSCHEDULE_H
#define MAGNOLIA_AGENT_REPORTSCHEDULE_H

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>

namespace magnolia::agent
{

/**
 * When an agent's next load report is due on one link.
 *
 * Pure. A report is also the link's heartbeat, so it is sent a little more often than one would be due. Changes are
 * reported sooner, but no more often than the budgets of both ends allow. One for each link, as old as the link.
 */
class ReportSchedule
{
public:
    struct Options {
        Duration interval{1000}; ///< While the link's pace allows it.
    };

    /** How often things have changed since the agent's start. */
    struct Changes {
        std::uint64_t load = 0; ///< Queues and what runs.
        std::uint64_t state = 0; ///< What is served or loaded, and the manifest: work is lost or misled by old news of it.

        bool operator==(const Changes &) const = default;
    };

    /** The link's pace, as wire::Link gives it. */
    struct Pace {
        Duration heartbeatInterval{500};
        Duration spacing{0};
    };

    explicit ReportSchedule(const Options &options) : options_(options) {}

    bool isDue(MonoTime now, const Changes &changes, const Pace &pace) const;

    void noteSent(MonoTime now, const Changes &changes, Random &random);

private:
    Options options_;
    MonoTime lastSent_{};
    Changes sent_;
    int percent_ = 0; ///< Of the interval, until the next report: links shall not all be served at once. 0: none was sent.
};

} // namespace magnolia::agent

#endif
