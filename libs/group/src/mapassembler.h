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
 * Assembles the map in use from the experts that each rank reports.
 *
 * A coordinator may have started long after the map was created, so the ranks are its only source. Does no I/O. Not thread-safe.
 *
 * @code
 * assembler.setRank(report.rank, report.expertsVersion, experts);
 * if (const auto map = assembler.assemble(size)) { plan(*map); }
 * @endcode
 */
class MapAssembler
{
public:
    /** @param expertsPerSet experts are numbered from 0; a part with a higher number is rejected. */
    explicit MapAssembler(std::size_t expertsPerSet) : expertsPerSet_(expertsPerSet) {}

    /** Discards all parts, for a new epoch of the group. */
    void clear();

    /** @return whether the rank's experts are known for this version. Versions are never reused within an epoch. */
    bool hasRank(std::uint32_t rank, std::uint64_t version) const;

    /** @return false if the part names an expert that does not exist; it is ignored then. */
    bool setRank(std::uint32_t rank, std::uint64_t version, ExpertsBySet experts);

    /** @return whether any part has changed since the last call. */
    bool takeChanged();

    /** @return nothing while ranks are missing or report different versions. */
    std::optional<ExpertMap> assemble(std::size_t ranks) const;

    /**
     * Assembles the map in use without the report of one rank. That rank holds at least the experts that no other rank holds. The result is only prepared to
     * replace an abandoned map: this requires no copies, and the map is never armed.
     */
    std::optional<ExpertMap> assembleWithout(std::uint32_t absent, std::size_t ranks) const;

    /** @return the version of the assembled map; requires that there is one. */
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
    bool hasOnlyRanksBelow(std::size_t ranks) const;

    std::size_t expertsPerSet_;
    std::map<std::uint32_t, RankPart> rankParts_; ///< By rank.
    bool isChanged_ = true;
};

} // namespace magnolia::group

#endif
