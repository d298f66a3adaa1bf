#include "forward/forwardtask.h"

#include "callersession.h"
#include "forwardcore.h"
#include "http/httpserver.h"
#include "http/timer.h"
#include "observe/log.h"

#include <event2/listener.h>

#include <unistd.h>

#include <unordered_map>
#include <utility>

namespace magnolia::forward
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
constexpr int Backlog = 512; ///< A full queue drops the opening packet, which is sent again only after a second.

// The balancer asks once a second and takes an instance out after two misses; new connections may come until then, and
// some more while the news travels. Kept connections that are idle are closed only after that.
constexpr Duration StopLag{3200};
constexpr Duration StopCheckInterval{50};

// Later than this after the order to stop a stream is not begun any more: it would be cut by the end of the process. It is
// the time that a balancer takes to hear of it, and some; where no instance is ready it goes on sending.
constexpr Duration StopTakesTime{3000};
constexpr Duration GraceMargin{400}; ///< The process ends by itself so long before it would be killed.

// Without a proof for so long the balancer is asked to send callers elsewhere, in good time before keys are refused.
constexpr double UnreadyShareOfBound = 0.6;

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

class ForwardTaskImpl final : public ForwardTask
{
public:
    ForwardTaskImpl(event_base *loop, ForwardOptions options, observe::Metrics &metrics, std::function<void()> onStopped)
        : core_(loop, std::move(options), metrics), onStopped_(std::move(onStopped)), stopTimer_(loop, [this] { checkStop(); })
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
        core_.setInstanceCount(instances);
    }
    void putEndpoint(const routing::EndpointRecord &record) override;
    void removeEndpoint(std::string_view id) override;
    void setCrashReportPublisher(CrashReportPublisher sharing) override
    {
        core_.crashes.share(std::move(sharing));
    }
    void putCrashReport(const routing::CrashReport &report) override
    {
        core_.crashes.takeReport(report);
    }
    void withdrawCrashReport(std::string_view fingerprint, std::uint32_t ordinal) override
    {
        core_.crashes.takeWithdrawal(fingerprint, ordinal);
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
    void accepted(int fd);
    void answerReady(http::Exchange &exchange) const;
    std::string_view notReadyReason() const;
    void checkStop();
    std::size_t busySessions() const;

    ForwardCore core_;
    std::function<void()> onStopped_;
    http::Timer stopTimer_;
    BootTime stopBegan_;
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
        core_.loop, {.address = core_.options.readyAddress}, [this](const std::shared_ptr<http::Exchange> &exchange) { answerReady(*exchange); });
    if (!ready) {
        return tl::unexpected(ready.error());
    }
    ready_ = std::move(*ready);
    const auto address = http::SocketAddress::parse(core_.options.callersAddress);
    if (!address) {
        return tl::unexpected(address.error());
    }
    const auto onAccept = [](evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *self) { static_cast<ForwardTaskImpl *>(self)->accepted(fd); };
    const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    callers_.reset(evconnlistener_new_bind(core_.loop, onAccept, this, flags, Backlog, address->get(), static_cast<int>(address->length)));
    if (callers_ == nullptr) {
        return magnolia::fail(ErrorCode::Unavailable, Verdict::NotRun, "can't listen on " + core_.options.callersAddress);
    }
    log()->info("Callers are served on {}, readiness is told on {}", callersAddress(), readyAddress());
    return {};
}

void ForwardTaskImpl::accepted(int fd)
{
    http::tuneSocket(fd);
    auto session = std::make_shared<CallerSession>(core_, http::Connection::adopt(core_.loop, fd), [this](CallerSession *ended) { sessions_.erase(ended); });
    CallerSession *started = session.get();
    sessions_.emplace(started, std::move(session));
    started->start();
}

void ForwardTaskImpl::answerReady(http::Exchange &exchange) const
{
    if (exchange.path() != core_.options.protocol.healthPath) {
        exchange.reply(StatusNotFound, {}, "");
        return;
    }
    const std::string_view reason = notReadyReason();
    exchange.reply(reason.empty() ? StatusOk : StatusUnavailable, {{"content-type", "text/plain"}}, reason.empty() ? "ready" : reason);
}

std::string_view ForwardTaskImpl::notReadyReason() const
{
    if (core_.isStopping) {
        return "stopping";
    }
    if (core_.routes == nullptr) {
        return "no routes are known yet";
    }
    if (core_.endpoints.size() == 0) {
        return "no endpoint is known yet";
    }
    const auto bound = std::chrono::duration_cast<BootClock::duration>(core_.options.proof.bound * UnreadyShareOfBound);
    if (core_.options.proof.bound.count() > 0 && core_.proof.age(BootClock::now()) > bound) {
        return "it is not proved that the known routes are the newest";
    }
    return {};
}

void ForwardTaskImpl::putRoutes(routing::RouteTable::Pointer table)
{
    if (core_.routes != nullptr && table->version() <= core_.routes->version()) {
        return;
    }
    core_.routes = std::move(table);
    core_.metrics.routesVersion.set(static_cast<double>(core_.routes->version()));
    log()->info("Routes in force version={} routes={} services={} organisations={}",
                core_.routes->version(),
                core_.routes->config().routes.size(),
                core_.routes->config().services.size(),
                core_.routes->config().organisations.size());
    core_.tellNews();
}

void ForwardTaskImpl::confirmRoutes(BootTime asOf)
{
    core_.proof.confirmed(asOf);
    core_.tellNews();
}

void ForwardTaskImpl::putEndpoint(const routing::EndpointRecord &record)
{
    const routing::EndpointPointer known = core_.endpoints.find(record.id);
    const bool wasLeaving = known != nullptr && known->record.isLeaving;
    core_.endpoints.put(record);
    const routing::EndpointPointer current = core_.endpoints.find(record.id);
    const bool isOtherRun = known != nullptr && current != known;
    const bool isNews = known == nullptr || isOtherRun || wasLeaving != current->record.isLeaving;
    if (isNews) {
        log()->info("Endpoint known id={} service={} address={} data_centre={} leaving={} incarnation={}",
                    record.id,
                    record.service,
                    record.address,
                    record.dataCentre,
                    record.isLeaving,
                    record.incarnation);
    }
    if (isOtherRun || current->record.isLeaving) {
        core_.connections.closeAll(record.id); // They lead to a run that has ended, or soon will.
    }
    if (isNews && !current->record.isLeaving) {
        core_.tellNews();
    }
}

void ForwardTaskImpl::removeEndpoint(std::string_view id)
{
    if (core_.endpoints.find(id) == nullptr) {
        return;
    }
    log()->info("Endpoint gone id={}", id);
    core_.endpoints.remove(id);
    core_.connections.closeAll(id);
}

void ForwardTaskImpl::drain()
{
    if (std::exchange(core_.isStopping, true)) {
        return;
    }
    stopBegan_ = BootClock::now();
    core_.takesUntil = stopBegan_ + StopTakesTime;
    core_.endsAt = stopBegan_ + core_.options.gracePeriod - GraceMargin;
    log()->info("Stopping in_progress={} connections={} grace_ms={}", busySessions(), sessions_.size(), core_.options.gracePeriod.count());
    stopTimer_.start(StopLag);
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
    const bool isOver = BootClock::now() - stopBegan_ >= core_.options.gracePeriod - GraceMargin;
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
