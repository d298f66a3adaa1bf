#ifndef MAGNOLIA_EXPERTS_SWITCHPROTOCOL_H
#define MAGNOLIA_EXPERTS_SWITCHPROTOCOL_H

#include "wire/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** What the state machines of a switch say to each other and to their engines. docs/EXPERT-MAPS.md tells the protocol. */
namespace magnolia::experts
{

using MapNumber = std::uint64_t; ///< Minted by a conditional write on the group's row; never used twice. 0: none.
using Epoch = std::uint64_t; ///< Membership of the group; minted in the same way.
using Step = std::uint64_t;

/** Value of wire::SwitchMessage::kind. Members used besides group, epoch, map, ranks and incarnations are named. */
enum class SwitchKind : std::uint8_t {
    Load = 1, ///< Coordinator to rank: load the experts that you lack. payload: ExpertMap::encode()
    Ready, ///< Rank to coordinator: they are loaded. step: the engine's step
    Prepare, ///< Coordinator to one incarnation of a rank's agent: hold before a step. step: the hold step
    Query, ///< Rank to rank, in doubt: how did you vote? step: the hold step
    VoteYes, ///< Answer to Prepare and Query: the engine holds before the hold step.
    Commit, ///< Coordinator to rank: all voted yes; use the map from the hold step on. step: the hold step
    Abort, ///< Coordinator to rank: somebody voted no; forget the map. step: the hold step
    Committed, ///< Answer to all of these: the engine uses the map from the hold step on.
    Aborted, ///< Answer to all of these, and the vote no: the engine does not hold for the map, and never will.
    Inquire, ///< Coordinator to rank, before a new epoch: which map does your engine use?
    State, ///< Rank to coordinator. map, step: the engine's; payload: the engine's epoch in decimal digits
    Join, ///< Coordinator to rank: take part in this epoch with this map. step: the first one; payload: the map
    Joined, ///< Rank to coordinator: the engine has joined.
};

// clang-tidy 14 takes the zero of a defaulted three-way comparison for a null pointer; hence the marks below.

/** A map that an engine holds for. */
struct PreparedMap {
    MapNumber map = 0;
    Step holdStep = 0;

    auto operator<=>(const PreparedMap &) const = default; // NOLINT(modernize-use-nullptr)
};

/** What an engine tells of itself (GET /control/experts). */
struct EngineState {
    Epoch epoch = 0; ///< 0: it has not joined any since it started.
    MapNumber map = 0; ///< The last one committed or joined with; in use, or from its hold step on.
    bool isMapPending = false; ///< The map is committed, but its hold step has not begun yet.
    Step step = 0; ///< The last step that it has begun.
    std::optional<PreparedMap> prepared;
    std::vector<MapNumber> loaded; ///< Rising.

    auto operator<=>(const EngineState &) const = default; // NOLINT(modernize-use-nullptr)
};

enum class EngineOrderKind : std::uint8_t {
    ReadBack, ///< GET /control/experts
    Load, ///< POST /control/experts/load
    Prepare,
    Commit,
    Abort, ///< With map 0 it changes nothing but the highest fencing number that the engine has seen.
    Join, ///< POST /control/experts/join
};

/** An order for the rank's own engine. The agent adds its fencing number, checked against its lease right before. */
struct EngineOrder {
    EngineOrderKind kind = EngineOrderKind::ReadBack;
    Epoch epoch = 0;
    MapNumber map = 0;
    Step step = 0; ///< Prepare: the hold step. Join: the first step.
    std::string payload; ///< Load, Join: ExpertMap::encode()

    auto operator<=>(const EngineOrder &) const = default; // NOLINT(modernize-use-nullptr)
};

using SwitchAction = std::variant<wire::SwitchMessage, EngineOrder>;
using SwitchActions = std::vector<SwitchAction>;

/** Rules that the protocol's safety rests on. Each is switched off by one mutant in the tests, which must then fail. */
struct SwitchRules {
    static constexpr bool IncarnationChecked = true; ///< Only the incarnation addressed by Prepare may order it.
    static constexpr bool RefusalRemembered = true; ///< An incarnation that refused never votes yes.
    static constexpr bool OrderRemembered = true; ///< An incarnation that gave the order waits for what becomes of it.
    static constexpr bool VoteReadFromEngine = true; ///< Yes is said only when the engine is seen to hold.
    static constexpr bool SuccessorWaits = true; ///< Without fencing a successor says no only once the step has begun.
    static constexpr bool NumberChecked = true; ///< No yes for a map once a higher number has been seen.
    static constexpr bool OneMapAhead = true; ///< No next map before the last one committed is in use.
    static constexpr bool EpochChecked = true; ///< Messages of another epoch are dropped.
    static constexpr bool UnanimityNeeded = true; ///< Commit needs every rank's yes.
};

} // namespace magnolia::experts

#endif
