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

/** An endpoint whose entry is missing from the list, but which is retained for a while because it may register again. */
struct RetainedEndpoint {
    EndpointRecord record;
    Duration timeLeft; ///< Until it is removed.
};

/** The platform's list of endpoints at one version of its store, in the form that entries send to their peers. */
struct EndpointSnapshot {
    std::uint64_t version = 0; ///< Version of the store at the last known change; 0: no change is known.
    std::vector<EndpointRecord> endpoints;
    std::vector<RetainedEndpoint> retained{}; ///< Endpoints retained by the sending instance; not contained in endpoints.
};

/** @return the snapshot as CBOR, about 70 bytes for each endpoint. Times travel as those left. */
std::string encodeSnapshot(const EndpointSnapshot &snapshot, BootTime now = BootClock::now());

/** @return BadInput if the bytes are not a valid snapshot. */
Result<EndpointSnapshot> decodeSnapshot(std::string_view bytes, BootTime now = BootClock::now());

} // namespace magnolia::routing

#endif
