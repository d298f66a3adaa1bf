#include "routing/endpointtable.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace magnolia::routing
{

namespace
{

// Load reports arrive with answers. After a second most of the reported requests have been replaced by others.
constexpr std::chrono::duration<double> ReportHalfLife{1.0};

// A request to another data centre of the region takes about a millisecond longer each way, so the cost only decides at equal load.
constexpr double OtherDataCentreCost = 0.02;

// A single failure may be caused by the request, so the backoff starts short. The maximum is short enough to use a replaced or recovered endpoint soon.
constexpr Duration InitialBackoff{250};
constexpr Duration MaxBackoff{4000};

// After an attempt that hung, which took a second or more to be recognised.
constexpr Duration InitialHungBackoff{2000};
constexpr Duration MaxHungBackoff{8000};

// An endpoint that cannot be connected to is most likely down or unreachable from this instance.
constexpr Duration UnreachableBackoff{1000};

// Random cost added to each endpoint, so that entries with the same reports do not all choose the same one.
constexpr double MaxRandomCost = 0.05;

// Limit on the remembered addresses that rejections named as the cause; far more than are relevant at one time.
constexpr std::size_t MaxFaultyAddresses = 1000;

// Each probe of a group that is not running costs a rejected request, whereas a long interval delays all requests that wait for the group.
constexpr Duration GroupRetryInterval{200};

// Events of the endpoints of a group that are further apart than this belong to different passes.
constexpr Duration SamePassTolerance{50};

// Streams without a first event may occupy one slot in this many, for all entries together. That is enough to refill slots without a gap, and few
// streams are stuck at an endpoint that becomes unresponsive, where they cannot be cancelled.
constexpr std::uint32_t UnstartedSlotDivisor = 4;

// Limit on the remembered statements of endpoints that are missing from the list; entries return within seconds of an outage of the list.
constexpr std::size_t MaxFormerEndpoints = 4000;

bool isExcluded(const Endpoint &endpoint, std::span<const std::string> excluded)
{
    return std::find(excluded.begin(), excluded.end(), endpoint.record.id) != excluded.end();
}

double seconds(BootClock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct BackoffRange {
    Duration initial = InitialBackoff;
    Duration maximum = MaxBackoff;
};

ColdEndpoints::Subject coldSubject(const Endpoint &endpoint)
{
    return {.id = endpoint.record.id, .service = endpoint.record.service, .share = endpoint.stated->cold};
}

Duration backoffAfter(std::uint32_t failures, const BackoffRange &range = {})
{
    constexpr std::uint32_t MaxDoublings = 4;
    const std::uint32_t doublings = std::min(failures > 0 ? failures - 1 : 0, MaxDoublings);
    return std::min(range.initial * (1U << doublings), range.maximum);
}

} // namespace

EndpointTable::EndpointTable(Options options) : options_(std::move(options)), cold_(options_.coldBound) {}

void EndpointTable::put(const EndpointRecord &record)
{
    const auto found = byId_.find(record.id);
    if (found != byId_.end() && record.incarnation.isEarlierThan(found->second->record.incarnation)) {
        return;
    }
    const bool isSameRun = found != byId_.end() && !found->second->record.incarnation.isEarlierThan(record.incarnation);
    if (isSameRun && found->second->record.service == record.service) {
        const EndpointPointer known = found->second;
        const StatedIncarnation incarnation = StatedIncarnation::laterOf(record.incarnation, known->record.incarnation);
        removeFromAddress(known);
        known->record = record;
        known->record.incarnation = incarnation;
        known->isEvacuated = evacuations_.contains(record.dataCentre);
        addToAddress(known);
        return;
    }
    remove(record.id);
    auto endpoint = std::make_shared<Endpoint>();
    endpoint->record = record;
    endpoint->isEvacuated = evacuations_.contains(record.dataCentre);
    endpoint->stated = takeStatements(record);
    byId_.emplace(record.id, endpoint);
    byService_[record.service].push_back(endpoint);
    addToAddress(endpoint);
}

void EndpointTable::addToAddress(const EndpointPointer &endpoint)
{
    byAddress_[endpoint->record.address].push_back(endpoint);
    markReplaced(endpoint->record.address);
}

void EndpointTable::removeFromAddress(const EndpointPointer &endpoint)
{
    const auto found = byAddress_.find(endpoint->record.address);
    std::erase(found->second, endpoint);
    if (found->second.empty()) {
        byAddress_.erase(found);
    } else {
        markReplaced(endpoint->record.address);
    }
}

/**
 * Of the endpoints at one address only the one that was listed last exists. The entries of those that ended with their instance expire only after some
 * renewal intervals, and each request to them would be rejected meanwhile.
 */
void EndpointTable::markReplaced(std::string_view address)
{
    const std::vector<EndpointPointer> &sharing = byAddress_.find(address)->second;
    const auto isListedEarlier = [](const EndpointPointer &one, const EndpointPointer &other) { return one->record.listedAt < other->record.listedAt; };
    const EndpointPointer newest = *std::max_element(sharing.begin(), sharing.end(), isListedEarlier);
    for (const EndpointPointer &endpoint : sharing) {
        if (endpoint->record.listedAt != 0) {
            endpoint->isReplaced = endpoint != newest;
        }
    }
}

void EndpointTable::remove(std::string_view id)
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return;
    }
    found->second->isRemoved = true;
    rememberStatements(*found->second);
    std::erase(byService_[found->second->record.service], found->second);
    removeFromAddress(found->second);
    byId_.erase(found);
}

