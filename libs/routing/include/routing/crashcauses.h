#ifndef MAGNOLIA_ROUTING_CRASHCAUSES_H
#define MAGNOLIA_ROUTING_CRASHCAUSES_H

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** What a request carries that may crash the endpoint that runs it, as fingerprints that are the same on every instance. */
struct CrashCauses {
    std::string service{}; ///< To which the request goes.
    std::string request{}; ///< The request as a whole, see fingerprintOf().
    std::vector<std::string> promptParts{}; ///< The parts of its prompt that other requests may share, see fingerprintOfPromptPart(). Each occurs once.

    bool contains(std::string_view fingerprint) const
    {
        return fingerprint == request || std::find(promptParts.begin(), promptParts.end(), fingerprint) != promptParts.end();
    }

    /** Calls a function with each fingerprint. */
    template<typename Function>
    void forEach(Function &&function) const
    {
        function(request);
        for (const std::string &part : promptParts) {
            function(part);
        }
    }
};

/** @return the fingerprint of a part of prompts for a service's endpoints. A part may crash the endpoints of one service and be harmless to others. */
std::string fingerprintOfPromptPart(std::string_view service, std::string_view part);

/** Whether a fingerprint is that of a part of prompts. */
bool isPromptPart(std::string_view fingerprint);

/** @param request fingerprint of the request as a whole. @param sharedParts ids of the parts that other requests may share. */
CrashCauses crashCausesOf(std::string request, std::string_view service, std::span<const std::string_view> sharedParts);

} // namespace magnolia::routing

#endif
