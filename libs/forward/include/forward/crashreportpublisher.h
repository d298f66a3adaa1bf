#ifndef MAGNOLIA_FORWARD_CRASHREPORTPUBLISHER_H
#define MAGNOLIA_FORWARD_CRASHREPORTPUBLISHER_H

#include "routing/quarantine.h"

#include <cstdint>
#include <functional>
#include <string>

namespace magnolia::forward
{

/** Shares this entry's crash reports with all other entries. Both calls return at once and do their work asynchronously. */
struct CrashReportPublisher {
    /** @param endpoint id of the endpoint that crashed, for operators. */
    std::function<void(const routing::CrashReport &report, const std::string &endpoint)> publish{};
    std::function<void(const std::string &fingerprint, std::uint32_t ordinal)> withdraw{};
};

} // namespace magnolia::forward

#endif
