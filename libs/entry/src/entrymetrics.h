#ifndef MAGNOLIA_ENTRY_ENTRYMETRICS_H
#define MAGNOLIA_ENTRY_ENTRYMETRICS_H

#include "base/failure.h"
#include "manifest/manifest.h"
#include "observe/metrics.h"

#include <array>

namespace magnolia::entry
{

/** The entry's metrics, by name; docs/OPERATING.md says what each means. */
class EntryMetrics
{
public:
    explicit EntryMetrics(observe::Metrics &metrics);

    /** A request has ended. @param tier null if its organisation is not known. @param code null on success. */
    void ended(const manifest::Tier *tier, Verdict verdict, const std::error_code *code);

    observe::Timing &firstToken(manifest::Tier tier)
    {
        return *firstToken_.at(static_cast<std::size_t>(tier));
    }
    observe::Timing &betweenTokens(manifest::Tier tier)
    {
        return *betweenTokens_.at(static_cast<std::size_t>(tier));
    }

private:
    observe::Metrics &metrics_;
    std::array<observe::Timing *, 2> firstToken_;
    std::array<observe::Timing *, 2> betweenTokens_;

public:
    observe::Gauge &inProgress;
    observe::Gauge &linksUp;
    observe::Gauge &manifestVersion;
    observe::Counter &retries;
    observe::Counter &resumed;
    observe::Counter &hangups;
    observe::Counter &slowCallers;
};

} // namespace magnolia::entry

#endif
