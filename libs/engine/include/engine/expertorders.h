#ifndef MAGNOLIA_ENGINE_EXPERTORDERS_H
#define MAGNOLIA_ENGINE_EXPERTORDERS_H

#include "base/failure.h"
#include "experts/switchprotocol.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::engine
{

/** What an engine of a group says of its rank; see docs/INTERFACES.md, GET /control/experts. */
struct ExpertStatus {
    std::string group{};
    std::uint32_t rank = 0;
    experts::EngineState state{}; ///< For SwitchRank::onEngineState
    std::vector<std::uint64_t> load{}; ///< Tokens that each expert has had since the engine started.
};

/** @param json body of GET /control/experts. Malformed or contradictory input is a ProtocolError. */
Result<ExpertStatus> parseExpertStatus(std::string_view json);

/** An order about experts, ready to be sent. */
struct ExpertRequest {
    std::string path{};
    std::string body{};
};

/** @return BadInput for a read-back, which is no order, and for a payload that is no expert map. */
Result<ExpertRequest> encodeExpertOrder(const experts::EngineOrder &order, std::uint64_t fence);

/** @return whether the body of a 409 says that the order's fencing number was old; otherwise the engine's state forbids it. */
bool isStaleFence(std::string_view json);

} // namespace magnolia::engine

#endif
