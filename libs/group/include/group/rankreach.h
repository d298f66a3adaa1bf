#ifndef MAGNOLIA_GROUP_RANKREACH_H
#define MAGNOLIA_GROUP_RANKREACH_H

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
class RankReach
{
public:
    struct Options {
        Duration silence{400}; ///< Agents report about every 100 ms, and later while their instance is busy.
        std::size_t ranksForEachSilent = 6; ///< Of so many ranks one may be silent; with more, it is rather this side that is cut off.
    };

    explicit RankReach(Options options) : options_(options) {}

    /** Forgets all, for a group of so many ranks. */
    void reset(std::size_t ranks)
    {
        agents_.assign(ranks, BootTime());
        engines_.assign(ranks, BootTime());
    }

    /** The rank's agent reported under this term. */
    void heard(std::uint32_t rank, BootTime now)
    {
        agents_.at(rank) = now;
    }

    /** The rank's engine answered a question of ours; the question was put at that time. */
    void engineAsked(std::uint32_t rank, BootTime askedAt)
    {
        engines_.at(rank) = askedAt;
    }

    bool isSilent(std::uint32_t rank, BootTime now) const
    {
        return now - agents_.at(rank) > options_.silence;
    }

    /** All agents but this one follow this term, so no other coordinator can be at work. */
    bool areAllHeard(std::uint32_t except, BootTime now) const
    {
        for (std::uint32_t rank = 0; rank < agents_.size(); ++rank) {
            if (rank != except && isSilent(rank, now)) {
                return false;
            }
        }
        return !agents_.empty();
    }

    /** Engines of silent ranks may be addressed. */
    bool mayAddress(BootTime now) const
    {
        const auto silent = std::count_if(agents_.begin(), agents_.end(), [&](BootTime heardAt) { return now - heardAt > options_.silence; });
        return silent > 0 && static_cast<std::size_t>(silent) * options_.ranksForEachSilent <= agents_.size();
    }

    /** A pass may be released: no agent is silent, or all others reported after the silent ones' engines were asked. */
    bool mayRelease(BootTime now) const
    {
        BootTime lastAsked;
        for (std::uint32_t rank = 0; rank < agents_.size(); ++rank) {
            if (isSilent(rank, now)) {
                lastAsked = std::max(lastAsked, engines_[rank]);
            }
        }
        for (std::uint32_t rank = 0; rank < agents_.size(); ++rank) {
            if (!isSilent(rank, now) && agents_[rank] <= lastAsked) {
                return false;
            }
        }
        return true;
    }

private:
    Options options_;
    std::vector<BootTime> agents_; ///< When each rank's agent last reported.
    std::vector<BootTime> engines_; ///< When each rank's engine was last asked directly.
};

} // namespace magnolia::group

#endif
