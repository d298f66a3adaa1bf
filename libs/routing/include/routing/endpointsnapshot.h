#ifndef MAGNOLIA_ROUTING_ENDPOINTSNAPSHOT_H
#define MAGNOLIA_ROUTING_ENDPOINTSNAPSHOT_H

#include "base/failure.h"
#include "routing/endpointtable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** An endpoint whose entry has gone from the list, and which may still come back. */
struct RetainedEndpoint {
    EndpointRecord record;
    Duration timeLeft; ///< Until it counts as gone.
};

/** The platform's list of endpoints as of one version of its store, as entries pass it on to one another. */
struct EndpointSnapshot {
    std::uint64_t version = 0; ///< Of the store when its last change was told; 0: none was.
    std::vector<EndpointRecord> endpoints;
    std::vector<RetainedEndpoint> retained{}; ///< By whoever passes the list on; not among the others.
};

/** @return CBOR; some 70 bytes for each endpoint. */
std::string encodeSnapshot(const EndpointSnapshot &listing);

/** @return BadInput if it can't be read. */
Result<EndpointSnapshot> decodeSnapshot(std::string_view bytes);

} // namespace magnolia::routing

#endif
