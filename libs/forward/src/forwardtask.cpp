#include "forward/forwardtask.h"

#include "callersession.h"
#include "forwardcontext.h"
#include "http/httpserver.h"
#include "http/timer.h"
#include "observe/log.h"
#include "statuscodes.h"

#include <event2/listener.h>

#include <unistd.h>

#include <algorithm>
#include <random>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnolia::forward
{

namespace
{

constexpr int Backlog = 512; ///< With a full queue a SYN is dropped, which is retransmitted only after a second.

// The load balancer checks readiness once a second and removes an instance after two failures. New connections may arrive
// until then, and for a moment longer while that change propagates. Idle keep-alive connections are closed only after that.
constexpr Duration BalancerLag{3200};
constexpr Duration StopCheckInterval{50};

// For this long after the order to stop all requests are accepted: somewhat longer than a load balancer takes to notice.
// Later ones, which it sends if no instance is ready, are accepted only if their deadline is before the end of the process,
// since that would cut off a stream in progress.
constexpr Duration StopAcceptPeriod{3000};
constexpr Duration GraceMargin{400}; ///< How long before the kill the process exits.

// At this share of the maximum age of the proof the entry reports not ready, so that callers move before keys are rejected.
constexpr double UnreadyProofShare = 0.6;

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("forward");
    return instance;
}

struct FreeListener {
    void operator()(evconnlistener *handle) const
    {
        evconnlistener_free(handle);
    }
};

/** @param evacuated the endpoints that are evacuated since the change. */
void logEvacuationChanges(const routing::Evacuations &before, const routing::Evacuations &after, std::span<const routing::EndpointPointer> evacuated)
{
    const auto age = std::chrono::duration_cast<Duration>(BootClock::now() - after.provedAt).count();
    for (const std::string &dataCentre : after.dataCentres) {
        if (!before.contains(dataCentre)) {
            const auto isThere = [&](const routing::EndpointPointer &endpoint) { return endpoint->record.dataCentre == dataCentre; };
            const auto endpoints = std::count_if(evacuated.begin(), evacuated.end(), isThere);
            log()->info("Evacuation begins data_centre={} version={} age_ms={} endpoints={}", dataCentre, after.version, age, endpoints);
        }
    }
    for (const std::string &dataCentre : before.dataCentres) {
        if (!after.contains(dataCentre)) {
            log()->info("Evacuation ends data_centre={} version={} age_ms={}", dataCentre, after.version, age);
        }
    }
}

// All entries learn at the same moment that an endpoint is listed again, and a new connection to it takes about a millisecond.
constexpr Duration HealthCheckSpacing{1};

class ForwardTaskImpl final : public ForwardTask
{
public:
    ForwardTaskImpl(event_base *loop, ForwardOptions options, observe::Metrics &metrics, std::function<void()> onStopped)
        : context_(loop, std::move(options), metrics), onStopped_(std::move(onStopped)), stopTimer_(loop, [this] { checkStop(); })
    {
    }
    ~ForwardTaskImpl() override;
    ForwardTaskImpl(const ForwardTaskImpl &) = delete;
    ForwardTaskImpl &operator=(const ForwardTaskImpl &) = delete;

    Result<void> listen();

    void putRoutes(routing::RouteTable::Pointer table) override;
    void confirmRoutes(BootTime asOf) override;
    void setInstanceCount(std::size_t instances) override
    {
        context_.setInstanceCount(instances);
    }
    void setInstances(Instances instances) override
    {
        const std::size_t before = context_.options.retries.instances;
        const std::size_t count = instances.others.size() + 1;
        if (instances.isComplete && count != before) {
            log()->info("Number of instances changed before={} after={} first_process={}", before, count, instances.isFirstProcess);
        }
        context_.setInstances(std::move(instances));
    }
    void putEndpoint(const routing::EndpointRecord &record) override;
    void removeEndpoint(std::string_view id) override;
    void askHealth(const routing::EndpointRecord &endpoint, std::function<void(bool isHealthy)> done) override;
    void putEvacuations(const routing::Evacuations &evacuations) override;
    void onFirstListComplete() override
    {
        context_.endpoints.coldEndpoints().onFirstListComplete();
    }
    void setCrashReportPublisher(CrashReportPublisher publisher) override
    {
        context_.crashTracker.setPublisher(std::move(publisher));
    }
    void putCrashReport(const routing::CrashReport &report) override
    {
        context_.crashTracker.addPeerReport(report);
    }
    void withdrawCrashReport(std::string_view fingerprint, std::uint32_t ordinal) override
    {
        context_.crashTracker.withdrawPeerReport(fingerprint, ordinal);
    }
    void drain() override;
    std::string callersAddress() const override
    {
        return http::SocketAddress::ofSocket(evconnlistener_get_fd(callers_.get())).toString();
    }
    std::string readyAddress() const override
    {
        return ready_->address();
    }

private:
    void startSession(int fd);
    void answerReady(http::Exchange &exchange) const;
    std::string_view notReadyReason() const;
    void checkStop();
    std::size_t busySessions() const;

    ForwardContext context_;
    std::function<void()> onStopped_;
    http::Timer stopTimer_;
    BootTime stoppingSince_;
    std::unique_ptr<evconnlistener, FreeListener> callers_;
    std::unique_ptr<http::HttpServer> ready_;
    std::unordered_map<CallerSession *, std::shared_ptr<CallerSession>> sessions_;
};

ForwardTaskImpl::~ForwardTaskImpl()
{
    sessions_.clear();
}

Result<void> ForwardTaskImpl::listen()
{
    auto ready = http::HttpServer::listen(
        context_.loop, {.address = context_.options.readyAddress}, [this](const std::shared_ptr<http::Exchange> &exchange) { answerReady(*exchange); });
    if (!ready) {
        return tl::unexpected(ready.error());
    }
    ready_ = std::move(*ready);
    const auto address = http::SocketAddress::parse(context_.options.callersAddress);
    if (!address) {
        return tl::unexpected(address.error());
    }
    const auto onAccept = [](evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *self) { static_cast<ForwardTaskImpl *>(self)->startSession(fd); };
    const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    callers_.reset(evconnlistener_new_bind(context_.loop, onAccept, this, flags, Backlog, address->get(), static_cast<int>(address->length)));
    if (callers_ == nullptr) {
        return magnolia::fail(ErrorCode::Unavailable, Verdict::NotRun, "can't listen on " + context_.options.callersAddress);
    }
    log()->info("Listening for callers on {}, for readiness checks on {}", callersAddress(), readyAddress());
    return {};
}

void ForwardTaskImpl::startSession(int fd)
{
    http::tuneSocket(fd);
    auto session =
        std::make_shared<CallerSession>(context_, http::Connection::adopt(context_.loop, fd), [this](CallerSession *ended) { sessions_.erase(ended); });
    CallerSession *started = session.get();
    sessions_.emplace(started, std::move(session));
    started->start();
}

void ForwardTaskImpl::answerReady(http::Exchange &exchange) const
{
    if (exchange.path() != context_.options.protocol.healthPath) {
        exchange.reply(StatusNotFound, {}, "");
        return;
    }
    const std::string_view reason = notReadyReason();
    exchange.reply(reason.empty() ? StatusOk : StatusUnavailable, {{"content-type", "text/plain"}}, reason.empty() ? "ready" : reason);
}

std::string_view ForwardTaskImpl::notReadyReason() const
{
    if (context_.isStopping) {
        return "stopping";
    }
    if (context_.routes == nullptr) {
        return "no routes are known yet";
    }
    if (context_.endpoints.size() == 0) {
        return "no endpoint is known yet";
    }
    const auto bound = std::chrono::duration_cast<BootClock::duration>(context_.options.proof.bound * UnreadyProofShare);
    if (context_.options.proof.bound.count() > 0 && context_.proof.age(BootClock::now()) > bound) {
        return "it is not proved that the known routes are the newest";
    }
    return {};
}

void ForwardTaskImpl::putRoutes(routing::RouteTable::Pointer table)
{
    if (context_.routes != nullptr && table->version() <= context_.routes->version()) {
        return;
    }
    context_.routes = std::move(table);
    context_.endpoints.coldEndpoints().setServices(context_.routes->config().services);
    context_.metrics.routesVersion.set(static_cast<double>(context_.routes->version()));
    log()->info("Routes in force version={} routes={} services={} organisations={}",
                context_.routes->version(),
                context_.routes->config().routes.size(),
                context_.routes->config().services.size(),
                context_.routes->config().organisations.size());
    context_.notifyWaiters();
}

void ForwardTaskImpl::confirmRoutes(BootTime asOf)
{
    context_.proof.confirm(asOf);
    context_.notifyWaiters();
}

void ForwardTaskImpl::putEndpoint(const routing::EndpointRecord &record)
{
    const routing::EndpointPointer known = context_.endpoints.find(record.id);
    const bool wasLeaving = known != nullptr && known->record.isLeaving;
    context_.endpoints.put(record);
    const routing::EndpointPointer current = context_.endpoints.find(record.id);
    const bool isOtherRun = known != nullptr && current != known;
    const bool hasChanged = known == nullptr || isOtherRun || wasLeaving != current->record.isLeaving;
    if (hasChanged) {
        log()->info("Endpoint known id={} service={} address={} data_centre={} leaving={} incarnation={} listed_at={} heartbeat={}",
                    record.id,
                    record.service,
                    record.address,
                    record.dataCentre,
                    record.isLeaving,
                    record.incarnation.startedAtMs().value_or(0),
                    record.listedAt,
                    record.heartbeat);
    }
    context_.coldMonitor.onListed(*current);
    if (isOtherRun || current->record.isLeaving) {
        context_.connections.closeAll(record.id); // They lead to a process that has ended or is about to end.
    }
    if (hasChanged && !current->record.isLeaving) {
        context_.notifyWaiters();
    }
}

void ForwardTaskImpl::removeEndpoint(std::string_view id)
{
    if (context_.endpoints.find(id) == nullptr) {
        return;
    }
    log()->info("Endpoint gone id={}", id);
    context_.endpoints.remove(id);
    context_.connections.closeAll(id);
}

void ForwardTaskImpl::askHealth(const routing::EndpointRecord &endpoint, std::function<void(bool isHealthy)> done)
{
    const routing::Service *service = context_.routes != nullptr ? context_.routes->service(endpoint.service) : nullptr;
    const Duration longestDelay = HealthCheckSpacing * static_cast<Duration::rep>(context_.endpoints.instances());
    std::uniform_int_distribution<Duration::rep> delay(0, longestDelay.count());
    context_.healthCheck.ask({.id = endpoint.id,
                              .address = endpoint.address,
                              .path = service != nullptr ? service->healthPath : std::string(),
                              .delay = Duration(delay(context_.random))},
                             std::move(done));
}

void ForwardTaskImpl::putEvacuations(const routing::Evacuations &evacuations)
{
    const routing::Evacuations before = context_.endpoints.evacuations();
    const std::vector<routing::EndpointPointer> evacuated = context_.endpoints.setEvacuations(evacuations);
    for (const routing::EndpointPointer &endpoint : evacuated) {
        context_.connections.closeAll(endpoint->record.id);
    }
    context_.metrics.evacuatedDataCentres.set(static_cast<double>(evacuations.dataCentres.size()));
    logEvacuationChanges(before, evacuations, evacuated);
    for (const std::string &dataCentre : before.dataCentres) {
        if (!evacuations.contains(dataCentre)) {
            context_.coldMonitor.onDataCentreReturned(dataCentre);
        }
    }
    context_.notifyWaiters();
    context_.scheduleAdmissions();
}

void ForwardTaskImpl::drain()
{
    if (std::exchange(context_.isStopping, true)) {
        return;
    }
    stoppingSince_ = BootClock::now();
    context_.acceptsUntil = stoppingSince_ + StopAcceptPeriod;
    context_.exitsAt = stoppingSince_ + context_.options.gracePeriod - GraceMargin;
    log()->info("Stopping in_progress={} connections={} grace_ms={}", busySessions(), sessions_.size(), context_.options.gracePeriod.count());
    stopTimer_.start(BalancerLag);
}

std::size_t ForwardTaskImpl::busySessions() const
{
    std::size_t busy = 0;
    for (const auto &[key, session] : sessions_) {
        busy += session->isBusy() ? 1 : 0;
    }
    return busy;
}

void ForwardTaskImpl::checkStop()
{
    std::vector<CallerSession *> open;
    for (const auto &[key, session] : sessions_) {
        open.push_back(key);
    }
    for (CallerSession *session : open) {
        session->closeIfIdle();
    }
    const bool isOver = BootClock::now() - stoppingSince_ >= context_.options.gracePeriod - GraceMargin;
    if (!sessions_.empty() && !isOver) {
        stopTimer_.start(StopCheckInterval);
        return;
    }
    log()->info("Stopped cut_off={}", busySessions());
    if (const auto stopped = std::exchange(onStopped_, nullptr)) {
        stopped();
    }
}

} // namespace

Result<std::unique_ptr<ForwardTask>> ForwardTask::start(event_base *loop, ForwardOptions options, observe::Metrics &metrics, std::function<void()> onStopped)
{
    http::ignoreBrokenPipes();
    auto task = std::make_unique<ForwardTaskImpl>(loop, std::move(options), metrics, std::move(onStopped));
    if (const auto listening = task->listen(); !listening) {
        return tl::unexpected(listening.error());
    }
    return task;
}

} // namespace magnolia::forward
