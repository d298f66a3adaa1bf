#ifndef MAGNOLIA_CTL_EXITCODE_H
#define MAGNOLIA_CTL_EXITCODE_H

namespace magnolia::ctl
{

/** How magnoliactl ends; docs/MANIFEST.md and --help list the numbers. */
enum class ExitCode {
    Ok = 0,
    Failed = 1, ///< It was tried and did not work, or the answer is "no".
    BadInput = 2, ///< Usage, settings or manifest.
    Conflict = 3, ///< A rival was first; nothing of ours is in force.
    Unavailable = 4, ///< The platform or the daemons do not answer.
    TimedOut = 5, ///< In force, but not every live daemon reported it in time.
    Unknown = 6, ///< The platform stopped answering in the middle: it may or may not be in force.
};

} // namespace magnolia::ctl

#endif
