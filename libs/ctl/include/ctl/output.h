#ifndef MAGNOLIA_CTL_OUTPUT_H
#define MAGNOLIA_CTL_OUTPUT_H

#include "ctl/exitcode.h"
#include "ctl/waitprogress.h"
#include "manifest/diff.h"
#include "manifest/manifestapplier.h"
#include "manifest/problem.h"

#include <ostream>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::ctl
{

/**
 * What magnoliactl prints: text for people, or one JSON document for each command.
 *
 * Results go to out, progress and errors to err. Lives as long as the command; one thread.
 */
class Output
{
public:
    Output(std::ostream &out, std::ostream &err, bool json);

    ExitCode error(ExitCode code, std::string_view message);
    ExitCode problems(std::string_view file, std::span<const manifest::Problem> problems);
    ExitCode valid(std::string_view file, const manifest::Manifest &manifest);
    ExitCode changes(std::span<const manifest::Change> changes);
    ExitCode applied(const manifest::ApplyOutcome &outcome);
    ExitCode reports(std::span<const DaemonReport> reports);
    ExitCode drained(std::string_view daemon);
    void progress(std::uint64_t version, const WaitProgress &progress);
    ExitCode waited(const manifest::ApplyOutcome &outcome, const WaitProgress &progress);
    /** Prints a JSON document as it is, or indented for people. */
    ExitCode document(std::string_view text);

private:
    std::ostream &out_;
    std::ostream &err_;
    bool json_;
};

} // namespace magnolia::ctl

#endif
