#include "admission.h"

#include "headervalues.h"
#include "routing/fingerprint.h"
#include "statuscodes.h"

#include <algorithm>
#include <cstdint>

namespace magnolia::forward
{

namespace
{

constexpr Duration RetryAfterNoRoutes{800};
constexpr Duration RetryAfterNoProof{1000};

// Upper bound for the timeout that a caller states, to keep time arithmetic in range.
constexpr Duration MaxStatedTimeout = std::chrono::hours(24);

constexpr std::size_t MaxPromptParts = 32; ///< Further ones are not tracked, which bounds what one request can cost.

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string fingerprintOf(const CallerRequest &request, const routing::Route &route, const routing::Organisation *organisation)
{
    return routing::fingerprintOf({.method = request.head.method,
                                   .host = route.host,
                                   .target = request.head.target,
                                   .organisation = organisation == nullptr ? std::string_view() : std::string_view(organisation->name),
                                   .body = request.bodyBytes()});
}

} // namespace

tl::expected<AdmittedRequest, Rejection> admitRequest(const AdmissionInput &input)
{
    if (input.routes == nullptr) {
        return tl::unexpected(Rejection{.status = StatusUnavailable, .retryAfter = RetryAfterNoRoutes, .cause = "no routes are known yet"});
    }
    const http::HeaderList &headers = input.request->head.headers;
    const bool isProved = input.proof->isFresh(input.now);
    const routing::Route *route = input.routes->match(headers.value("host"), pathOf(input.request->head.target));
    if (route == nullptr && !isProved) {
        return tl::unexpected(
            Rejection{.status = StatusUnavailable, .retryAfter = RetryAfterNoProof, .cause = "no route is known, and a newer version may have one"});
    }
    if (route == nullptr) {
        return tl::unexpected(Rejection{.status = StatusNotFound, .cause = "no route leads there"});
    }
    if (!input.routes->needsKeys() || route->isPublic) {
        return AdmittedRequest{.route = route, .fingerprint = fingerprintOf(*input.request, *route, nullptr)};
    }
    if (!isProved) {
        return tl::unexpected(Rejection{
            .status = StatusUnavailable, .retryAfter = RetryAfterNoProof, .cause = "it is not proved that the known keys are still valid", .route = route});
    }
    const routing::Organisation *organisation = input.routes->organisationOf(headers.value(input.protocol->apiKey));
    if (organisation == nullptr) {
        return tl::unexpected(Rejection{.status = StatusUnauthorised, .cause = "no organisation holds that key", .route = route});
    }
    return AdmittedRequest{.route = route, .organisation = organisation, .fingerprint = fingerprintOf(*input.request, *route, organisation)};
}

std::vector<std::string_view> sharedPromptPartsOf(const CallerRequest &request, const Protocol &protocol)
{
    if (protocol.parseSharedPromptParts == nullptr) {
        return {};
    }
    auto ids = protocol.parseSharedPromptParts(request.head.headers.value(protocol.promptParts));
    ids.resize(std::min(ids.size(), MaxPromptParts));
    return ids;
}

routing::CallerDeadlines callerDeadlinesOf(const CallerRequest &request, const Protocol &protocol)
{
    routing::CallerDeadlines::Options options{.receivedAt = request.receivedAt};
    if (const auto stated = parseNumber<std::uint64_t>(request.head.headers.value(protocol.deadline))) {
        options.callerTimeout = Duration(std::min<std::uint64_t>(*stated, MaxStatedTimeout.count()));
    }
    return routing::CallerDeadlines(options);
}

} // namespace magnolia::forward
