#ifndef MAGNOLIA_ROUTING_EVACUATIONS_H
#define MAGNOLIA_ROUTING_EVACUATIONS_H

#include "base/clock.h"
#include "base/failure.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** The data centres whose endpoints get no requests, by request of an operator. */
struct Evacuations {
    std::uint64_t version = 0; ///< Version of the store as of which this is known; 0: nothing is known.
    BootTime provedAt{}; ///< When what was known before was last proved to be the newest; when the process started if it never was.
    std::set<std::string, std::less<>> dataCentres{};

    bool contains(std::string_view dataCentre) const
    {
        return dataCentres.contains(dataCentre);
    }
};

/** An evacuation whose row was lost when the store was restored from a backup. It stays in force for a while, since its operator may write it again. */
struct RetainedEvacuation {
    std::string dataCentre;
    Duration timeLeft; ///< Until it ends.
};

/** All evacuations at one version of the store, in the form that entries send to their peers. */
struct EvacuationSnapshot {
    std::uint64_t version = 0;
    std::vector<std::string> dataCentres{}; ///< Those that have a row in the store.
    std::vector<RetainedEvacuation> retained{}; ///< Retained by the sending instance; not contained in dataCentres.
};

/** Evacuations that have begun or ended since an earlier version. */
struct EvacuationChanges {
    std::uint64_t version = 0;
    std::vector<std::string> begun{};
    std::vector<std::string> ended{};
};

/** @return the snapshot as CBOR, about 20 bytes for each data centre. */
std::string encodeEvacuations(const EvacuationSnapshot &snapshot);

/** @return BadInput if the bytes are not a valid snapshot. */
Result<EvacuationSnapshot> decodeEvacuations(std::string_view bytes);

} // namespace magnolia::routing

#endif
