#ifndef MAGNOLIA_POLICY_ENDPOINTSUBSET_H
#define MAGNOLIA_POLICY_ENDPOINTSUBSET_H

#include "policy/endpointchooser.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia::policy
{

/** An endpoint that an entry may keep a link to. */
struct SubsetEndpoint {
    EndpointKey endpoint = 0;
    Distance distance = Distance::SameDataCentre;
    std::span<const std::uint32_t> services; ///< Numbers of the models (or the plain service) that it serves.
};

/**
 * Says which endpoints an entry keeps links to.
 *
 * With few endpoints all of them. Beyond that each model gets links in proportion to its endpoints, nearest ones first, and
 * among those equally near the ones first in rendezvous order of entry and endpoint, with some remote spares in any case.
 * A pure function of its input: an endpoint that comes or goes changes a link or two per model that it serves.
 *
 * @code
 * const EndpointSubset subset({.target = 130});
 * for (const std::size_t index : subset.select("entry-a", endpoints)) { dial(endpoints[index]); }
 * @endcode
 */
class EndpointSubset
{
public:
    struct Options {
        std::size_t target = 130; ///< Links aimed at; models with too few links of their own may raise it.
        std::size_t minPerService = 6; ///< Each model keeps so many links, if it has as many endpoints.
        double spareShare = 0.25; ///< Share of a model's links kept for endpoints outside the own data centre.
    };

    explicit EndpointSubset(const Options &options);

    /** @return the indices to keep links to, ascending. */
    std::vector<std::size_t> select(std::string_view entry, std::span<const SubsetEndpoint> endpoints) const;

private:
    Options options_;
};

} // namespace magnolia::policy

#endif
