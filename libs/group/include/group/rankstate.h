#ifndef MAGNOLIA_GROUP_RANKSTATE_H
#define MAGNOLIA_GROUP_RANKSTATE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** Expert maps of a group of engines that run their passes together, changed without any pass on two maps. */
namespace magnolia::group
{

/** A map that a rank will begin to use with a pass. */
struct ArmedMap {
    std::uint64_t version = 0;
    std::uint64_t step = 0; ///< The first pass on it.

    bool operator==(const ArmedMap &) const = default;
};

/** What an engine says of itself as a rank of its group. */
struct RankState {
    std::string group{};
    std::uint64_t epoch = 0; ///< Grows each time that the group forms anew.
    std::uint32_t rank = 0;
    std::uint32_t size = 0; ///< Ranks of the group.
    bool isOpen = false; ///< The group runs passes.
    std::uint64_t step = 0; ///< The last pass that was begun.
    std::uint64_t mapVersion = 0; ///< Version in use; 0 is the one that a group forms with.
    std::uint64_t preparedVersion = 0; ///< Version that is there whole, to be armed; 0: none.
    std::optional<ArmedMap> armed{};
    std::optional<std::uint64_t> heldStep{}; ///< The pass that does not begin until it is let go.
    std::uint32_t runningRequests = 0;
    std::uint32_t waitingRequests = 0;
    double pace = 1; ///< Above 1 it is slow.
    std::uint64_t incarnation = 0; ///< Unix millisecond of the engine's start; 0: not stated.

    bool operator==(const RankState &) const = default;
};

/** Experts by set, then by rank. */
using ExpertMap = std::vector<std::vector<std::vector<std::uint16_t>>>;

/** A map that many orders carry without copying it: one of many ranks has thousands of lists. Never changes once it is made. */
class SharedMap
{
public:
    SharedMap() = default;
    SharedMap(ExpertMap map) : map_(std::make_shared<const ExpertMap>(std::move(map))) {} // NOLINT(google-explicit-constructor): the same value

    /** @return an empty one where there is none. */
    const ExpertMap &operator*() const
    {
        static const ExpertMap none;
        return map_ ? *map_ : none;
    }
    bool empty() const
    {
        return (**this).empty();
    }

private:
    std::shared_ptr<const ExpertMap> map_;
};

enum class RankOrderKind : std::uint8_t {
    Heartbeat, ///< Nothing to do: says who coordinates.
    Prepare, ///< Take on what a map needs.
    Arm, ///< Use the prepared map from a pass on.
    Disarm,
    Hold, ///< Do not begin a pass.
    Release, ///< Begin it.
};

/** @return "follow", "prepare", "arm", "disarm", "hold" or "release". */
std::string_view toString(RankOrderKind kind);

/** One order to one rank. */
struct RankOrder {
    RankOrderKind kind = RankOrderKind::Heartbeat;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0; ///< Of Prepare, Arm and Disarm.
    std::uint64_t step = 0; ///< Of Arm, Hold and Release.
    SharedMap map{}; ///< Of Prepare.
    bool isFresh = false; ///< Of Prepare: no rank was armed or held when the change was begun.
};

/** An order to arm that an agent gave to the engine of another rank. */
struct PeerArm {
    std::uint32_t rank = 0; ///< Of that engine.
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::uint64_t step = 0;
    bool isAccepted = false; ///< The engine said so; else it may have been carried out, or may be later.

    bool operator==(const PeerArm &) const = default;
};

/** What became of an order, as far as the answer tells. */
enum class OrderOutcome : std::uint8_t {
    Accepted, ///< Begun or done.
    Conflict, ///< The rank's state forbids it.
    Unknown, ///< No answer: it may have been carried out, or may be later.
};

} // namespace magnolia::group

#endif
