#ifndef MAGNOLIA_FORWARD_CRASHREPORTPUBLISHER_H
#define MAGNOLIA_FORWARD_CRASHREPORTPUBLISHER_H

#include "routing/quarantine.h"

#include <cstdint>
#include <functional>
#include <string>

namespace magnolia::forward
{

/** How an entry tells all others of requests under which endpoints ended. Calls return at once, and are carried out as soon as they can be. */
struct CrashReportPublisher {
    /** @param endpoint id of the one that ended, for operators. */
    std::function<void(const routing::CrashReport &report, const std::string &endpoint)> publish{};
    std::function<void(const std::string &fingerprint, std::uint32_t ordinal)> withdraw{};
};

} // namespace magnolia::forward

#endif
