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

/** State of a rank as reported by its engine; see docs/INTERFACES.md, GET /control/experts. */
struct ExpertStatus {
    std::string group{};
    std::uint32_t rank = 0;
    experts::EngineState state{}; ///< For SwitchRank::onEngineState
    std::vector<std::uint64_t> load{}; ///< Tokens that each expert has processed since the start of the engine.
};

/** @param json body of GET /control/experts. Malformed or contradictory input is a ProtocolError. */
Result<ExpertStatus> parseExpertStatus(std::string_view json);

/** An encoded order about experts. */
struct ExpertRequest {
    std::string path{};
    std::string body{};
};

/** @return BadInput for a read-back, which is not an order, and for a payload that is not an expert map. */
Result<ExpertRequest> encodeExpertOrder(const experts::EngineOrder &order, std::uint64_t fence);

/** @return true if the body of a 409 states that the fencing number was outdated; otherwise the engine's state forbids the order. */
bool isStaleFence(std::string_view json);

} // namespace magnolia::engine

#endif
