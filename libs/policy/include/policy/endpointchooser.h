#ifndef MAGNOLIA_POLICY_ENDPOINTCHOOSER_H
#define MAGNOLIA_POLICY_ENDPOINTCHOOSER_H

#include "base/clock.h"
#include "base/random.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia::policy
{

class PrefixRates;

/** Identity of an endpoint for hashing: the same in every process. */
using EndpointKey = std::uint64_t;

/** @return the key of an endpoint's name in the manifest. */
EndpointKey endpointKey(std::string_view name);

/** @return the hash of a prompt prefix, e.g. of model, adapter and the first kilobyte of the prompt. */
std::uint64_t prefixHash(std::string_view prefix);

/** How far an endpoint is from this entry. */
enum class Distance : std::uint8_t {
    SameDataCentre = 0,
    SameRegion = 1,
    OtherRegion = 2,
};

/** What an entry knows about an endpoint that serves the request. */
struct Candidate {
    EndpointKey endpoint = 0;
    std::uint32_t ownInFlight = 0; ///< Dispatched by this entry and not finished.
    std::uint32_t reportedLoad = 0; ///< Running and queued there, in the latest report.
    std::uint32_t ownAtReport = 0; ///< ownInFlight when that report came.
    std::uint32_t limit = 1; ///< Requests that it runs at once, at least 1.
    MonoTime reportedAt; ///< When the latest report came; the epoch if none has.
    Distance distance = Distance::SameDataCentre;
    bool suspect = false; ///< See EndpointHealth: taken only if all others have been tried.
};

/** One request to place. */
struct ChoiceRequest {
    std::optional<std::uint64_t> prefix; ///< Of its prompt; none: no cache to look for.
    std::span<const EndpointKey> tried; ///< Not to be chosen again.
    std::span<const EndpointKey> cacheHints; ///< Said by late and lossy cache events to hold the prefix.
};

enum class ChoiceReason : std::uint8_t {
    PrefixAffinity, ///< Highest in the prefix's rendezvous order, and within the load bound.
    CacheHint, ///< Among the prefix's first in rendezvous order, within the bound, and hinted at.
    TwoChoices, ///< The less loaded of two taken at random.
    Spare, ///< Next in line if those before it refuse.
    Tried, ///< Excluded: it has been tried.
};

/** @return "prefix-affinity", "cache-hint", "two-choices", "spare" or "tried". */
std::string_view toString(ChoiceReason reason);

struct Choice {
    std::size_t index = 0; ///< In the candidates given.
    double score = 0; ///< Estimated load over limit, with the distance's penalty; lower is better.
    ChoiceReason reason = ChoiceReason::Spare;
};

/**
 * Chooses the endpoint of a request among those that serve it.
 *
 * Cache affinity by rendezvous hash of the prompt's prefix with a load bound; two choices on the estimated load otherwise.
 * The estimate is the entry's own requests in flight plus what others had there by the latest report, which is
 * trusted less as it ages and drawn towards the mean, so that a stale report of an idle endpoint draws no herd. Remembers
 * how frequent the most frequent prefixes are, in a table of fixed size, to give them more than one home; choosing allocates
 * nothing once warm. Lives as long as its entry's task. Not thread-safe.
 *
 * @code
 * const auto choices = chooser.choose({.prefix = hash}, candidates, clock.now(), random);
 * if (!choices.empty()) { dispatch(candidates[choices.front().index]); }
 * @endcode
 */
class EndpointChooser
{
public:
    struct Options {
        double loadBound = 1.25; ///< Affinity is kept up to this multiple of the mean load; above 1.
        double loadSlack = 0.1; ///< Affinity is kept in any case up to this load over limit above that.
        double homeFill = 0.4; ///< A prefix gets another home for each such multiple of an endpoint's mean share that it has.
        Duration reportHalfLife{500}; ///< Age at which a report counts half.
        double regionPenalty = 0.5; ///< Added to the load over limit of an endpoint in another data centre of the region.
        double otherRegionPenalty = 2;
    };

    explicit EndpointChooser(const Options &options);
    ~EndpointChooser();
    EndpointChooser(const EndpointChooser &) = delete;
    EndpointChooser &operator=(const EndpointChooser &) = delete;

    /** @return up to four choices, best first; empty if every candidate has been tried. Valid until the next call. */
    std::span<const Choice> choose(const ChoiceRequest &request, std::span<const Candidate> candidates, MonoTime now, Random &random);

    /** All candidates, best first, those tried last: for operators who ask why. Same order for the same random state. */
    std::vector<Choice> explain(const ChoiceRequest &request, std::span<const Candidate> candidates, MonoTime now, Random &random);

private:
    class Round;

    Options options_;
    std::unique_ptr<PrefixRates> rates_;
    std::vector<std::uint32_t> nearest_;
    std::vector<Choice> choices_;
};

} // namespace magnolia::policy

#endif
