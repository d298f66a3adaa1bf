#ifndef MAGNOLIA_PATH_VERSIONWATCH_H
#define MAGNOLIA_PATH_VERSIONWATCH_H

#include "deployment.h"
#include "promise.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace magnolia::path
{

/** Looks at the manifest version that each daemon reports; none may ever report a lower one, restarts included. */
class VersionWatch
{
public:
    explicit VersionWatch(Deployment &deployment) : deployment_(deployment) {}

    /** Asks all daemons. @return the lowest version in force at any that answers, and 0 if one has none yet. */
    std::uint64_t look()
    {
        std::uint64_t lowest = UINT64_MAX;
        latest_ = deployment_.versions();
        for (const auto &[name, version] : latest_) {
            lowest = std::min(lowest, version);
            // A daemon that has just been started serves nothing and says 0 until it has found a version.
            if (version != 0) {
                std::uint64_t &highest = highest_[name];
                promise_.check(version >= highest, name + " went from " + std::to_string(highest) + " to " + std::to_string(version));
                highest = std::max(highest, version);
            }
        }
        return lowest;
    }

    const std::map<std::string, std::uint64_t> &latest() const
    {
        return latest_;
    }
    const Promise &promise() const
    {
        return promise_;
    }

private:
    Deployment &deployment_;
    std::map<std::string, std::uint64_t> latest_;
    std::map<std::string, std::uint64_t> highest_;
    Promise promise_{"manifest-never-reverts"};
};

} // namespace magnolia::path

#endif
