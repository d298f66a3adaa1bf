#ifndef MAGNOLIA_PATH_FAULTPLAN_H
#define MAGNOLIA_PATH_FAULTPLAN_H

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::path
{

/** What can fail in a running deployment. */
enum class FaultKind : std::uint8_t {
    AgentKilled,
    BookingAgentKilled,
    AgentFrozen,
    BookingAgentFrozen,
    EntryKilled,
    EngineRestarted,
    EngineStalled,
    LinksSilent,
    EndpointConnectionsSilent,
    PlatformConnectionsSilent,
    TableDown,
    TableSilent,
    ObjectsDown,
    TableRepliesLost,
    TableWritesDropped,
    BookingRepliesLost,
    AgentStopped,
};

std::string_view nameOf(FaultKind kind);

/** One failure, for so long, at one of the members that it can befall. */
struct Fault {
    FaultKind kind = FaultKind::AgentKilled;
    std::size_t member = 0; ///< Reduced modulo the number of those.
    Duration length{0};

    std::string toString() const;
};

/** Two failures at once. */
struct FaultRound {
    Fault first;
    Fault second;
};

/** @return rounds whose failures last as long as that together; the same ones for the same seed. */
std::vector<FaultRound> drawPlan(std::uint64_t seed, Duration length);

} // namespace magnolia::path

#endif
