#ifndef MAGNOLIA_GROUP_MAPASSEMBLER_H
#define MAGNOLIA_GROUP_MAPASSEMBLER_H

#include "group/rankstate.h"
#include "mapcodec.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace magnolia::group
{

/**
 * The map in use, put together from what each rank says that it holds.
 *
 * A coordinator may have begun long after the map was made, so it believes the ranks only. Pure. Not thread-safe.
 *
 * @code
 * held.note(report.rank, report.expertsVersion, experts);
 * if (const auto &map = held.joined(size)) { plan(*map); }
 * @endcode
 */
class MapAssembler
{
public:
    /** Forgets all: the group has formed anew. */
    void clear();

    /** @return whether the rank was noted under this version; versions are never used twice within an epoch. */
    bool hasRank(std::uint32_t rank, std::uint64_t version) const;

    void setRank(std::uint32_t rank, std::uint64_t version, ExpertsBySet experts);

    /** @return whether something was noted since this was asked last. */
    bool takeChanged();

    /** @return nothing while ranks are missing or hold different versions. */
    std::optional<ExpertMap> assemble(std::size_t ranks) const;

    /**
     * The map in use as far as all ranks but one tell it: the absent one holds at least what no other does. Prepared in place of a
     * map that is given up, it costs no rank a copy, and it is never armed.
     */
    std::optional<ExpertMap> assembleWithout(std::uint32_t absent, std::size_t ranks, std::size_t experts) const;

    /** @return that of the joined map; only if there is one. */
    std::uint64_t version() const
    {
        return rankParts_.begin()->second.version;
    }

private:
    struct RankPart {
        std::uint64_t version = 0;
        ExpertsBySet experts;
    };

    bool isSameVersionEverywhere() const;

    std::map<std::uint32_t, RankPart> rankParts_; ///< By rank.
    bool isChanged_ = true;
};

} // namespace magnolia::group

#endif
