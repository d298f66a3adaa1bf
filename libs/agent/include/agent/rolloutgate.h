#ifndef MAGNOLIA_AGENT_ROLLOUTGATE_H
#define MAGNOLIA_AGENT_ROLLOUTGATE_H

#include "base/clock.h"
#include "store/tablestore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace magnolia::agent
{

/** Leave to move is void so long after the reads that it was decided from: well before the slot can be taken over. */
constexpr Duration LeaveTime{10000};

/** What a gate decides from; gathered afresh for each decision. */
struct RolloutView {
    std::map<std::uint32_t, store::Row> slots{}; ///< Rows rollout/MODEL/SLOT that exist.
    std::set<std::string> peersServing{}; ///< Other endpoints that report that they serve the model, in whatever version.
    std::uint32_t endpoints = 1; ///< Of the model by the manifest, this one included.
    std::uint32_t servingFloor = 1; ///< Of the manifest.
    std::uint32_t maxMoving = 1; ///< Of the manifest.
    bool servesOther = false; ///< This endpoint serves another version than the manifest's.
    bool inPlace = false; ///< This endpoint serves the manifest's version.
};

/** Write the slot's row on the condition; nothing follows from the outcome, the next view shows it. */
struct WriteSlot {
    std::uint32_t slot = 0;
    std::optional<std::uint64_t> ifRevision{}; ///< Nothing: if there is no row.
    std::string value{};
};

/** What follows from a view. */
struct RolloutDecision {
    bool mayMove = false; ///< This endpoint may stop serving the model now, for LeaveTime from the view's reads on.
    bool holdsSlot = false; ///< One of the slots is this endpoint's.
    std::optional<WriteSlot> write{};
};

/**
 * Decides when one endpoint may leave service to change the version of one model.
 *
 * Without a leader: each moving endpoint holds one of maxMoving lease rows, and moves only while enough others serve that
 * don't hold one themselves. The check comes after the own slot stands in the table, so that of two who take the last two
 * places at once at least one sees the other. A lease that its holder stops renewing is taken over; its loss only slows
 * the rollout. What an interrupted holder had begun goes on from what its engine shows. Pure; one per model and endpoint.
 */
class RolloutGate
{
public:
    struct Options {
        std::string endpoint{}; ///< This one's name.
        Duration renewInterval{5000};
        Duration leaseTime{30000}; ///< A slot whose row hasn't changed for so long, as seen from here, is free.
    };

    explicit RolloutGate(Options options);

    /** @param now when the reads of the view were begun. */
    RolloutDecision decide(const RolloutView &view, MonoTime now);

private:
    struct Seen {
        std::uint64_t revision = 0;
        MonoTime since;
    };

    void watch(const RolloutView &view, MonoTime now);
    bool isFree(const RolloutView &view, std::uint32_t slot, MonoTime now) const;
    bool keepsFloor(const RolloutView &view, MonoTime now) const;
    std::optional<std::uint32_t> ownSlot(const RolloutView &view) const;
    WriteSlot writeOf(const RolloutView &view, std::uint32_t slot, const std::string &holder);

    Options options_;
    std::map<std::uint32_t, Seen> seen_;
    std::uint64_t beat_ = 0;
};

/** @return the endpoint that holds a slot by its row's value; empty if it is free or malformed. */
std::string slotHolder(const std::string &value);

} // namespace magnolia::agent

#endif
