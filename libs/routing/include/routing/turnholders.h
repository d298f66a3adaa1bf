#ifndef MAGNOLIA_ROUTING_TURNHOLDERS_H
#define MAGNOLIA_ROUTING_TURNHOLDERS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** Whether an entry may use a part of an endpoint's rate, and among how many that rate is divided. */
struct TurnShare {
    bool isHolder = false;
    std::size_t holders = 0;
    std::uint64_t rank = 0; ///< Differs between entries and endpoints.
};

/**
 * Determines by rendezvous hashing which of the entries hold turns for an endpoint.
 *
 * All entries that know the same names determine the same holders, without messages. A name that is added or removed changes at most one holder of an
 * endpoint. Lives as long as its entry. Not thread-safe.
 *
 * @code
 * holders.setInstances("10.0.0.4:7341", {"10.0.0.5:7341", "10.0.0.6:7341"});
 * if (holders.shareOf(endpointId, 8).isHolder) { ... }
 * @endcode
 */
class TurnHolders
{
public:
    /** @param own unique name or address of this entry. @param others those of the other entries, in any order; own and repeated ones are ignored. */
    void setInstances(std::string own, std::vector<std::string> others);

    /** Changes with each change of the names; 0 while none are known. */
    std::uint64_t generation() const
    {
        return generation_;
    }

    /** @param maxHolders 1 or more. @return no share while the names are not known. */
    TurnShare shareOf(std::string_view endpoint, std::size_t maxHolders) const;

private:
    std::string own_;
    std::vector<std::string> others_; ///< Sorted.
    std::uint64_t generation_ = 0;
};

} // namespace magnolia::routing

#endif
