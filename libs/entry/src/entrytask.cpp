#include "entry/entrytask.h"

#include "agentpool.h"
#include "callrunner.h"
#include "entry/callerrequest.h"
#include "entry/erroranswer.h"
#include "entry/manifestfeed.h"
#include "entry/stopsequence.h"
#include "entrymetrics.h"
#include "http/timer.h"
#include "observe/log.h"
#include "operatorsapi.h"
#include "placement.h"
#include "policy/tokenbuckets.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <string_view>
#include <utility>

namespace magnolia::entry
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr Duration StopCheckInterval{20};
constexpr Duration FirstListRetry{250}; ///< While no list has been had yet there is nobody to send to.
constexpr std::string_view BearerPrefix = "Bearer ";

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("entry");
    return instance;
}

Failure notRun(ErrorCode code, std::string detail)
{
    return {.code = code, .verdict = Verdict::NotRun, .detail = std::move(detail), .retryAfter = {}};
}

void reply(http::Exchange &exchange, const HttpAnswer &answer)
{
    exchange.reply(answer.status, answer.headers, answer.body);
}

std::string modelsBody(const CallerRequest &request)
{
    nlohmann::json models = nlohmann::json::array();
    for (const std::string &name : request.manifest->reachableModels(*request.organisation)) {
        models.push_back({{"id", name}, {"object", "model"}, {"owned_by", "magnoliarack"}});
    }
    return nlohmann::json{{"object", "list"}, {"data", std::move(models)}}.dump();
}

class EntryTaskImpl final : public EntryTask
{
public:
    EntryTaskImpl(event_base *loop,
                  EntryOptions options,
                  PlatformPorts ports,
                  observe::Metrics &metrics,
                  observe::Tracer &tracer,
                  std::function<void()> onStopped);
    ~EntryTaskImpl() override;
    EntryTaskImpl(const EntryTaskImpl &) = delete;
    EntryTaskImpl &operator=(const EntryTaskImpl &) = delete;

    Result<void> listen();
    void drain() override;
    std::string callersAddress() const override
    {
        return callers_->address();
    }
    std::string operatorsAddress() const override
    {
        return operators_->address();
    }

private:
    // Callers.
    void takeCaller(const std::shared_ptr<http::Exchange> &exchange);
    bool isWithinRate(const CallerRequest &request, const RequestId &id, http::Exchange &exchange);
    void refuse(http::Exchange &exchange, const RequestId &id, const Failure &failure, const manifest::Tier *tier);

    // Operators.
    void takeOperator(http::Exchange &exchange);
    void answerDrain(http::Exchange &exchange);
    std::string_view notReadyReason() const;
    std::string status() const;

    // Agents and manifest.
    void putInForce(const manifest::ManifestIndex::Pointer &index);
    void fetchInstances();
    void takeInstances(const Result<std::vector<store::Instance>> &instances);
    void retargetSoon();
    void retarget();
    AgentPool::Callbacks poolCallbacks();
    ManifestFeed::Callbacks feedCallbacks();
    void takeMessage(Agent &agent, wire::Message &&message);

    void checkStop();

    event_base *loop_;
    EntryOptions options_;
    PlatformPorts ports_;
    observe::Metrics &rendered_;
    EntryMetrics metrics_;
    std::function<void()> onStopped_;
    Random random_;
    AgentPool pool_;
    Placement placement_;
    CallRunner runner_;
    std::unique_ptr<ManifestFeed> feed_;
    manifest::ManifestIndex::Pointer index_;
    policy::TokenBuckets buckets_;
    policy::EndpointSubset subset_;
    std::vector<store::Instance> instances_;
    bool hasList_ = false;
    http::Timer listTimer_;
    http::Timer retargetTimer_;
    http::Timer stopTimer_;
    StopSequence stop_;
    MonoTime stopBegun_;
    bool hasWarned_ = false;
    std::unique_ptr<http::HttpServer> callers_;
    std::unique_ptr<http::HttpServer> operators_;
    std::shared_ptr<bool> alive_; ///< Replies of the platform can come after the task is gone.
};

