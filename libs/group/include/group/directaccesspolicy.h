#ifndef MAGNOLIA_GROUP_DIRECTACCESSPOLICY_H
#define MAGNOLIA_GROUP_DIRECTACCESSPOLICY_H

#include "base/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnolia::group
{

/**
 * Judges when a coordinator may speak with an engine itself, past an agent that has fallen silent.
 *
 * A group that is held stands still for as long as one agent can't be reached, e.g. since its instance is frozen, while the
 * engine beside it would answer. But an engine does not know terms: a coordinator that has been replaced without knowing it
 * could spoil its successor's switch. So engines are addressed directly only while all other agents say that they follow
 * this term, which they can say to one coordinator at a time, and what a silent rank's engine said counts for a release
 * only once all others have said so again. A value type.
 *
 * @code
 * reach.heard(rank, now);
 * if (reach.isSilent(rank, now) && reach.mayAddress(now)) { readDirectly(rank); }
 * @endcode
 */
class DirectAccessPolicy
{
public:
    struct Options {
        Duration reportTimeout{400}; ///< Agents report about every 100 ms, and later while their instance is busy.
        std::size_t ranksPerUnresponsive = 6; ///< Of so many ranks one may be silent; with more, it is rather this side that is cut off.
    };

    explicit DirectAccessPolicy(Options options) : options_(options) {}

    /** Forgets all, for a group of so many ranks. */
    void reset(std::size_t ranks)
    {
        agentReportedAt_.assign(ranks, BootTime());
        engineQueriedAt_.assign(ranks, BootTime());
    }

    /** The rank's agent reported under this term. */
    void onAgentReport(std::uint32_t rank, BootTime now)
    {
        agentReportedAt_.at(rank) = now;
    }

    /** The rank's engine answered a question of ours; the question was put at that time. */
    void onEngineAnswer(std::uint32_t rank, BootTime queriedAt)
    {
        engineQueriedAt_.at(rank) = queriedAt;
    }

    bool isUnresponsive(std::uint32_t rank, BootTime now) const
    {
        return now - agentReportedAt_.at(rank) > options_.reportTimeout;
    }

    /** All agents but this one follow this term, so no other coordinator can be at work. */
    bool areOthersResponsive(std::uint32_t except, BootTime now) const
    {
        for (std::uint32_t rank = 0; rank < agentReportedAt_.size(); ++rank) {
            if (rank != except && isUnresponsive(rank, now)) {
                return false;
            }
        }
        return !agentReportedAt_.empty();
    }

    /** Engines of silent ranks may be addressed. */
    bool mayContactEngines(BootTime now) const
    {
        const auto unresponsive =
            std::count_if(agentReportedAt_.begin(), agentReportedAt_.end(), [&](BootTime reportedAt) { return now - reportedAt > options_.reportTimeout; });
        return unresponsive > 0 && static_cast<std::size_t>(unresponsive) * options_.ranksPerUnresponsive <= agentReportedAt_.size();
    }

    /** A pass may be released: no agent is silent, or all others reported after the silent ones' engines were asked. */
    bool mayReleasePass(BootTime now) const
    {
        BootTime lastQueried;
        for (std::uint32_t rank = 0; rank < agentReportedAt_.size(); ++rank) {
            if (isUnresponsive(rank, now)) {
                lastQueried = std::max(lastQueried, engineQueriedAt_[rank]);
            }
        }
        for (std::uint32_t rank = 0; rank < agentReportedAt_.size(); ++rank) {
            if (!isUnresponsive(rank, now) && agentReportedAt_[rank] <= lastQueried) {
                return false;
            }
        }
        return true;
    }

private:
    Options options_;
    std::vector<BootTime> agentReportedAt_; ///< When each rank's agent last reported.
    std::vector<BootTime> engineQueriedAt_; ///< When each rank's engine was last asked directly.
};

} // namespace magnolia::group

#endif
