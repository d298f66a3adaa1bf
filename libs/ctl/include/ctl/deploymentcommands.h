#ifndef MAGNOLIA_CTL_DEPLOYMENTCOMMANDS_H
#define MAGNOLIA_CTL_DEPLOYMENTCOMMANDS_H

#include "ctl/await.h"
#include "ctl/commandline.h"
#include "ctl/deployment.h"
#include "ctl/deploymentreport.h"
#include "ctl/output.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::ctl
{

/**
 * The commands for a deployment whose routes and endpoints are kept in the platform's store. Nothing is written there: the
 * rows are the operators' and the platform's. Each runs the loop until it has its answers; one thread.
 *
 * @code
 * DeploymentCommands commands(loop, reader, "10.0.0.9:8223", output);
 * return commands.run(line);
 * @endcode
 */
template<DeploymentView View>
class DeploymentCommands
{
public:
    DeploymentCommands(event_base *loop, View &view, std::string storeAddress, Output &output)
        : loop_(loop), view_(view), storeAddress_(std::move(storeAddress)), output_(output)
    {
    }

    ExitCode run(const CommandLine &line)
    {
        if (line.command == "status") {
            return status();
        }
        if (line.command == "explain") {
            return explain(line);
        }
        if (line.command == "map") {
            return map(line.arguments.front());
        }
        if (line.command == "diff") {
            return diff(line);
        }
        return output_.error(
            ExitCode::BadInput,
            fmt::format("{} is not offered where the store keeps the routes: operators write them there, and the platform stops daemons", line.command));
    }

private:
    ExitCode status()
    {
        auto routing = readRouting();
        auto endpoints = listEndpoints();
        auto entries = await<Result<std::vector<EntryRecord>>>(loop_, [this](auto done) { view_.listEntries(std::move(done)); });
        auto groups = await<Result<std::vector<GroupRecord>>>(loop_, [this](auto done) { view_.listGroups(std::move(done)); });
        if (!routing || !endpoints || !entries || !groups) {
            return unavailable(!routing ? routing.error() : !endpoints ? endpoints.error() : !entries ? entries.error() : groups.error());
        }
        return output_.document(
            statusDocument({.routing = std::move(*routing), .endpoints = std::move(*endpoints), .entries = std::move(*entries), .groups = std::move(*groups)}));
    }

    ExitCode explain(const CommandLine &line)
    {
        if (line.host.empty()) {
            return output_.error(ExitCode::BadInput, "explain needs --host HOST --path PATH where the store keeps the routes");
        }
        auto routing = readRouting();
        if (!routing) {
            return unavailable(routing.error());
        }
        const auto endpoints = listEndpoints();
        if (!endpoints) {
            return unavailable(endpoints.error());
        }
        const routing::RouteTable routes(std::move(*routing));
        const auto document = explainDocument(routes, *endpoints, line.host, line.path);
        return document ? output_.document(*document) : output_.error(ExitCode::Failed, document.error().detail);
    }

    ExitCode map(const std::string &group)
    {
        const auto endpoints = listEndpoints();
        if (!endpoints) {
            return unavailable(endpoints.error());
        }
        const auto routing = readRouting();
        if (!routing) {
            return unavailable(routing.error());
        }
        std::vector<RankRecord> ranks;
        std::vector<std::string> unanswered;
        for (const routing::EndpointRecord &endpoint : *endpoints) {
            if (!hasExperts(*routing, endpoint.service)) {
                continue;
            }
            auto rank = readRank(endpoint);
            if (!rank) {
                unanswered.push_back(endpoint.address);
            } else if (rank->state.group == group) {
                ranks.push_back(std::move(*rank));
            }
        }
        if (ranks.empty()) {
            return output_.error(ExitCode::Failed, fmt::format("no engine says that it is of group {}; {} did not answer", group, unanswered.size()));
        }
        return output_.document(groupDocument(group, ranks, unanswered));
    }

    ExitCode diff(const CommandLine &line)
    {
        const auto first = readFile(line.arguments.front());
        if (!first) {
            return output_.error(ExitCode::BadInput, first.error().detail);
        }
        if (line.arguments.size() == 1) {
            const auto inForce = readRouting();
            return inForce ? output_.changes(diffRouting(*inForce, *first)) : unavailable(inForce.error());
        }
        const auto second = readFile(line.arguments.back());
        return second ? output_.changes(diffRouting(*first, *second)) : output_.error(ExitCode::BadInput, second.error().detail);
    }

    Result<routing::RoutingConfig> readRouting()
    {
        return await<Result<routing::RoutingConfig>>(loop_, [this](auto done) { view_.readRouting(std::move(done)); });
    }

    Result<std::vector<routing::EndpointRecord>> listEndpoints()
    {
        return await<Result<std::vector<routing::EndpointRecord>>>(loop_, [this](auto done) { view_.listEndpoints(std::move(done)); });
    }

    Result<RankRecord> readRank(const routing::EndpointRecord &endpoint)
    {
        auto state = await<Result<group::RankState>>(loop_, [&](auto done) { view_.readRank(endpoint.address, std::move(done)); });
        if (!state) {
            return tl::unexpected(state.error());
        }
        auto held = await<Result<group::HeldExperts>>(loop_, [&](auto done) { view_.readHeld(endpoint.address, std::move(done)); });
        if (!held) {
            return tl::unexpected(held.error());
        }
        return RankRecord{.id = endpoint.id, .address = endpoint.address, .state = std::move(*state), .held = std::move(*held)};
    }

    static bool hasExperts(const routing::RoutingConfig &routing, const std::string &service)
    {
        return std::any_of(routing.services.begin(), routing.services.end(), [&service](const routing::Service &candidate) {
            return candidate.name == service && candidate.experts.sets > 0;
        });
    }

    static Result<routing::RoutingConfig> readFile(const std::string &file)
    {
        std::ifstream stream(file, std::ios::binary);
        const std::string text(std::istreambuf_iterator<char>(stream), {});
        if (!stream.is_open() || stream.bad()) {
            return fail(ErrorCode::BadInput, Verdict::NotRun, file + " cannot be read");
        }
        auto config = View::parseRouting(text);
        if (!config) {
            return fail(ErrorCode::BadInput, Verdict::NotRun, file + ": " + config.error().detail);
        }
        return config;
    }

    ExitCode unavailable(const Failure &failure)
    {
        return output_.error(ExitCode::Unavailable, fmt::format("the store at {}: {} {}", storeAddress_, failure.code.message(), failure.detail));
    }

    event_base *loop_;
    View &view_;
    std::string storeAddress_; ///< For errors.
    Output &output_;
};

} // namespace magnolia::ctl

#endif
