#include "agent/reportschedule.h"

#include <algorithm>
#include <random>

namespace magnolia::agent
{

namespace
{

// At most the peer's interval, so that the report is there before the peer's own heartbeat, which then only answers it.
constexpr int LeastPercent = 75;
constexpr int MostPercent = 95;

// A state that flaps may not take the budget either.
constexpr Duration StateGap{50};

} // namespace

bool ReportSchedule::isDue(MonoTime now, const Changes &changes, const Pace &pace) const
{
    if (percent_ == 0) {
        return true;
    }
    if (changes.state != sent_.state && now >= lastSent_ + StateGap) {
        return true;
    }
    if (changes.load != sent_.load && now >= lastSent_ + pace.spacing) {
        return true;
    }
    return now >= lastSent_ + std::max(options_.interval, pace.heartbeatInterval) * percent_ / 100;
}

void ReportSchedule::noteSent(MonoTime now, const Changes &changes, Random &random)
{
    lastSent_ = now;
    sent_ = changes;
    percent_ = std::uniform_int_distribution<int>(LeastPercent, MostPercent)(random);
}

} // namespace magnolia::agent