EntryTaskImpl::EntryTaskImpl(event_base *loop,
                             EntryOptions options,
                             PlatformPorts ports,
                             observe::Metrics &metrics,
                             observe::Tracer &tracer,
                             std::function<void()> onStopped)
    : loop_(loop)
    , options_(std::move(options))
    , ports_(std::move(ports))
    , rendered_(metrics)
    , metrics_(metrics)
    , onStopped_(std::move(onStopped))
    , random_(seededRandom())
    , pool_(loop, options_.links, poolCallbacks())
    , placement_({}, seededRandom())
    , runner_(loop, {.maxWholeBytes = options_.maxWholeBytes, .maxPendingBytes = options_.maxPendingBytes}, pool_, placement_, metrics_, tracer)
    , feed_(ports_.follow(loop, {.pollInterval = options_.pollInterval}, feedCallbacks()))
    , buckets_({})
    , subset_(options_.subset)
    , listTimer_(loop, [this] { fetchInstances(); })
    , retargetTimer_(loop, [this] { retarget(); })
    , stopTimer_(loop, [this] { checkStop(); })
    , stop_(options_.stopLag)
    , alive_(std::make_shared<bool>(true))
{
}

EntryTaskImpl::~EntryTaskImpl()
{
    *alive_ = false;
}

Result<void> EntryTaskImpl::listen()
{
    auto operators = http::HttpServer::listen(loop_, options_.operators, [this](const std::shared_ptr<http::Exchange> &exchange) { takeOperator(*exchange); });
    if (!operators) {
        return tl::unexpected(operators.error());
    }
    auto callers = http::HttpServer::listen(loop_, options_.callers, [this](const std::shared_ptr<http::Exchange> &exchange) { takeCaller(exchange); });
    if (!callers) {
        return tl::unexpected(callers.error());
    }
    operators_ = std::move(*operators);
    callers_ = std::move(*callers);
    log()->info("Callers are served on {}, operators on {}", callers_->address(), operators_->address());
    feed_->start();
    fetchInstances();
    return {};
}

void EntryTaskImpl::takeCaller(const std::shared_ptr<http::Exchange> &exchange)
{
    const RequestId id = RequestId::mint(random_);
    if (stop_.phase(MonoClock::now()) == StopSequence::Phase::Refusing) {
        refuse(*exchange, id, notRun(ErrorCode::Leaving, "this entry is stopping"), nullptr);
        return;
    }
    const ReceivedRequest received{
        .method = exchange->method(), .path = exchange->path(), .target = exchange->target(), .headers = exchange->headers(), .body = exchange->body()};
    Result<CallerRequest> request = parseCallerRequest(received, index_, {.defaultTimeout = options_.defaultTimeout});
    if (!request) {
        refuse(*exchange, id, request.error(), nullptr);
        return;
    }
    if (!isWithinRate(*request, id, *exchange)) {
        return;
    }
    if (request->kind == CallerRequestKind::ListModels) {
        http::Headers headers = answerHeaders(id, Verdict::Ran);
        headers["content-type"] = "application/json";
        exchange->reply(StatusOk, headers, modelsBody(*request));
        metrics_.ended(&request->organisation->tier, Verdict::Ran, nullptr);
        return;
    }
    runner_.begin(id, exchange, std::move(*request), stop_.isStopping());
}

bool EntryTaskImpl::isWithinRate(const CallerRequest &request, const RequestId &id, http::Exchange &exchange)
{
    const manifest::Organisation &organisation = *request.organisation;
    if (organisation.requestsPerSecond <= 0) {
        return true;
    }
    const policy::RateLimit limit{.perSecond = organisation.requestsPerSecond, .burst = std::max(organisation.burst, 1.0)};
    const policy::RateDecision decision = buckets_.take(organisation.name, limit, MonoClock::now());
    if (decision.allowed) {
        return true;
    }
    Failure failure = notRun(ErrorCode::RateLimited, "over the organisation's rate");
    failure.retryAfter = decision.retryAfter;
    refuse(exchange, id, failure, &organisation.tier);
    return false;
}

void EntryTaskImpl::refuse(http::Exchange &exchange, const RequestId &id, const Failure &failure, const manifest::Tier *tier)
{
    HttpAnswer answer = errorAnswer(failure, id);
    if (stop_.isStopping()) {
        answer.headers["connection"] = "close";
    }
    reply(exchange, answer);
    metrics_.ended(tier, failure.verdict, &failure.code);
}

