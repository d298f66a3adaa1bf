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

/** An order for one rank of the group. */
struct AddressedOrder {
    std::uint32_t rank = 0;
    RankOrder order;
    std::uint32_t senderRank = 0; ///< The rank whose instance gives it to the engine; the same, or another's for the loss of one instance not to matter.
};

/**
 * Brings a group from one expert map to the next so that no pass runs on two.
 *
 * Engines don't compare maps, an order without an answer may be carried out seconds later, and a hold never expires. So
 * nothing is believed but what ranks report, in this order:
 *
 * 1. Prepare the map on every rank, until all report it.
 * 2. Hold a pass S somewhat ahead at one rank, until it reports the hold. From now on S can't begin.
 * 3. Arm every rank for S, until all report it. Then release S: all use the new map from S on.
 * 4. If some rank can't be armed in time: disarm all, and prepare the map in use under a newer version on all. A rank that
 *    reports that is not armed, and a late order to arm the older version finds nothing to arm. Only then release S.
 *
 * One instance that freezes or loses its network must not leave the group held until it wakes, wherever it happens. So the pass
 * is held at another rank than the coordinator's, by an order from afar, and the coordinator's own rank is armed last, by
 * another agent: a successor can release the hold, and learns from the others whether that rank is armed (RankWitness).
 *
 * Late orders do no harm: to prepare, since versions are never used twice (term and count); to arm or hold, since they are
 * refused once the pass has begun; to release, since no pass is held twice. A hold that nobody waits for is released as
 * soon as no rank is armed or can become so. Ranks are disarmed only under a hold.
 * A successor takes up whatever the ranks report: it finishes step 3 or 4. A new epoch ends everything: the group forms
 * with map 0 and nothing prepared, armed or held.
 *
 * Pure: states and time come in, orders come out. Not thread-safe.
 *
 * @code
 * MapSwitch change({.term = term});
 * change.reported(state, now);
 * if (change.isIdle()) { change.begin(map, now); }
 * for (const AddressedOrder &order : change.due(now)) { send(order); }
 * @endcode
 */
class MapSwitch
{
public:
    struct Options {
        std::uint64_t term = 0; ///< Of this coordinator; no two have the same.
        std::uint64_t stepsAhead = 2; ///< How far ahead of the last pass S is: time for holding and arming, so that nothing stalls.
        Duration orderRetry{30}; ///< An order whose effect is not reported is given again; carried out twice it does no harm, and the group may stand still.
        Duration prepareRetry{400}; ///< The same for a map, doubled with each try: it is bulky, and a link that is busy with it must not be given it again.
        Duration acknowledgedRetry{
            1200}; ///< For a rank whose agent has said that it was told the map: its engine is copying, or the agent asks it again itself.
        Duration prepareLimit{6000}; ///< Then the map is given up: demand has moved on.
        Duration armLimit{1200}; ///< Then the switch is undone: the group stands still meanwhile.
    };

    enum class Phase : std::uint8_t {
        Unknown, ///< Not all ranks of the present epoch have reported.
        Idle,
        Preparing,
        Holding,
        Arming,
        Releasing, ///< All are armed.
        Undoing,
        UndoReleasing,
    };

    explicit MapSwitch(Options options);

    void onRankReport(const RankState &state, BootTime now);

    /** The rank's agent says which version it was last told to prepare. */
    void onPrepareAcknowledged(std::uint32_t rank, std::uint64_t version);

    /** Begins a switch; only when idle. @param current experts in use, to fall back to. */
    void begin(ExpertMap map, ExpertMap current, BootTime now);

    /** @return orders to be given now. */
    std::vector<AddressedOrder> takeDueOrders(BootTime now);

    /** The rank beside the coordinator, from now on. */
    void setOwnRank(std::uint32_t rank)
    {
        ownRank_ = rank;
    }

    /**
     * For a rank that has not reported and can't be reached: what is proved of it. It gets no orders until it reports, and no
     * switch can begin meanwhile.
     */
    void setProvenState(std::uint32_t rank, std::optional<ArmedMap> armed, BootTime now);

    /** @return the term of the coordinator that made a version. */
    static std::uint64_t termOf(std::uint64_t version);

    /** The map in use, in case a switch of a predecessor has to be undone. */
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
    /** Idle, and all ranks have reported. */
    bool canBegin() const
    {
        return isIdle() && !provenRank();
    }
    /** @return the rank whose state is proved and not reported. */
    std::optional<std::uint32_t> provenRank() const;
    std::uint64_t epoch() const
    {
        return epoch_;
    }
    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(ranks_.size());
    }
    /** @return the version that ranks are told to prepare now; 0: none. */
    std::uint64_t versionToPrepare() const
    {
        return phase_ == Phase::Preparing ? version_ : phase_ == Phase::Undoing ? undoVersion_ : 0;
    }
    std::uint64_t version() const ///< Of the map that is being switched to, or was last.
    {
        return version_;
    }
    std::uint64_t lastStep() const; ///< Highest that any rank has begun.
    const RankState *rank(std::uint32_t index) const;

private:
    struct Member {
        std::optional<RankState> state;
        bool isProven = false; ///< The state is what is proved of it, not reported.
        BootTime lastOrderAt; ///< When it was last given an order.
        std::optional<RankOrderKind> lastOrderKind;
        std::uint64_t lastOrderVersion = 0;
        std::uint32_t tries = 0; ///< Of the order last given.
        std::uint64_t acknowledgedVersion = 0; ///< Version that its agent was last told to prepare, as far as it said.
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
    std::uint64_t versionCount_ = 0; ///< Versions made in this term.
    std::uint64_t version_ = 0;
    std::uint64_t undoVersion_ = 0;
    std::uint64_t switchStep_ = 0; ///< S
    std::uint64_t lastUsedStep_ = 0; ///< Highest that was ever S, here or, as far as can be, under a predecessor.
    std::optional<std::uint32_t> ownRank_; ///< Unknown at first; orders are then given by each rank's own agent.
    std::uint32_t holder_ = 0; ///< In the switch in progress.
    SharedMap map_;
    SharedMap fallbackMap_;
};

/** @return "unknown", "idle", "preparing", "holding", "arming", "releasing", "undoing" or "undo-releasing". */
std::string_view toString(MapSwitch::Phase phase);

} // namespace magnolia::group

#endif