void EndpointTable::rememberStatements(const Endpoint &endpoint)
{
    if (formerEndpoints_.size() >= MaxFormerEndpoints) {
        formerEndpoints_.pop_front();
    }
    formerEndpoints_.push_back({.id = endpoint.record.id, .incarnation = endpoint.record.incarnation, .stated = endpoint.stated});
}

/** @return what the endpoint stated before its entry was removed, as far as it concerns this run of it. */
std::shared_ptr<EndpointStatements> EndpointTable::takeStatements(const EndpointRecord &record)
{
    const auto found = std::find_if(formerEndpoints_.begin(), formerEndpoints_.end(), [&](const FormerEndpoint &one) { return one.id == record.id; });
    if (found == formerEndpoints_.end()) {
        return std::make_shared<EndpointStatements>();
    }
    const FormerEndpoint former = std::move(*found);
    formerEndpoints_.erase(found);
    if (!former.incarnation.isEarlierThan(record.incarnation)) {
        return former.stated;
    }
    auto stated = std::make_shared<EndpointStatements>();
    stated->availability = former.stated->availability;
    stated->availability.onNewRun();
    return stated;
}

std::vector<EndpointPointer> EndpointTable::setEvacuations(Evacuations evacuations)
{
    evacuations_ = std::move(evacuations);
    std::vector<EndpointPointer> evacuated;
    for (const auto &[id, endpoint] : byId_) {
        const bool wasEvacuated = std::exchange(endpoint->isEvacuated, evacuations_.contains(endpoint->record.dataCentre));
        if (endpoint->isEvacuated && !wasEvacuated) {
            evacuated.push_back(endpoint);
        }
    }
    return evacuated;
}