void EntryTaskImpl::takeOperator(http::Exchange &exchange)
{
    const std::string_view path = exchange.path();
    const bool isGet = exchange.method() == "GET";
    const http::Headers json{{"content-type", "application/json"}};
    if (isGet && path == "/healthz") {
        exchange.reply(StatusOk, json, R"({"healthy":true})");
    } else if (isGet && path == "/readyz") {
        reply(exchange, readyAnswer(notReadyReason()));
    } else if (isGet && path == "/metrics") {
        exchange.reply(StatusOk, {{"content-type", observe::MetricsContentType}}, rendered_.render());
    } else if (isGet && path == "/status") {
        exchange.reply(StatusOk, json, status());
    } else if (exchange.method() == "POST" && path == "/drain") {
        answerDrain(exchange);
    } else if (exchange.method() == "POST" && path == "/explain") {
        reply(exchange, explainAnswer(exchange.body(), index_, placement_, MonoClock::now()));
    } else {
        reply(exchange, errorAnswer(notRun(ErrorCode::NotFound, "there are GET /healthz, /readyz, /metrics, /status and POST /drain, /explain"), RequestId{}));
    }
}

void EntryTaskImpl::answerDrain(http::Exchange &exchange)
{
    const auto found = exchange.headers().find("authorization");
    const std::string_view given = found == exchange.headers().end() ? std::string_view{} : std::string_view(found->second);
    const bool isBearer = given.starts_with(BearerPrefix);
    if (!isBearer || options_.operatorsKey.empty() || !options_.operatorsKey.matches(given.substr(BearerPrefix.size()))) {
        reply(exchange, errorAnswer(notRun(ErrorCode::Unauthorised, "POST /drain needs the operators' key"), RequestId{}));
        return;
    }
    exchange.reply(StatusAccepted, {{"content-type", "application/json"}}, R"({"leaving":true})");
    drain();
}

std::string_view EntryTaskImpl::notReadyReason() const
{
    if (stop_.isStopping()) {
        return "leaving";
    }
    if (index_ == nullptr) {
        return "no manifest is in force yet";
    }
    if (pool_.linksUp() == 0) {
        return "no link to an agent is up";
    }
    return {};
}

std::string EntryTaskImpl::status() const
{
    const manifest::FollowerStatus manifestStatus = feed_->status();
    return statusBody({.instance = options_.instance,
                       .dataCentre = options_.dataCentre,
                       .isLeaving = stop_.isStopping(),
                       .inProgress = runner_.inProgress(),
                       .manifest = manifestStatus,
                       .pool = pool_});
}

AgentPool::Callbacks EntryTaskImpl::poolCallbacks()
{
    return {
        .up =
            [this](Agent &agent) {
                metrics_.linksUp.set(static_cast<double>(pool_.linksUp()));
                runner_.agentUp(agent);
                feed_->peerUp(agent.at.name);
            },
        .down =
            [this](Agent &agent, LinkId ended) {
                metrics_.linksUp.set(static_cast<double>(pool_.linksUp()));
                runner_.linkDown(agent, ended);
                feed_->peerDown(agent.at.name);
            },
        .lost =
            [this](Agent &agent) {
                runner_.agentLost(agent);
                retargetSoon();
            },
        .message = [this](Agent &agent, wire::Message &&message) { takeMessage(agent, std::move(message)); },
        .dropped =
            [this](Agent &agent) {
                placement_.invalidate(index_, pool_);
                feed_->peerDown(agent.at.name);
            },
    };
}

ManifestFeed::Callbacks EntryTaskImpl::feedCallbacks()
{
    return {
        .send =
            [this](const manifest::PeerName &peer, const wire::Message &message) {
                if (Agent *agent = pool_.find(peer)) {
                    pool_.send(*agent, message);
                }
            },
        .putInForce = [this](const manifest::ManifestIndex::Pointer &index) { putInForce(index); },
        .warn = [](std::string_view text) { observe::logger("manifest")->warn("{}", text); },
    };
}

void EntryTaskImpl::takeMessage(Agent &agent, wire::Message &&message)
{
    if (!feed_->take(agent.at.name, message)) {
        runner_.take(agent, std::move(message));
    }
}

void EntryTaskImpl::putInForce(const manifest::ManifestIndex::Pointer &index)
{
    index_ = index;
    log()->info("Manifest version {} is in force", index_->version());
    metrics_.manifestVersion.set(static_cast<double>(index_->version()));
    placement_.invalidate(index_, pool_);
    retargetSoon();
}

void EntryTaskImpl::fetchInstances()
{
    ports_.fetchInstances([this, alive = alive_](const Result<std::vector<store::Instance>> &instances) {
        if (*alive) {
            takeInstances(instances);
        }
    });
}

