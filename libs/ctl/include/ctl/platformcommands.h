#ifndef MAGNOLIA_CTL_PLATFORMCOMMANDS_H
#define MAGNOLIA_CTL_PLATFORMCOMMANDS_H

#include "base/requestid.h"
#include "ctl/applytask.h"
#include "ctl/commands.h"
#include "ctl/mapreport.h"
#include "manifest/diff.h"
#include "store/instancelist.h"

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/** The commands that speak with the platform, for any kind of store. */
namespace magnolia::ctl
{

/** How often `apply --wait` asks the daemons. */
constexpr Duration WaitInterval{200};

template<store::TableStore Table, store::ObjectStore Objects, store::InstanceList Instances>
class PlatformCommands
{
public:
    PlatformCommands(event_base *loop, Table &table, Objects &objects, Instances &instances, Daemons &daemons, Output &output)
        : loop_(loop), table_(table), objects_(objects), instances_(instances), daemons_(daemons), output_(output)
    {
    }

    ExitCode apply(const CommandLine &line, Random random)
    {
        auto manifest = readManifestFile(line.arguments.front(), output_);
        if (!manifest) {
            return manifest.error();
        }
        manifest::ManifestApplier::Options options;
        options.applyId = RequestId::mint(random).toString();
        options.base = line.base;
        ApplyTask<Table, Objects> task(loop_, table_, objects_);
        const manifest::ApplyOutcome outcome = task.run(std::move(*manifest), options, random);
        const bool isInForce = outcome.result == manifest::ApplyResult::Applied || outcome.result == manifest::ApplyResult::Unchanged;
        return line.wait && isInForce ? wait(line, outcome) : output_.applied(outcome);
    }

    ExitCode diffWithForce(const CommandLine &line)
    {
        const auto manifest = readManifestFile(line.arguments.front(), output_);
        if (!manifest) {
            return manifest.error();
        }
        const auto inForce = readManifestInForce(loop_, table_, objects_);
        if (!inForce) {
            return unavailable(inForce.error());
        }
        const manifest::Manifest before = *inForce != nullptr ? (*inForce)->toManifest() : manifest::Manifest{};
        return output_.changes(manifest::diffManifests(before, *manifest));
    }

    ExitCode map(const CommandLine &line)
    {
        const std::string &name = line.arguments.front();
        const auto inForce = readManifestInForce(loop_, table_, objects_);
        if (!inForce) {
            return unavailable(inForce.error());
        }
        const manifest::Group *group = *inForce != nullptr ? (*inForce)->group(name) : nullptr;
        if (group == nullptr) {
            return output_.error(ExitCode::Failed, fmt::format("the manifest in force has no group {}", name));
        }
        const auto row = await<Result<std::optional<store::Row>>>(loop_, [this, &name](auto done) { table_.read("map/" + name, std::move(done)); });
        if (!row) {
            return unavailable(row.error());
        }
        const auto report = mapReport(*group, *row ? std::optional((*row)->value) : std::nullopt);
        return report ? output_.document(*report) : output_.error(ExitCode::Failed, report.error().detail);
    }

private:
    ExitCode unavailable(const Failure &failure)
    {
        return output_.error(ExitCode::Unavailable, fmt::format("{} {}", failure.code.message(), failure.detail));
    }

    // Nothing if the list cannot be had.
    std::optional<std::vector<store::Instance>> fetchInstances()
    {
        auto list = await<Result<std::vector<store::Instance>>>(loop_, [this](auto done) { instances_.fetch(std::move(done)); });
        if (!list) {
            return std::nullopt;
        }
        for (const store::Instance &instance : *list) {
            daemons_.add(instance.operatorsAddress);
        }
        return std::move(*list);
    }

    void pause()
    {
        const timeval interval = http::toTimeval(WaitInterval);
        event_base_loopexit(loop_, &interval);
        event_base_loop(loop_, EVLOOP_NO_EXIT_ON_EMPTY);
    }

    ExitCode wait(const CommandLine &line, const manifest::ApplyOutcome &outcome)
    {
        const MonoTime deadline = MonoClock::now() + line.timeout;
        std::optional<std::size_t> shown;
        while (true) {
            const auto live = fetchInstances();
            const WaitProgress progress = judgeProgress(outcome.version, live, daemons_.reports());
            if (shown != progress.reached) {
                shown = progress.reached;
                output_.progress(outcome.version, progress);
            }
            if (progress.isDone() || MonoClock::now() >= deadline) {
                return output_.waited(outcome, progress);
            }
            pause();
        }
    }

    event_base *loop_;
    Table &table_;
    Objects &objects_;
    Instances &instances_;
    Daemons &daemons_;
    Output &output_;
};

} // namespace magnolia::ctl

#endif