bool EndpointTable::isEvacuated(std::string_view service) const
{
    if (evacuations_.dataCentres.empty()) {
        return false;
    }
    const auto all = endpointsOf(service);
    const auto accepts = [](const EndpointPointer &endpoint) { return endpoint->acceptsRequests(); };
    const auto isEvacuatedOne = [](const EndpointPointer &endpoint) { return endpoint->isEvacuated; };
    return std::none_of(all.begin(), all.end(), accepts) && std::any_of(all.begin(), all.end(), isEvacuatedOne);
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

std::size_t EndpointTable::slotsOf(std::string_view service, BootTime now) const
{
    std::size_t slots = 0;
    for (const EndpointPointer &endpoint : endpointsOf(service)) {
        const bool isUsable = endpoint->acceptsRequests() && !endpoint->isReplaced && !endpoint->stated->availability.isResting(now);
        slots += isUsable ? cold_.usableSlots(service, endpoint->stated->cold, endpoint->record.slots, now) : 0;
    }
    return slots;
}

bool EndpointTable::mayDispatch(Endpoint &endpoint, BootTime now, Random &random) const
{
    if (!endpoint.acceptsRequests() || !endpoint.stated->availability.mayDispatch(now) || !cold_.mayDispatch(coldSubject(endpoint), now)) {
        return false;
    }
    RateLimitShare &limit = endpoint.stated->limit;
    return !limit.isLimited() || limit.canSend(effectiveInstances(endpoint.record.service, now), now, random);
}

std::optional<BootTime> EndpointTable::nextRestEnd(const ChoiceRequest &request, BootTime now) const
{
    std::optional<BootTime> earliest;
    for (const EndpointPointer &endpoint : endpointsOf(request.service)) {
        const BootTime at = std::max(endpoint->stated->availability.nextDispatchAt(), cold_.nextDispatchAt(coldSubject(*endpoint), now));
        const bool isAwaited = endpoint->acceptsRequests() && !endpoint->isReplaced && at > now && !isExcluded(*endpoint, request.excluded);
        if (isAwaited && (!earliest || at < *earliest)) {
            earliest = at;
        }
    }
    return earliest;
}

BootClock::duration EndpointTable::turnInterval(std::string_view service, BootTime now) const
{
    double perSecond = 0;
    for (const EndpointPointer &endpoint : endpointsOf(service)) {
        const bool isCold = endpoint->acceptsRequests() && cold_.isCold(service, endpoint->stated->cold, now);
        perSecond += isCold ? endpoint->stated->cold.turnsPerSecond() : 0;
    }
    const std::chrono::duration<double> interval(perSecond > 0 ? 1 / perSecond : 0);
    return std::chrono::duration_cast<BootClock::duration>(interval);
}

bool EndpointTable::hasColdEndpoint(std::string_view service, BootTime now) const
{
    const auto all = endpointsOf(service);
    return std::any_of(all.begin(), all.end(), [&](const EndpointPointer &endpoint) { return cold_.isCold(service, endpoint->stated->cold, now); });
}

std::size_t EndpointTable::effectiveInstances(std::string_view service, BootTime now) const
{
    const auto activity = activity_.find(service);
    return activity == activity_.end() ? std::max<std::size_t>(instances_, 1) : activity->second.loadShare.effectiveInstances(instances_, now);
}

bool EndpointTable::isAtUnstartedLimit(const Endpoint &endpoint, BootTime now) const
{
    if (endpoint.unstartedStreams == 0) {
        return false;
    }
    const std::size_t share = endpoint.record.slots / (UnstartedSlotDivisor * effectiveInstances(endpoint.record.service, now));
    return endpoint.unstartedStreams >= std::max<std::size_t>(share, 1);
}

EndpointTable::AvoidanceLevel EndpointTable::avoidanceOf(const Endpoint &endpoint, const ChoiceRequest &request, BootTime now) const
{
    if (endpoint.isReplaced) {
        return AvoidanceLevel::Replaced;
    }
    if (endpoint.isUnresponsive) {
        return AvoidanceLevel::Unresponsive;
    }
    const bool joinsSuspect = request.isSuspect && endpoint.suspectRequests > 0;
    const bool isAvoided = now < std::max(endpoint.avoidUntil, groupAvoidedUntil(endpoint));
    if (joinsSuspect || isAvoided || endpoint.isSuspected) {
        return AvoidanceLevel::Avoided;
    }
    return isAtUnstartedLimit(endpoint, now) ? AvoidanceLevel::Saturated : AvoidanceLevel::None;
}

EndpointPointer EndpointTable::choose(const ChoiceRequest &request, BootTime now, Random &random) const
{
    std::uniform_real_distribution<double> randomCost(0, MaxRandomCost);
    EndpointPointer best;
    AvoidanceLevel bestAvoidance = AvoidanceLevel::None;
    double bestCost = 0;
    for (const EndpointPointer &endpoint : endpointsOf(request.service)) {
        if (isExcluded(*endpoint, request.excluded) || !mayDispatch(*endpoint, now, random)) {
            continue;
        }
        const AvoidanceLevel avoidance = avoidanceOf(*endpoint, request, now);
        const double candidateCost = cost(*endpoint, now) + randomCost(random);
        const bool isBetter = best == nullptr || avoidance < bestAvoidance || (avoidance == bestAvoidance && candidateCost < bestCost);
        if (isBetter) {
            best = endpoint;
            bestAvoidance = avoidance;
            bestCost = candidateCost;
        }
    }
    return best;
}

void EndpointTable::onRefusedForPeer(Endpoint &endpoint, std::string_view peerAddress, BootTime now)
{
    if (groupsByFaultyAddress_.size() >= MaxFaultyAddresses) {
        groupsByFaultyAddress_.clear(); // Learnt again from the next rejections.
    }
    if (endpoint.group == 0) {
        endpoint.group = ++lastGroup_;
    }
    // Endpoints that reject requests because of the same endpoint are in its group, whether that is on the list or not.
    const auto known = groupsByFaultyAddress_.find(peerAddress);
    if (known == groupsByFaultyAddress_.end()) {
        groupsByFaultyAddress_.emplace(peerAddress, endpoint.group);
    } else {
        mergeGroups(endpoint.record.service, endpoint.group, known->second);
    }
    for (const EndpointPointer &peer : endpointsOf(endpoint.record.service)) {
        if (peer->record.address == peerAddress && peer->group != 0) {
            mergeGroups(endpoint.record.service, endpoint.group, peer->group);
        } else if (peer->record.address == peerAddress) {
            peer->group = endpoint.group;
        }
    }
    setGroupAvoidUntil(endpoint, now + GroupRetryInterval);
    avoidUnproven(endpoint.record.service, now);
}

void EndpointTable::onAddressTaken(Endpoint &endpoint, BootTime now)
{
    endpoint.isReplaced = true;
    const auto sharing = byAddress_.find(endpoint.record.address);
    for (const EndpointPointer &other : sharing == byAddress_.end() ? std::span<const EndpointPointer>() : std::span<const EndpointPointer>(sharing->second)) {
        // It may be the one that answered, although the entry of the ended one was written later.
        other->isReplaced = other->isReplaced && other.get() == &endpoint;
    }
    avoidUnproven(endpoint.record.service, now);
}

/** @return true if an endpoint that can still be chosen has answered a request. */
bool EndpointTable::isServiceProven(std::string_view service) const
{
    const auto all = endpointsOf(service);
    return std::any_of(
        all.begin(), all.end(), [](const EndpointPointer &endpoint) { return endpoint->hasAnswered && endpoint->acceptsRequests() && !endpoint->isReplaced; });
}

/** Called after a rejection. Lets one request at a time probe the service, as long as no endpoint of it has shown that it runs. */
void EndpointTable::avoidUnproven(std::string_view service, BootTime now)
{
    if (!isServiceProven(service)) {
        activityOf(service).unprovenAvoidUntil = now + GroupRetryInterval;
    }
}

BootTime EndpointTable::groupAvoidedUntil(const Endpoint &endpoint) const
{
    if (endpoint.hasAnswered) {
        return endpoint.groupAvoidUntil;
    }
    const auto activity = activity_.find(endpoint.record.service);
    return activity == activity_.end() ? endpoint.groupAvoidUntil : std::max(endpoint.groupAvoidUntil, activity->second.unprovenAvoidUntil);
}

void EndpointTable::onDispatch(Endpoint &endpoint, BootTime now, Random &random)
{
    endpoint.stated->limit.consume(effectiveInstances(endpoint.record.service, now), now, random);
    endpoint.stated->availability.onDispatch(now);
    cold_.onDispatch(endpoint.record.service, endpoint.stated->cold, now);
    if (endpoint.groupAvoidUntil != BootTime()) {
        setGroupAvoidUntil(endpoint, now + GroupRetryInterval);
    }
    if (ServiceActivity &activity = activityOf(endpoint.record.service); !endpoint.hasAnswered && activity.unprovenAvoidUntil != BootTime()) {
        activity.unprovenAvoidUntil = now + GroupRetryInterval;
    }
    if (endpoint.inFlight == 0) {
        endpoint.busySince = now;
    }
}

bool EndpointTable::onGroupAnswer(Endpoint &endpoint)
{
    const bool wasAvoided = groupAvoidedUntil(endpoint) != BootTime();
    endpoint.hasAnswered = true;
    endpoint.isReplaced = false;
    activityOf(endpoint.record.service).unprovenAvoidUntil = {};
    if (endpoint.groupAvoidUntil != BootTime()) {
        setGroupAvoidUntil(endpoint, BootTime());
    }
    return wasAvoided;
}

bool EndpointTable::haveOthersServed(const Endpoint &endpoint, BootTime after) const
{
    const auto all = endpointsOf(endpoint.record.service);
    return std::any_of(all.begin(), all.end(), [&](const EndpointPointer &other) { return other.get() != &endpoint && other->servedAt > after; });
}

void EndpointTable::mergeGroups(std::string_view service, std::uint32_t one, std::uint32_t other)
{
    if (one == other) {
        return;
    }
    for (const EndpointPointer &endpoint : endpointsOf(service)) {
        endpoint->group = endpoint->group == other ? one : endpoint->group;
    }
    for (auto &[address, group] : groupsByFaultyAddress_) {
        group = group == other ? one : group;
    }
}

void EndpointTable::setGroupAvoidUntil(Endpoint &endpoint, BootTime until)
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
    return perSecond ? endpoint.stated->limit.update(*perSecond, effectiveInstances(endpoint.record.service, now), now, random)
                     : endpoint.stated->limit.clear();
}

