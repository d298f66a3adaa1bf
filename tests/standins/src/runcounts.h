#ifndef MAGNOLIA_STANDINS_RUNCOUNTS_H
#define MAGNOLIA_STANDINS_RUNCOUNTS_H

#include "replies.h"

#include <map>
#include <string>

namespace magnolia::standins
{

/** How often each marked request really ran: the judge of every "not run" and "at most once". Outlives `restart`. */
class RunCounts
{
public:
    void begun(const std::string &marker)
    {
        ++runs_[marker].begun;
    }
    void ended(const std::string &marker)
    {
        ++runs_[marker].ended;
    }
    void cancelled(const std::string &marker)
    {
        ++runs_[marker].cancelled;
    }
    int timesBegun(const std::string &marker) const
    {
        const auto found = runs_.find(marker);
        return found == runs_.end() ? 0 : found->second.begun;
    }

    /** @return `{MARKER: {"begun", "ended", "cancelled"}}`. */
    Json toJson() const
    {
        Json all = Json::object();
        for (const auto &[marker, run] : runs_) {
            all[marker] = {{"begun", run.begun}, {"ended", run.ended}, {"cancelled", run.cancelled}};
        }
        return all;
    }

private:
    struct Run {
        int begun = 0;
        int ended = 0;
        int cancelled = 0;
    };

    std::map<std::string, Run> runs_;
};

} // namespace magnolia::standins

#endif
