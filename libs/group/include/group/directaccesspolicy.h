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
 * Decides when a coordinator may contact an engine directly because its agent is unresponsive.
 *
 * A held group makes no passes while one agent is unreachable, for instance because its process is frozen, although the engine itself would answer. Engines do
 * not check terms, however, so a coordinator that has been replaced without noticing could corrupt its successor's switch. Engines are therefore contacted
 * directly only while all other agents report that they follow this term, which they do for one coordinator at a time. The state read from an engine directly
 * permits a release only after all other agents have reported again. A value type.
 *
 * @code
 * policy.onAgentReport(rank, now);
 * if (policy.isUnresponsive(rank, now) && policy.mayContactEngines(now)) { queryEngineState(rank); }
 * @endcode
 */
class DirectAccessPolicy
{
public:
    struct Options {
        Duration reportTimeout{400}; ///< Agents report about every 100 ms, or less often while their instance is busy.
        std::size_t ranksPerUnresponsive = 6; ///< One in this many ranks may be unresponsive. If more are, it is more likely that this coordinator is cut off.
    };

    explicit DirectAccessPolicy(Options options) : options_(options) {}

    /** Discards all records and sets the number of ranks. */
    void reset(std::size_t ranks)
    {
        agentReportedAt_.assign(ranks, BootTime());
        engineQueriedAt_.assign(ranks, BootTime());
    }

    /** @return the number of ranks. */
    std::size_t size() const
    {
        return agentReportedAt_.size();
    }

    /** Records a report of the rank's agent under this term. */
    void onAgentReport(std::uint32_t rank, BootTime now)
    {
        agentReportedAt_.at(rank) = now;
    }

    /** Records an answer of the rank's engine to a direct query. @param queriedAt when the query was sent. */
    void onEngineAnswer(std::uint32_t rank, BootTime queriedAt)
    {
        engineQueriedAt_.at(rank) = queriedAt;
    }

    /** A rank that the group does not have counts as unresponsive. */
    bool isUnresponsive(std::uint32_t rank, BootTime now) const
    {
        return rank >= agentReportedAt_.size() || now - agentReportedAt_[rank] > options_.reportTimeout;
    }

    /** Whether all agents but one follow this term, so that no other coordinator can be active. */
    bool areOthersResponsive(std::uint32_t except, BootTime now) const
    {
        for (std::uint32_t rank = 0; rank < agentReportedAt_.size(); ++rank) {
            if (rank != except && isUnresponsive(rank, now)) {
                return false;
            }
        }
        return !agentReportedAt_.empty();
    }

    /** Whether engines of unresponsive agents may be contacted directly. */
    bool mayContactEngines(BootTime now) const
    {
        const auto unresponsive =
            std::count_if(agentReportedAt_.begin(), agentReportedAt_.end(), [&](BootTime reportedAt) { return now - reportedAt > options_.reportTimeout; });
        return unresponsive > 0 && static_cast<std::size_t>(unresponsive) * options_.ranksPerUnresponsive <= agentReportedAt_.size();
    }

    /** Whether a pass may be released: no agent is unresponsive, or all others have reported after the engines of the unresponsive ones were queried. */
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
    std::vector<BootTime> agentReportedAt_; ///< By rank: when its agent last reported.
    std::vector<BootTime> engineQueriedAt_; ///< By rank: when its engine was last queried directly.
};

} // namespace magnolia::group

#endif
