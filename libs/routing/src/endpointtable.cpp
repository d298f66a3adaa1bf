#include "routing/endpointtable.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace magnolia::routing
{

namespace
{

// Reports of running and waiting requests come with answers; after a second most of those requests are others.
constexpr std::chrono::duration<double> ReportHalfLife{1.0};

// Between data centres of a region a request takes about a millisecond more each way: it only decides between equals.
constexpr double OtherDataCentreCost = 0.02;

// A single failure may be the request's own; the pause then doubles up to a length after which a replaced or healed
// endpoint is found again soon enough to matter.
constexpr Duration FirstPause{250};
constexpr Duration LongestPause{4000};

// What can't be connected to is dead, or unreachable from here, in all likelihood.
constexpr Duration UnreachablePause{1000};

// Sent as often as equals by the random part, so that entries with the same reports don't all choose the same endpoint.
constexpr double RandomPart = 0.05;

// Addresses of endpoints at fault that are remembered: far more than fail while any of them matters.
constexpr std::size_t MostFaults = 1000;

// Each trial of a group that does not run yet costs a refused request, and each pause delays all who wait for it.
constexpr Duration GroupPause{200};

// Two words further apart than this are of different passes of a group.
constexpr Duration SamePass{50};

// Part of an endpoint's places that all entries together may fill with streams that have not begun: the next ones begin without a gap, and few wait
// where nobody can recall them once the endpoint is out of reach.
constexpr std::uint32_t UnbegunParts = 4;

double seconds(BootClock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Both state when they started, and the one did before the other: it is of a run that has ended. */
bool isEarlier(const EndpointRecord &one, const EndpointRecord &other)
{
    return one.incarnation != 0 && one.incarnation < other.incarnation;
}

Duration pauseAfter(std::uint32_t failures)
{
    constexpr std::uint32_t MostDoublings = 4;
    const std::uint32_t doublings = std::min(failures > 0 ? failures - 1 : 0, MostDoublings);
    return std::min(FirstPause * (1U << doublings), LongestPause);
}

} // namespace

EndpointTable::EndpointTable(Options options) : options_(std::move(options)) {}

void EndpointTable::put(const EndpointRecord &record)
{
    const auto found = byId_.find(record.id);
    if (found != byId_.end() && isEarlier(record, found->second->record)) {
        return;
    }
    const bool isSameRun = found != byId_.end() && !isEarlier(found->second->record, record);
    if (isSameRun && found->second->record.service == record.service) {
        const std::uint64_t incarnation = std::max(record.incarnation, found->second->record.incarnation);
        found->second->record = record;
        found->second->record.incarnation = incarnation;
        return;
    }
    remove(record.id);
    auto endpoint = std::make_shared<Endpoint>();
    endpoint->record = record;
    byId_.emplace(record.id, endpoint);
    byService_[record.service].push_back(std::move(endpoint));
}

void EndpointTable::remove(std::string_view id)
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return;
    }
    found->second->isRemoved = true;
    std::erase(byService_[found->second->record.service], found->second);
    byId_.erase(found);
}

EndpointPointer EndpointTable::find(std::string_view id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : found->second;
}

std::span<const EndpointPointer> EndpointTable::endpointsOf(std::string_view service) const
{
    const auto found = byService_.find(service);
    return found == byService_.end() ? std::span<const EndpointPointer>() : std::span<const EndpointPointer>(found->second);
}

bool EndpointTable::hasShareUnbegun(const Endpoint &endpoint) const
{
    const std::size_t share = endpoint.record.slots / (UnbegunParts * std::max<std::size_t>(instances_, 1));
    return endpoint.unstartedStreams >= std::max<std::size_t>(share, 1);
}

EndpointTable::Reluctance EndpointTable::reluctanceTo(const Endpoint &endpoint, const ChoiceRequest &request, BootTime now) const
{
    if (endpoint.isUnresponsive) {
        return Reluctance::OutOfReach;
    }
    const bool meetsSuspect = request.isSuspect && endpoint.suspectRequests > 0;
    const bool isAvoided = now < std::max(endpoint.avoidUntil, endpoint.groupAvoidUntil);
    if (meetsSuspect || isAvoided || endpoint.isSuspected) {
        return Reluctance::Avoided;
    }
    return hasShareUnbegun(endpoint) ? Reluctance::Behind : Reluctance::None;
}

