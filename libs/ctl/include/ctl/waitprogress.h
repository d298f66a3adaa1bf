#ifndef MAGNOLIA_CTL_WAITPROGRESS_H
#define MAGNOLIA_CTL_WAITPROGRESS_H

#include "store/instancelist.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace magnolia::ctl
{

/** What a daemon said on its operators' address. */
struct DaemonReport {
    std::string address;
    bool answered = false;
    std::string program;
    std::string instance;
    std::string dataCentre;
    std::uint64_t manifestVersion = 0;
    std::string manifestRoot;
    bool leaving = false;
    std::string text; ///< The whole answer, as JSON.
};

/** How far a version has spread. */
struct WaitProgress {
    std::size_t expected = 0; ///< Live daemons.
    std::size_t reached = 0; ///< Those that report the version or a later one.
    std::vector<std::string> lacking; ///< The others, each with the reason.

    bool isDone() const
    {
        return lacking.empty();
    }
};

/**
 * Judges how far a version has spread.
 *
 * Live are the instances of the platform's list that are not leaving. The list lags: a daemon that answers counts even if
 * it is not listed yet, and one that has died is lacking until the list drops it.
 * @param live nothing if the list cannot be had; then every address that was asked counts
 */
WaitProgress judgeProgress(std::uint64_t version, const std::optional<std::vector<store::Instance>> &live, std::span<const DaemonReport> reports);

} // namespace magnolia::ctl

#endif
