#ifndef MAGNOLIA_EXPERTS_EXPERTMAP_H
#define MAGNOLIA_EXPERTS_EXPERTMAP_H

#include "base/failure.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::experts
{

using Rank = std::uint16_t;
using Expert = std::uint16_t;
using Layer = std::uint16_t;

/**
 * Which ranks of a group hold a replica of which expert, per layer.
 *
 * A value type; any thread may use its own copy. A rank holds at most one replica of an expert.
 *
 * @code
 * ExpertMap map({.ranks = 4, .layers = 1, .experts = 8});
 * map.add(0, 5, 2); // layer 0: expert 5 on rank 2
 * const Result<ExpertMap> copy = ExpertMap::decode(map.encode());
 * @endcode
 */
class ExpertMap
{
public:
    struct Shape {
        Rank ranks = 0; ///< 1 to MaxRanks
        Layer layers = 1; ///< 1 to MaxLayers
        Expert experts = 0; ///< 1 to MaxExperts

        bool operator==(const Shape &) const = default;
    };

    static constexpr std::size_t MaxRanks = 4096;
    static constexpr std::size_t MaxLayers = 256;
    static constexpr std::size_t MaxExperts = 1024;
    static constexpr std::size_t MaxEncodedBytes = 8U << 20U;

    ExpertMap() = default;
    explicit ExpertMap(Shape shape);

    /** @return a map with each expert on consecutive ranks, all slots used as evenly as they go. */
    static ExpertMap roundRobin(Shape shape, std::uint32_t slotsPerRank);

    const Shape &shape() const;

    /** @return the ranks that hold a replica, in rising order. */
    std::span<const Rank> replicas(Layer layer, Expert expert) const;

    bool holds(Layer layer, Expert expert, Rank rank) const;

    /** @return false if the rank holds it already. */
    bool add(Layer layer, Expert expert, Rank rank);

    /** @return false if the rank does not hold it. */
    bool remove(Layer layer, Expert expert, Rank rank);

    /** @return the experts that a rank holds in one layer, in rising order. */
    std::vector<Expert> expertsOf(Layer layer, Rank rank) const;

    /** @return whether each expert of each layer has a replica, so that every token can be served. */
    bool isComplete() const;

    /** @return how many replicas this map has that another one lacks at the same rank: what a switch has to load. */
    std::size_t replicasMissingFrom(const ExpertMap &other) const;

    /** @return CBOR, for wire::SwitchMessage::payload. */
    std::string encode() const;

    /** @return JSON text with the same members ("ranks", "layers"), for the table's row and the engine's load order. */
    std::string toJson() const;

    static Result<ExpertMap> decode(std::string_view cbor);
    static Result<ExpertMap> fromJson(std::string_view text);

    bool operator==(const ExpertMap &) const = default;

private:
    std::size_t indexOf(Layer layer, Expert expert) const;

    Shape shape_;
    std::vector<std::vector<Rank>> replicas_; // by layer, then expert
};

} // namespace magnolia::experts

#endif
