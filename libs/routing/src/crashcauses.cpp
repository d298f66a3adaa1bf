#include "routing/crashcauses.h"

#include "routing/fingerprint.h"

#include <utility>

namespace magnolia::routing
{

namespace
{

constexpr std::string_view PromptPartPrefix = "part-";

} // namespace

std::string fingerprintOfPromptPart(std::string_view service, std::string_view part)
{
    return std::string(PromptPartPrefix) + fingerprintOf({.host = service, .body = part});
}

bool isPromptPart(std::string_view fingerprint)
{
    return fingerprint.starts_with(PromptPartPrefix);
}

CrashCauses crashCausesOf(std::string request, std::string_view service, std::span<const std::string_view> sharedParts)
{
    CrashCauses causes{.service = std::string(service), .request = std::move(request)};
    for (const std::string_view part : sharedParts) {
        std::string fingerprint = fingerprintOfPromptPart(service, part);
        if (!causes.contains(fingerprint)) {
            causes.promptParts.push_back(std::move(fingerprint));
        }
    }
    return causes;
}

} // namespace magnolia::routing
