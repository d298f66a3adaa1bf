#ifndef MAGNOLIA_CTL_DEPLOYMENTREPORT_H
#define MAGNOLIA_CTL_DEPLOYMENTREPORT_H

#include "ctl/deployment.h"
#include "manifest/diff.h"
#include "routing/routetable.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/** What magnoliactl tells of a deployment whose routes are kept in the store: JSON documents. */
namespace magnolia::ctl
{

/** What a deployment consists of. */
struct DeploymentSummary {
    routing::RoutingConfig routing;
    std::vector<routing::EndpointRecord> endpoints;
    std::vector<EntryRecord> entries;
    std::vector<GroupRecord> groups;
};

std::string statusDocument(const DeploymentSummary &summary);

/** @return NotFound if no route leads there. */
Result<std::string>
explainDocument(const routing::RouteTable &routes, std::span<const routing::EndpointRecord> endpoints, std::string_view host, std::string_view path);

/** @param unanswered addresses of engines that did not answer. */
std::string groupDocument(std::string_view group, std::span<const RankRecord> ranks, std::span<const std::string> unanswered);

/** @return what leads from one configuration to the other; keys are shown as fingerprints. */
std::vector<manifest::Change> diffRouting(const routing::RoutingConfig &before, const routing::RoutingConfig &after);

} // namespace magnolia::ctl

#endif
