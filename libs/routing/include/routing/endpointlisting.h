#ifndef MAGNOLIA_ROUTING_ENDPOINTLISTING_H
#define MAGNOLIA_ROUTING_ENDPOINTLISTING_H

#include "base/failure.h"
#include "routing/endpointtable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** An endpoint whose entry has gone from the list, and which may still come back. */
struct KeptEndpoint {
    EndpointRecord record;
    Duration left; ///< Until it counts as gone.
};

/** The platform's list of endpoints as of one version of its store, as entries pass it on to one another. */
struct EndpointListing {
    std::uint64_t version = 0; ///< Of the store when its last change was told; 0: none was.
    std::vector<EndpointRecord> endpoints;
    std::vector<KeptEndpoint> kept{}; ///< By whoever passes the list on; not among the others.
};

/** @return CBOR; some 70 bytes for each endpoint. */
std::string encodeListing(const EndpointListing &listing);

/** @return BadInput if it can't be read. */
Result<EndpointListing> decodeListing(std::string_view bytes);

} // namespace magnolia::routing

#endif