EndpointPointer EndpointTable::choose(const ChoiceRequest &request, BootTime now, Random &random) const
{
    std::uniform_real_distribution<double> drawn(0, RandomPart);
    EndpointPointer best;
    Reluctance bestReluctance = Reluctance::None;
    double bestCost = 0;
    for (const EndpointPointer &endpoint : endpointsOf(request.service)) {
        const bool isTried = std::find(request.excluded.begin(), request.excluded.end(), endpoint->record.id) != request.excluded.end();
        if (isTried || !endpoint->acceptsRequests() || !endpoint->limit.mayUse(instances_, now, random)) {
            continue;
        }
        const Reluctance reluctance = reluctanceTo(*endpoint, request, now);
        const double itsCost = cost(*endpoint, now) + drawn(random);
        const bool isBetter = best == nullptr || reluctance < bestReluctance || (reluctance == bestReluctance && itsCost < bestCost);
        if (isBetter) {
            best = endpoint;
            bestReluctance = reluctance;
            bestCost = itsCost;
        }
    }
    return best;
}

void EndpointTable::onRefusedForPeer(Endpoint &endpoint, std::string_view peerAddress, BootTime now)
{
    if (groupsByFault_.size() >= MostFaults) {
        groupsByFault_.clear(); // Learnt again by the next refusals.
    }
    if (endpoint.group == 0) {
        endpoint.group = ++lastGroup_;
    }
    // Those that refuse for the same endpoint's sake are of its group, whether it is on the list or not.
    const auto known = groupsByFault_.find(peerAddress);
    if (known == groupsByFault_.end()) {
        groupsByFault_.emplace(peerAddress, endpoint.group);
    } else {
        joinGroups(endpoint.record.service, endpoint.group, known->second);
    }
    for (const EndpointPointer &peer : endpointsOf(endpoint.record.service)) {
        if (peer->record.address == peerAddress && peer->group != 0) {
            joinGroups(endpoint.record.service, endpoint.group, peer->group);
        } else if (peer->record.address == peerAddress) {
            peer->group = endpoint.group;
        }
    }
    markGroup(endpoint, now + GroupPause);
}

void EndpointTable::onDispatch(Endpoint &endpoint, BootTime now, Random &random)
{
    endpoint.limit.use(instances_, now, random);
    if (endpoint.groupAvoidUntil != BootTime()) {
        markGroup(endpoint, now + GroupPause);
    }
    if (endpoint.inFlight == 0) {
        endpoint.busySince = now;
    }
}

bool EndpointTable::onGroupAnswer(Endpoint &endpoint)
{
    if (endpoint.groupAvoidUntil == BootTime()) {
        return false;
    }
    markGroup(endpoint, BootTime());
    return true;
}

void EndpointTable::joinGroups(std::string_view service, std::uint32_t one, std::uint32_t other)
{
    if (one == other) {
        return;
    }
    for (const EndpointPointer &endpoint : endpointsOf(service)) {
        endpoint->group = endpoint->group == other ? one : endpoint->group;
    }
    for (auto &[address, group] : groupsByFault_) {
        group = group == other ? one : group;
    }
}

void EndpointTable::markGroup(Endpoint &endpoint, BootTime until)
{
    endpoint.groupAvoidUntil = until;
    for (const EndpointPointer &peer : endpointsOf(endpoint.record.service)) {
        if (endpoint.group != 0 && peer->group == endpoint.group) {
            peer->groupAvoidUntil = until;
        }
    }
}

bool EndpointTable::updateRateLimit(Endpoint &endpoint, std::optional<double> perSecond, BootTime now, Random &random) const
{
    return perSecond ? endpoint.limit.state(*perSecond, instances_, now, random) : endpoint.limit.lift();
}