bool EndpointTable::canAdmitStream(std::string_view service, BootTime now, Random &random) const
{
    bool hasAccepting = false;
    bool hasSaturated = false;
    bool hasFreeAvoided = false;
    for (const EndpointPointer &endpoint : endpointsOf(service)) {
        const bool isClosed = !endpoint->acceptsRequests() || cold_.isWithheld(coldSubject(*endpoint), now);
        if (isClosed || !endpoint->stated->availability.mayDispatch(now)) {
            continue;
        }
        hasAccepting = true;
        const AvoidanceLevel avoidance = avoidanceOf(*endpoint, {.service = service}, now);
        hasSaturated = hasSaturated || avoidance == AvoidanceLevel::Saturated;
        const bool isFree = avoidance < AvoidanceLevel::Unresponsive && !isAtUnstartedLimit(*endpoint, now) && mayDispatch(*endpoint, now, random);
        if (isFree && avoidance == AvoidanceLevel::None) {
            return true;
        }
        hasFreeAvoided = hasFreeAvoided || isFree;
    }
    return !hasAccepting || (hasFreeAvoided && !hasSaturated);
}

bool EndpointTable::hasFallenBehind(const Endpoint &endpoint) const
{
    return serviceLastReceivedAt(endpoint.record.service) > endpoint.silentSince() + SamePassTolerance;
}

