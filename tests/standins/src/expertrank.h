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
 * The engine alone keeps the prepared map, so that an agent that restarts can read it back.
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

    /** Runs one step, unless held. */
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

    Json toJson() const;

    /** @return the map of each step so far, as `[{"from_step", "map"}]`. */
    Json history() const;

    /** Each returns nothing if it was done, or why not. Idempotent. */
    std::optional<std::string> prepare(std::uint64_t map, std::uint64_t epoch, std::uint64_t holdStep);
    std::optional<std::string> commit(std::uint64_t map, std::uint64_t epoch);
    std::optional<std::string> abort(std::uint64_t map, std::uint64_t epoch);

private:
    struct Prepared {
        std::uint64_t map = 0;
        std::uint64_t epoch = 0;
        std::uint64_t holdStep = 0;
        bool isCommitted = false;
    };

    struct MapUse {
        std::uint64_t fromStep = 0;
        std::uint64_t map = 0;
    };

    void switchIfDue();

    Options options_;
    std::uint64_t step_ = 0; ///< The next one to run.
    std::uint64_t epoch_ = 0;
    std::uint64_t map_ = 0;
    std::set<std::uint64_t> loaded_{0};
    std::optional<Prepared> prepared_;
    std::vector<std::uint64_t> load_;
    std::vector<MapUse> history_{{}};
    std::size_t shift_ = 0;
};

} // namespace magnolia::standins

#endif