bool EndpointTable::canAdmitStream(std::string_view service, BootTime now, Random &random) const
{
    bool hasWorking = false;
    bool hasBehind = false;
    bool hasAvoidedOne = false;
    for (const EndpointPointer &endpoint : endpointsOf(service)) {
        if (!endpoint->acceptsRequests()) {
            continue;
        }
        hasWorking = true;
        const Reluctance reluctance = reluctanceTo(*endpoint, {.service = service}, now);
        hasBehind = hasBehind || reluctance == Reluctance::Behind;
        const bool isFree = reluctance < Reluctance::OutOfReach && !hasShareUnbegun(*endpoint) && endpoint->limit.mayUse(instances_, now, random);
        if (isFree && reluctance == Reluctance::None) {
            return true;
        }
        hasAvoidedOne = hasAvoidedOne || isFree;
    }
    return !hasWorking || (hasAvoidedOne && !hasBehind);
}

bool EndpointTable::hasFallenBehind(const Endpoint &endpoint) const
{
    return serviceLastReceivedAt(endpoint.record.service) > endpoint.silentSince() + SamePass;
}

void EndpointTable::onDataReceived(Endpoint &endpoint, BootTime now)
{
    endpoint.lastReceivedAt = now;
    signsOf(endpoint.record.service).lastReceivedAt = now;
}

void EndpointTable::onAnswerStarted(Endpoint &endpoint, BootTime sentAt)
{
    endpoint.lastStartedSentAt = std::max(endpoint.lastStartedSentAt, sentAt);
    ServiceSigns &signs = signsOf(endpoint.record.service);
    signs.lastStartedSentAt = std::max(signs.lastStartedSentAt, sentAt);
}

EndpointTable::ServiceSigns &EndpointTable::signsOf(std::string_view service)
{
    const auto found = signs_.find(service);
    return found == signs_.end() ? signs_.emplace(service, ServiceSigns{}).first->second : found->second;
}

BootTime EndpointTable::serviceLastReceivedAt(std::string_view service) const
{
    const auto found = signs_.find(service);
    return found == signs_.end() ? BootTime() : found->second.lastReceivedAt;
}

BootTime EndpointTable::serviceLastStartedSentAt(std::string_view service) const
{
    const auto found = signs_.find(service);
    return found == signs_.end() ? BootTime() : found->second.lastStartedSentAt;
}

void EndpointTable::onStreamStarted(std::string_view service, BootClock::duration took, BootTime now)
{
    signsOf(service).beginTimes.began(took, now);
}

BootClock::duration EndpointTable::shortestFirstEventTime(std::string_view service, BootTime now) const
{
    const auto found = signs_.find(service);
    return found == signs_.end() ? BootClock::duration(0) : found->second.beginTimes.shortest(now);
}

void EndpointTable::onLoadReport(Endpoint &endpoint, const LoadReport &load, BootTime now)
{
    endpoint.load = load;
    endpoint.inFlightAtReport = endpoint.inFlight;
    endpoint.reportedAt = now;
}

void EndpointTable::onAttemptEnded(Endpoint &endpoint, AttemptOutcome sign, BootTime now)
{
    switch (sign) {
    case AttemptOutcome::Answered:
        endpoint.failures = 0;
        endpoint.avoidUntil = {};
        break;
    case AttemptOutcome::Refused:
        break;
    case AttemptOutcome::Failed:
        ++endpoint.failures;
        endpoint.avoidUntil = now + pauseAfter(endpoint.failures);
        break;
    case AttemptOutcome::Unreachable:
        ++endpoint.failures;
        endpoint.avoidUntil = now + std::max(UnreachablePause, pauseAfter(endpoint.failures));
        break;
    }
}

double EndpointTable::expectedLoad(const Endpoint &endpoint, BootTime now)
{
    const double reported = endpoint.load.running + endpoint.load.waiting;
    const double others = std::max(0.0, reported - endpoint.inFlightAtReport);
    const double trust = std::exp2(-seconds(now - endpoint.reportedAt) / ReportHalfLife.count());
    return endpoint.inFlight + others * trust;
}

double EndpointTable::cost(const Endpoint &endpoint, BootTime now) const
{
    const double slots = std::max<std::uint32_t>(endpoint.record.slots, 1);
    const bool isNear = endpoint.record.dataCentre == options_.dataCentre;
    return expectedLoad(endpoint, now) / slots + (isNear ? 0 : OtherDataCentreCost);
}

} // namespace magnolia::routing
