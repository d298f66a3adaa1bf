#ifndef MAGNOLIA_GROUP_MAPSWITCH_H
#define MAGNOLIA_GROUP_MAPSWITCH_H

#include "base/clock.h"
#include "group/rankstate.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia::group
{

/** An order and the rank that it is for. */
struct AddressedOrder {
    std::uint32_t rank = 0;
    RankOrder order;
    /** The rank whose instance sends the order to the engine: the same rank, or another one so that the loss of one instance does not block the switch. */
    std::uint32_t senderRank = 0;
};

/**
 * Switches a group from one expert map to another so that no pass runs on two maps.
 *
 * Engines do not compare their maps, an unanswered order may be executed seconds later, and a hold never expires. The switch therefore relies only on states
 * that ranks report, and has these steps:
 *
 * 1. Prepare the map on every rank until all ranks report it as prepared.
 * 2. Hold a pass S a few passes ahead at one rank until that rank reports the hold. From then on S cannot begin.
 * 3. Arm every rank for S until all ranks report it. Then release S: all ranks use the new map from S on.
 * 4. If a rank cannot be armed in time, disarm all ranks and prepare the map in use under a newer version on all of them. A rank that reports this version as
 * prepared is not armed, and a late order to arm the older version has no effect. Only then release S.
 *
 * If any single instance freezes or loses its network, the group must not stay held until that instance recovers. The pass is therefore held at a rank other
 * than the coordinator's, by an order sent directly to that engine, and the coordinator's own rank is armed last, by another agent. A successor can then
 * release the hold and can learn from the other agents whether that rank is armed (ArmedStateProver).
 *
 * Late orders are harmless: a late prepare because versions (term and count) are never reused, a late arm or hold because engines reject it once the pass has
 * begun, and a late release because no pass is held twice. A hold left by an earlier attempt is released as soon as no rank is armed or can become armed. Ranks
 * are only disarmed under a hold. A successor continues from the states that ranks report and completes step 3 or 4. A new epoch ends every switch: the group
 * forms with map 0 and nothing is prepared, armed or held.
 *
 * Does no I/O: takes states and the time, and returns orders. Not thread-safe.
 *
 * @code
 * MapSwitch change({.term = term});
 * change.onRankReport(state, now);
 * if (change.isIdle()) { change.begin(map, currentMap, now); }
 * for (const AddressedOrder &order : change.takeDueOrders(now)) { dispatchOrder(order); }
 * @endcode
 */
class MapSwitch
{
public:
    struct Options {
        std::uint64_t term = 0; ///< Term of this coordinator; unique.
        std::uint64_t stepsAhead = 2; ///< Passes from the last one to S. Leaves time for holding and arming without stalling the group.
        Duration orderRetry{30}; ///< Delay before an order is repeated if its effect was not reported. Short because the group may be held, and executing an
                                 ///< order twice is harmless.
        /** Delay before an order to prepare is repeated, doubled with each try: it carries a large map that may still be queued on the network interface. */
        Duration prepareRetry{400};
        /** Delay before an acknowledged order to prepare is repeated: the engine is copying, or its agent repeats the order to it. */
        Duration acknowledgedRetry{1200};
        Duration prepareLimit{6000}; ///< Time after which preparing is abandoned, since demand has changed by then.
        Duration armLimit{1200}; ///< Time after which the switch is undone, since the group makes no passes meanwhile.
    };

    enum class Phase : std::uint8_t {
        Unknown, ///< Not all ranks of the current epoch have reported.
        Idle,
        Preparing,
        Holding,
        Arming,
        Releasing, ///< All ranks are armed.
        Undoing,
        UndoReleasing,
    };

    explicit MapSwitch(Options options);

    void onRankReport(const RankState &state, BootTime now);

    /** Records the version that the rank's agent was last ordered to prepare, as the agent reports it. */
    void onPrepareAcknowledged(std::uint32_t rank, std::uint64_t version);

    /** Begins a switch; must only be called when idle. @param current the map in use, to fall back to. */
    void begin(ExpertMap map, ExpertMap current, BootTime now);

    /** @return the orders to send now. */
    std::vector<AddressedOrder> takeDueOrders(BootTime now);

    /** Sets the rank on the coordinator's own instance. */
    void setOwnRank(std::uint32_t rank)
    {
        ownRank_ = rank;
    }

    /**
     * Sets the proven state of a rank that is unreachable and has not reported. The rank gets no orders, and no switch can begin, until it reports.
     */
    void setProvenState(std::uint32_t rank, std::optional<ArmedMap> armed, BootTime now);

    /** @return the term of the coordinator that created a version. */
    static std::uint64_t termOf(std::uint64_t version);

    /** Sets the map in use, which is needed to undo a switch of a predecessor. */
    void setFallbackMap(ExpertMap current)
    {
        fallbackMap_ = std::move(current);
    }

    Phase phase() const
    {
        return phase_;
    }
    bool isIdle() const
    {
        return phase_ == Phase::Idle;
    }
    /** Whether the switch is idle and all ranks have reported. */
    bool canBegin() const
    {
        return isIdle() && !provenRank();
    }
    /** @return the rank whose state is proven but not reported. */
    std::optional<std::uint32_t> provenRank() const;
    std::uint64_t epoch() const
    {
        return epoch_;
    }
    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(ranks_.size());
    }
    /** @return the version that ranks are being ordered to prepare; 0: none. */
    std::uint64_t versionToPrepare() const
    {
        return phase_ == Phase::Preparing ? version_ : phase_ == Phase::Undoing ? undoVersion_ : 0;
    }
    std::uint64_t version() const ///< Version of the map of the current or, when idle, the last switch.
    {
        return version_;
    }
    std::uint64_t lastStep() const; ///< The highest pass that any rank has begun.
    const RankState *rank(std::uint32_t index) const;

private:
    struct Member {
        std::optional<RankState> state;
        bool isProven = false; ///< The state is proven, not reported.
        BootTime lastOrderAt; ///< When the last order was sent to it.
        std::optional<RankOrderKind> lastOrderKind;
        std::uint64_t lastOrderVersion = 0;
        std::uint32_t tries = 0; ///< Repetitions of the last order.
        std::uint64_t acknowledgedVersion = 0; ///< Version that its agent was last ordered to prepare, as reported by the agent.
    };

    void reset(const RankState &state);
    void enter(Phase phase, BootTime now);
    void advance(BootTime now);
    void resumeFromReports(BootTime now);
    bool allReported() const;
    template<typename Condition>
    bool allRanks(Condition condition) const;
    template<typename Condition>
    bool allReporting(Condition condition) const;
    std::optional<std::uint32_t> holder() const;
    std::uint64_t chooseStep(std::uint64_t ahead);
    std::uint64_t nextVersion();
    Duration retryDelay(const Member &member, const RankOrder &order) const;
    void addOrder(std::vector<AddressedOrder> &orders, std::uint32_t rank, RankOrder order, BootTime now);
    std::uint32_t defaultHolder() const;
    std::uint32_t senderFor(std::uint32_t rank, RankOrderKind kind, std::uint32_t tries) const;
    bool areOthersArmed(std::uint32_t rank) const;

    Options options_;
    Phase phase_ = Phase::Unknown;
    BootTime phaseSince_;
    std::uint64_t epoch_ = 0;
    std::vector<Member> ranks_;
    std::uint64_t versionCount_ = 0; ///< Versions created in this term.
    std::uint64_t version_ = 0;
    std::uint64_t undoVersion_ = 0;
    std::uint64_t switchStep_ = 0; ///< S
    std::uint64_t lastUsedStep_ = 0; ///< Highest pass ever used as S, by this coordinator or possibly by a predecessor.
    std::optional<std::uint32_t> ownRank_; ///< Until it is known, each rank's own agent sends the orders.
    std::uint32_t holder_ = 0; ///< Rank that holds S in the current switch.
    SharedMap map_;
    SharedMap fallbackMap_;
};

/** @return "unknown", "idle", "preparing", "holding", "arming", "releasing", "undoing" or "undo-releasing". */
std::string_view toString(MapSwitch::Phase phase);

} // namespace magnolia::group

#endif