void EntryTaskImpl::takeInstances(const Result<std::vector<store::Instance>> &instances)
{
    if (instances) {
        hasList_ = true;
        instances_ = *instances;
        feed_->daemonCount(instances_.size());
        retarget();
    } else {
        log()->warn("The instance list can't be read: {}", instances.error().detail);
    }
    // Jitter, so that hundreds of daemons that were started together don't ask together.
    const Duration mean = hasList_ ? options_.pollInterval : std::min(FirstListRetry, options_.pollInterval);
    std::uniform_int_distribution<Duration::rep> spread(mean.count() / 2, mean.count() * 3 / 2);
    listTimer_.start(Duration(spread(random_)));
}

void EntryTaskImpl::retargetSoon()
{
    // Not at once: a dialer whose callback this may be would be destroyed under it.
    retargetTimer_.start(Duration(0));
}

void EntryTaskImpl::retarget()
{
    if (index_ == nullptr) {
        // Peers are needed to learn the manifest while the store is down, so some are dialled before there is one.
        constexpr std::size_t FirstPeers = 5;
        std::vector<AgentAddress> first;
        for (const store::Instance &instance : instances_) {
            if (instance.role == "agent" && !instance.leaving && first.size() < FirstPeers) {
                first.push_back({.name = instance.name, .endpoint = instance.endpoint, .address = instance.address, .distance = {}});
            }
        }
        pool_.retarget(first);
        return;
    }
    std::vector<std::vector<std::uint32_t>> services;
    std::vector<AgentAddress> known;
    std::map<std::string_view, std::uint32_t> numbers;
    const auto numberOf = [&numbers](std::string_view name) { return numbers.emplace(name, static_cast<std::uint32_t>(numbers.size())).first->second; };
    for (const store::Instance &instance : instances_) {
        const manifest::Endpoint *endpoint = index_->endpoint(instance.endpoint);
        if (instance.role != "agent" || endpoint == nullptr) {
            continue;
        }
        std::vector<std::uint32_t> offered;
        for (const std::string &model : endpoint->models) {
            offered.push_back(numberOf(model));
        }
        if (endpoint->kind == manifest::EndpointKind::Service) {
            offered.push_back(numberOf(endpoint->service));
        }
        const bool isNear = instance.dataCentre == options_.dataCentre;
        services.push_back(std::move(offered));
        known.push_back({.name = instance.name,
                         .endpoint = instance.endpoint,
                         .address = instance.address,
                         .distance = isNear ? policy::Distance::SameDataCentre : policy::Distance::SameRegion});
    }
    std::vector<policy::SubsetEndpoint> endpoints;
    for (std::size_t index = 0; index < known.size(); ++index) {
        endpoints.push_back({.endpoint = policy::endpointKey(known[index].endpoint), .distance = known[index].distance, .services = services[index]});
    }
    std::vector<AgentAddress> wanted;
    for (const std::size_t index : subset_.select(options_.instance, endpoints)) {
        wanted.push_back(known[index]);
    }
    pool_.retarget(wanted);
    placement_.invalidate(index_, pool_);
    metrics_.linksUp.set(static_cast<double>(pool_.linksUp()));
}

void EntryTaskImpl::drain()
{
    if (stop_.isStopping()) {
        return;
    }
    stopBegun_ = MonoClock::now();
    stop_.begin(stopBegun_);
    log()->info("Stopping: not ready any more, new work is taken for another {} ms", options_.stopLag.count());
    stopTimer_.start(std::max(options_.stopLag, StopCheckInterval));
}

void EntryTaskImpl::checkStop()
{
    const MonoTime now = MonoClock::now();
    if (stop_.mayEnd(now, std::max(runner_.inProgress(), callers_->openExchanges()))) {
        log()->info("Stopped: no work is in progress");
        if (const auto stopped = std::exchange(onStopped_, nullptr)) {
            stopped();
        }
        return;
    }
    if (!hasWarned_ && now - stopBegun_ > options_.stopWarnAfter) {
        hasWarned_ = true;
        log()->warn("{} requests are still in progress; they are not cut off", runner_.inProgress());
    }
    stopTimer_.start(StopCheckInterval);
}

} // namespace

Result<std::unique_ptr<EntryTask>> EntryTask::start(event_base *loop,
                                                    EntryOptions options,
                                                    PlatformPorts ports,
                                                    observe::Metrics &metrics,
                                                    observe::Tracer &tracer,
                                                    std::function<void()> onStopped)
{
    auto task = std::make_unique<EntryTaskImpl>(loop, std::move(options), std::move(ports), metrics, tracer, std::move(onStopped));
    if (const auto listening = task->listen(); !listening) {
        return tl::unexpected(listening.error());
    }
    return task;
}

} // namespace magnolia::entry