void EndpointTable::onDataReceived(Endpoint &endpoint, BootTime now)
{
    endpoint.lastReceivedAt = now;
    activityOf(endpoint.record.service).lastReceivedAt = now;
}

void EndpointTable::onAnswerStarted(Endpoint &endpoint, BootTime sentAt)
{
    endpoint.lastStartedSentAt = std::max(endpoint.lastStartedSentAt, sentAt);
    ServiceActivity &activity = activityOf(endpoint.record.service);
    activity.lastStartedSentAt = std::max(activity.lastStartedSentAt, sentAt);
}

EndpointTable::ServiceActivity &EndpointTable::activityOf(std::string_view service)
{
    const auto found = activity_.find(service);
    return found == activity_.end() ? activity_.emplace(service, ServiceActivity{}).first->second : found->second;
}

BootTime EndpointTable::serviceLastReceivedAt(std::string_view service) const
{
    const auto found = activity_.find(service);
    return found == activity_.end() ? BootTime() : found->second.lastReceivedAt;
}

BootTime EndpointTable::serviceLastStartedSentAt(std::string_view service) const
{
    const auto found = activity_.find(service);
    return found == activity_.end() ? BootTime() : found->second.lastStartedSentAt;
}

void EndpointTable::onStreamStarted(std::string_view service, BootClock::duration latency, BootTime now)
{
    activityOf(service).firstEventLatency.record(latency, now);
}

BootClock::duration EndpointTable::shortestFirstEventTime(std::string_view service, BootTime now) const
{
    const auto found = activity_.find(service);
    return found == activity_.end() ? BootClock::duration(0) : found->second.firstEventLatency.shortest(now);
}

void EndpointTable::onLoadReport(Endpoint &endpoint, const LoadReport &load, BootTime now)
{
    endpoint.load = load;
    endpoint.inFlightAtReport = endpoint.inFlight;
    endpoint.reportedAt = now;
    activityOf(endpoint.record.service).loadShare.onLoadReport({.own = endpoint.inFlight, .total = load.running + load.waiting}, now);
}

void EndpointTable::onAttemptEnded(Endpoint &endpoint, AttemptOutcome outcome, BootTime now)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        endpoint.failures = 0;
        endpoint.avoidUntil = {};
        break;
    case AttemptOutcome::Refused:
        break;
    case AttemptOutcome::Failed:
        ++endpoint.failures;
        endpoint.avoidUntil = now + backoffAfter(endpoint.failures);
        break;
    case AttemptOutcome::Hung:
        ++endpoint.failures;
        endpoint.avoidUntil = now + backoffAfter(endpoint.failures, {.initial = InitialHungBackoff, .maximum = MaxHungBackoff});
        break;
    case AttemptOutcome::Unreachable:
        ++endpoint.failures;
        endpoint.avoidUntil = now + std::max(UnreachableBackoff, backoffAfter(endpoint.failures));
        break;
    }
}

double EndpointTable::expectedLoad(const Endpoint &endpoint, BootTime now)
{
    const double reported = endpoint.load.running + endpoint.load.waiting;
    const double others = std::max(0.0, reported - endpoint.inFlightAtReport);
    const double weight = std::exp2(-seconds(now - endpoint.reportedAt) / ReportHalfLife.count());
    return endpoint.inFlight + others * weight;
}

double EndpointTable::cost(const Endpoint &endpoint, BootTime now) const
{
    const double slots = std::max<std::uint32_t>(endpoint.record.slots, 1);
    const bool isNear = endpoint.record.dataCentre == options_.dataCentre;
    return expectedLoad(endpoint, now) / slots + (isNear ? 0 : OtherDataCentreCost);
}

} // namespace magnolia::routing
