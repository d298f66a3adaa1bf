#ifndef MAGNOLIA_STANDINS_EXPERTRANK_H
#define MAGNOLIA_STANDINS_EXPERTRANK_H

#include "replies.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnolia::standins
{

/**
 * An engine's part in a group of ranks: its steps, the expert map that they run on, and the map prepared to follow.
 *
 * The engine alone keeps the prepared map, so that an agent that restarts can read it back. It steps by its own clock from
 * its first epoch on and does not wait for other ranks: docs/EXPERT-MAPS.md says what follows from that.
 */
class ExpertRank
{
public:
    struct Options {
        std::string group{}; ///< Empty: the engine is in no group.
        std::uint32_t rank = 0;
        std::size_t experts = 8;
    };

    explicit ExpertRank(Options options);

    /** Runs one step, unless held or in no epoch yet. */
    void step();

    /** The experts' popularity moves on by so many experts. */
    void shiftPopularity(std::size_t by)
    {
        shift_ = by;
    }

    void mapLoaded(std::uint64_t map)
    {
        loaded_.insert(map);
    }

    bool isLoaded(std::uint64_t map) const
    {
        return loaded_.contains(map);
    }

    std::uint64_t epoch() const
    {
        return epoch_;
    }

    Json toJson() const;

    /** @return the map of each step that was run, as `[{"from_step", "map", "epoch"}]`. */
    Json history() const;

    /** Holds before a step. @return nothing if it was done, or why not. Idempotent. */
    std::optional<std::string> prepare(std::uint64_t map, std::uint64_t epoch, std::uint64_t holdStep);

    /** Without effect for a map that is not prepared. */
    void commit(std::uint64_t map, std::uint64_t epoch);

    /** Without effect for a map that is not prepared. */
    void abort(std::uint64_t map, std::uint64_t epoch);

    /** Goes on in an epoch, with a map that has been loaded. Without effect if the epoch is not higher than the engine's. */
    void join(std::uint64_t map, std::uint64_t epoch, std::uint64_t step);

private:
    struct Prepared {
        std::uint64_t map = 0;
        std::uint64_t holdStep = 0;
    };

    struct MapUse {
        std::uint64_t fromStep = 0;
        std::uint64_t map = 0;
        std::uint64_t epoch = 0;
    };

    bool isPrepared(std::uint64_t map, std::uint64_t epoch) const;
    void recordUse();

    Options options_;
    std::uint64_t step_ = 0; ///< The last one begun.
    std::uint64_t epoch_ = 0; ///< 0: none joined yet.
    std::uint64_t map_ = 0; ///< The last one committed or joined with.
    std::uint64_t mapInUse_ = 0; ///< That steps run on.
    std::set<std::uint64_t> loaded_;
    std::optional<Prepared> prepared_; ///< Held for, fate unknown.
    std::optional<Prepared> committed_; ///< Takes over at its hold step.
    std::vector<std::uint64_t> load_;
    std::vector<MapUse> history_;
    std::size_t shift_ = 0;
};

} // namespace magnolia::standins

#endif
