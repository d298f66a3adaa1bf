#include "statementreader.h"

#include "headervalues.h"
#include "http/retryaftervalue.h"
#include "statuscodes.h"

namespace magnolia::forward
{

namespace
{

constexpr std::string_view LeavingValue = "1";

} // namespace

std::optional<routing::LoadReport> StatementReader::read(routing::Endpoint &endpoint, const Answer &answer, BootTime now)
{
    const auto load = readLoad(endpoint, answer, now);
    if (answer.status == StatusMisdirected) {
        return load; // The answer may come from another endpoint that now has this address.
    }
    readRateLimit(endpoint, answer, now);
    readAvailability(endpoint, answer, now);
    return load;
}

void StatementReader::readAvailability(routing::Endpoint &endpoint, const Answer &answer, BootTime now)
{
    readRest(endpoint, answer, now);
    readColdTime(endpoint, answer);
    readLeaving(endpoint, answer);
}

std::optional<routing::LoadReport> StatementReader::readLoad(routing::Endpoint &endpoint, const Answer &answer, BootTime now)
{
    const Protocol &protocol = options_.protocol;
    const auto load = protocol.parseLoad == nullptr ? std::nullopt : protocol.parseLoad(answer.headers.value(protocol.load));
    if (load) {
        options_.endpoints.onLoadReport(endpoint, *load, now);
    }
    return load;
}

void StatementReader::readRateLimit(routing::Endpoint &endpoint, const Answer &answer, BootTime now)
{
    const std::string *stated = answer.headers.find(options_.protocol.rateLimit);
    const auto perSecond = stated != nullptr ? parseRate(*stated) : std::nullopt;
    if (stated != nullptr && !perSecond) {
        options_.log.logUnreadable("Rate limit", endpoint.record.id, *stated);
        return;
    }
    if (options_.endpoints.updateRateLimit(endpoint, perSecond, now, options_.random)) {
        options_.log.logRateLimit(endpoint.record.id, perSecond);
    }
}

void StatementReader::readRest(routing::Endpoint &endpoint, const Answer &answer, BootTime now)
{
    const std::string *stated = isTurnedAway(answer.status) ? answer.headers.find(http::RetryAfterHeader) : nullptr;
    if (stated == nullptr) {
        return;
    }
    const auto rest = http::parseRetryAfter(*stated);
    if (!rest) {
        options_.log.logUnreadable("Rest", endpoint.record.id, *stated);
        return;
    }
    options_.metrics.rests.add();
    options_.log.logRest(endpoint.record.id, *rest, answer.status);
    endpoint.stated->availability.onRestStated(*rest, now, options_.random);
}

void StatementReader::readColdTime(routing::Endpoint &endpoint, const Answer &answer)
{
    const std::string *stated = answer.headers.find(options_.protocol.coldTime);
    if (stated == nullptr) {
        return;
    }
    const auto milliseconds = parseNumber<Duration::rep>(*stated);
    if (!milliseconds || *milliseconds < 0 || *milliseconds > routing::MaxColdTime.count()) {
        if (options_.coldMonitor.onUnreadable(endpoint)) {
            options_.log.logUnreadable("Cold time", endpoint.record.id, *stated);
        }
        return;
    }
    options_.coldMonitor.onStated(endpoint, Duration(*milliseconds));
}

void StatementReader::readLeaving(routing::Endpoint &endpoint, const Answer &answer)
{
    const std::string *stated = answer.headers.find(options_.protocol.leaving);
    if (stated == nullptr) {
        return;
    }
    if (*stated != LeavingValue) {
        options_.log.logUnreadable("Leaving mark", endpoint.record.id, *stated);
        return;
    }
    if (endpoint.stated->availability.onLeavingStated()) {
        options_.log.logLeaving(endpoint.record.id);
        options_.connections.closeAll(endpoint.record.id); // They lead to a process that is about to end.
    }
}

} // namespace magnolia::forward
