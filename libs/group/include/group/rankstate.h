#ifndef MAGNOLIA_GROUP_RANKSTATE_H
#define MAGNOLIA_GROUP_RANKSTATE_H

#include "base/statedincarnation.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** Expert maps of a group of engines that run their passes in lock-step, and map switches during which no pass runs on two maps. */
namespace magnolia::group
{

/** A map that a rank will use from a given pass on. */
struct ArmedMap {
    std::uint64_t version = 0;
    std::uint64_t step = 0; ///< The first pass that uses the map.

    bool operator==(const ArmedMap &) const = default;
};

/** The state that an engine reports as a rank of its group. */
struct RankState {
    std::string group{};
    std::uint64_t epoch = 0; ///< Increases each time the group forms again.
    std::uint32_t rank = 0;
    std::uint32_t size = 0; ///< Number of ranks in the group.
    bool isOpen = false; ///< Whether the group runs passes.
    std::uint64_t step = 0; ///< The last pass that has begun.
    std::uint64_t mapVersion = 0; ///< Version in use; 0: the map that a group forms with.
    std::uint64_t preparedVersion = 0; ///< Version that is fully copied and can be armed; 0: none.
    std::optional<ArmedMap> armed{};
    std::optional<std::uint64_t> heldStep{}; ///< The pass that cannot begin until it is released.
    std::uint32_t runningRequests = 0;
    std::uint32_t waitingRequests = 0;
    double pace = 1; ///< Time for the same work relative to normal; above 1 the rank is slow.
    StatedIncarnation incarnation{};

    bool operator==(const RankState &) const = default;
};

/** The experts that each rank holds: by set, then by rank. */
using ExpertMap = std::vector<std::vector<std::vector<std::uint16_t>>>;

/** An immutable map that many orders share without copying it. The map of a large group has thousands of lists. */
class SharedMap
{
public:
    SharedMap() = default;
    SharedMap(ExpertMap map)
        : map_(std::make_shared<const ExpertMap>(std::move(map))) {} // NOLINT(google-explicit-constructor): implicit, since it holds the same value

    /** @return an empty map if there is none. */
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
    Heartbeat, ///< Only tells the agent who the coordinator is.
    Prepare, ///< Copy the experts that a map requires.
    Arm, ///< Use the prepared map from a given pass on.
    Disarm,
    Hold, ///< Do not begin a given pass.
    Release, ///< Allow a held pass to begin.
};

/** @return "follow", "prepare", "arm", "disarm", "hold" or "release". */
std::string_view toString(RankOrderKind kind);

/** An order to one rank. */
struct RankOrder {
    RankOrderKind kind = RankOrderKind::Heartbeat;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0; ///< Map version; used by Prepare, Arm and Disarm.
    std::uint64_t step = 0; ///< Pass; used by Arm, Hold and Release.
    SharedMap map{}; ///< The map to prepare; used by Prepare.
    bool isFresh = false; ///< Used by Prepare: no rank was armed or held when the switch began.
};

/** An order to arm that an agent sent to the engine of another rank. */
struct PeerArm {
    std::uint32_t rank = 0; ///< Rank of that engine.
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::uint64_t step = 0;
    bool isAccepted = false; ///< The engine has accepted the order. If false, it may have been executed or may still be.

    bool operator==(const PeerArm &) const = default;
};

/** Outcome of an order, as far as it is known. */
enum class OrderOutcome : std::uint8_t {
    Accepted, ///< Being executed or done.
    Conflict, ///< Rejected because of the rank's state.
    Unknown, ///< No answer: the order may have been executed or may still be.
};

} // namespace magnolia::group

#endif
