#ifndef MAGNOLIA_GROUP_COUNTDIFFERENCES_H
#define MAGNOLIA_GROUP_COUNTDIFFERENCES_H

#include "group/engineport.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::group
{

/** What a read of an engine's counts was taken for. */
enum class CountsRead : std::uint8_t {
    First, ///< Nothing to compare with: how long the counts have been growing is unknown.
    Continued, ///< Of the same run as the previous read.
    Restarted, ///< The engine has restarted since the previous read; all counts are new.
    Dropped, ///< A late answer of an earlier run.
};

/** @return "first", "continued", "restarted" or "dropped". */
constexpr std::string_view toString(CountsRead read)
{
    constexpr std::string_view Names[] = {"first", "continued", "restarted", "dropped"};
    return Names[static_cast<std::size_t>(read)];
}

/**
 * The choices of experts between two reads of an engine's counts, which grow from the engine's start on.
 *
 * Engines may omit their incarnation from counts. A restart then shows only in counts that are lower than before. Lives as long as its agent's task. Not
 * thread-safe.
 *
 * @code
 * if (differences.add(counts, state.incarnation) != CountsRead::Dropped) { report.counts = encodeCounts(differences.take()); }
 * @endcode
 */
class CountDifferences
{
public:
    /** @param engine incarnation of the engine as of its latest state. */
    CountsRead add(const ExpertCounts &counts, const StatedIncarnation &engine)
    {
        if (counts.incarnation.isEarlierThan(engine)) {
            return CountsRead::Dropped;
        }
        const CountsRead read = compare(counts);
        latest_.assign(counts.counts.size(), 0);
        for (std::size_t index = 0; read != CountsRead::First && index < counts.counts.size(); ++index) {
            latest_[index] = counts.counts[index] - (read == CountsRead::Continued ? previous_->counts[index] : 0);
        }
        previous_ = counts;
        return read;
    }

    /** The engine is known to have restarted. */
    void reset()
    {
        previous_.reset();
        latest_.clear();
    }

    /** @return the choices between the last two reads; empty if they were taken. All experts of the first set, then all of the second, and so on. */
    const std::vector<std::uint64_t> &latest() const
    {
        return latest_;
    }
    std::vector<std::uint64_t> take()
    {
        return std::exchange(latest_, {});
    }

private:
    CountsRead compare(const ExpertCounts &counts) const
    {
        if (!previous_ || previous_->counts.size() != counts.counts.size() || previous_->incarnation.isOtherRunThan(counts.incarnation)) {
            return CountsRead::First;
        }
        const bool hasAnyDropped = !std::equal(counts.counts.begin(), counts.counts.end(), previous_->counts.begin(), std::greater_equal<>());
        return hasAnyDropped ? CountsRead::Restarted : CountsRead::Continued;
    }

    std::optional<ExpertCounts> previous_;
    std::vector<std::uint64_t> latest_;
};

} // namespace magnolia::group

#endif
