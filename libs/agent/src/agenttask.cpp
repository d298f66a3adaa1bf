#include "agent/agenttask.h"

#include "agent/attemptrunner.h"
#include "enginekeeper.h"
#include "http/timer.h"
#include "manifestdriver.h"
#include "observe/log.h"
#include "operatorsapi.h"
#include "rolloutdriver.h"
#include "wire/loadedlist.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <utility>

namespace magnolia::agent
{

namespace
{

using Json = nlohmann::json;

constexpr Duration TickInterval{100};
/** What has been sent goes out of the process before it ends. */
constexpr Duration FlushTime{200};

/** Another number for each start of an agent: the wall clock's milliseconds and random bits, as nothing is kept. */
wire::Incarnation mintIncarnation(Random &random)
{
    constexpr unsigned RandomBits = 20;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    return (milliseconds << RandomBits) | (random() & ((1U << RandomBits) - 1U));
}

class Task final : public AgentTask
{
public:
    Task(event_base *loop, AgentOptions options, PlatformPorts platform, observe::Metrics &metrics, observe::Tracer &tracer, std::function<void()> onStopped);

    Result<void> bind();
    void begin();

    void drain() override;
    std::string linkAddress() const override
    {
        return listener_->address();
    }
    std::string operatorsAddress() const override
    {
        return operators_->address();
    }
    wire::Incarnation incarnation() const override
    {
        return incarnation_;
    }

private:
    wire::LinkOptions linkOptions() const;
    wire::Link::Callbacks takeLink(std::unique_ptr<wire::Link> link);
    void onMessage(LinkId link, wire::Message &&message);
    void onClosed(LinkId link, const Failure &failure);
    void send(LinkId link, const wire::Message &message);
    void sendToPeer(const manifest::PeerName &peer, const wire::Message &message);
    void putInForce(const manifest::ManifestIndex::Pointer &index);
    void onSeen(const std::optional<engine::EngineState> &state, bool serving);
    void reportToAll();
    void reportToDue();
    void reportTo(const std::vector<LinkId> &ids);
    void noteLoadChange();
    void noteStateChange();
    wire::LoadReport report() const;
    std::vector<std::string> loaded() const;
    void onTick();
    void watchStop();
    std::string notReadyReason() const;
    std::string status() const;
    void updateGauges();

    /** One link, and the name by which the manifest's follower knows its peer. */
    struct Peer {
        std::unique_ptr<wire::Link> link;
        manifest::PeerName name;
        ReportSchedule schedule;
        wire::LoadedList told{};
    };

    event_base *loop_;
    AgentOptions options_;
    PlatformPorts platform_;
    observe::Metrics &metrics_;
    std::function<void()> onStopped_;
    Random random_;
    wire::Incarnation incarnation_;
    engine::EngineClient engine_;
    AttemptRunner runner_;
    ManifestDriver manifest_;
    RolloutDriver rollout_;
    EngineKeeper keeper_;
    ReportSchedule::Changes changes_;
    http::Timer tickTimer_;
    http::Timer soonTimer_;
    http::Timer stopTimer_;
    std::unique_ptr<wire::LinkListener> listener_;
    std::unique_ptr<OperatorsApi> operators_;
    std::map<LinkId, Peer> links_;
    LinkId lastLink_ = 0;
    manifest::ManifestIndex::Pointer index_;
    std::optional<engine::EngineState> state_;
    bool serving_ = false;
    std::optional<MonoTime> leavingSince_;
    std::optional<MonoTime> idleSince_;
    bool warned_ = false;
};

Task::Task(event_base *loop, AgentOptions options, PlatformPorts platform, observe::Metrics &metrics, observe::Tracer &tracer, std::function<void()> onStopped)
    : loop_(loop)
    , options_(std::move(options))
    , platform_(std::move(platform))
    , metrics_(metrics)
    , onStopped_(std::move(onStopped))
    , random_(seededRandom())
    , incarnation_(mintIncarnation(random_))
    , engine_(loop, options_.engine)
    , runner_(loop,
              {.endpoint = options_.endpoint, .incarnation = incarnation_, .ledger = {.incarnation = incarnation_}},
              engine_,
              platform_,
              {
                  .send = [this](LinkId link, const wire::Message &message) { send(link, message); },
                  .loadChanged = [this] { noteLoadChange(); },
              },
              metrics,
              tracer)
    , manifest_(loop,
                {.pollInterval = options_.pollInterval},
                platform_,
                {
                    .send = [this](const manifest::PeerName &peer, const wire::Message &message) { sendToPeer(peer, message); },
                    .putInForce = [this](const manifest::ManifestIndex::Pointer &index) { putInForce(index); },
                })
    , rollout_(loop,
               options_.endpoint,
               linkOptions(),
               platform_,
               {
                   .hold =
                       [this](const std::set<std::string> &models) {
                           runner_.hold(models);
                           noteStateChange();
                       },
                   .open = [this](const std::string &model) { return runner_.openOf(model); },
                   .lookSoon = [this] { keeper_.lookSoon(); },
               })
    , keeper_(loop,
              {.endpoint = options_.endpoint, .incarnation = incarnation_, .pollInterval = options_.enginePollInterval},
              engine_,
              platform_,
              {
                  .seen = [this](const std::optional<engine::EngineState> &state, bool serving) { onSeen(state, serving); },
                  .waiting = [this] { return runner_.waitingByModel(); },
                  .mayReplace = [this](const engine::EngineState &state) { return rollout_.onSeen(state); },
              },
              metrics)
    , tickTimer_(loop, [this] { onTick(); })
    , soonTimer_(loop, [this] { reportToDue(); })
    , stopTimer_(loop, [this] { watchStop(); })
{
}

wire::LinkOptions Task::linkOptions() const
{
    wire::LinkOptions links = options_.links;
    links.self = {
        .role = wire::Role::Agent,
        .instance = options_.instance,
        .dataCentre = options_.dataCentre,
        .endpoint = options_.endpoint,
        .incarnation = incarnation_,
    };
    return links;
}

Result<void> Task::bind()
{
    auto listener = wire::LinkListener::listen(
        loop_,
        options_.linkAddress,
        linkOptions(),
        [this](std::unique_ptr<wire::Link> link) { return takeLink(std::move(link)); },
        [](const Failure &failure) { observe::logger("link")->warn("a connection was not let in: {}", failure.detail); });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    listener_ = std::move(*listener);
    auto operators = OperatorsApi::listen(loop_,
                                          options_.operators,
                                          options_.operatorsKey,
                                          metrics_,
                                          {
                                              .notReadyReason = [this] { return notReadyReason(); },
                                              .status = [this] { return status(); },
                                              .beforeMetrics = [this] { updateGauges(); },
                                              .drain = [this] { drain(); },
                                          });
    if (!operators) {
        return tl::unexpected(operators.error());
    }
    operators_ = std::move(*operators);
    return {};
}

void Task::begin()
{
    manifest_.start();
    keeper_.start();
    onTick();
    reportToAll();
    observe::logger("agent")->info(
        "endpoint {} by {}, links at {}, operators at {}", options_.endpoint, options_.engine.address, linkAddress(), operatorsAddress());
}

wire::Link::Callbacks Task::takeLink(std::unique_ptr<wire::Link> link)
{
    const LinkId id = ++lastLink_;
    Peer peer{.link = std::move(link), .name = {}, .schedule = ReportSchedule(options_.reports)};
    peer.name = peer.link->peer().instance + '#' + std::to_string(id);
    observe::logger("link")->info("{} is up", peer.name);
    const manifest::PeerName name = peer.name;
    links_.emplace(id, std::move(peer));
    reportTo({id});
    manifest_.peerUp(name);
    return {
        .onReady = {},
        .onMessage = [this, id](wire::Message &&message) { onMessage(id, std::move(message)); },
        .onClosed = [this, id](const Failure &failure) { onClosed(id, failure); },
    };
}

void Task::onMessage(LinkId link, wire::Message &&message)
{
    if (auto *dispatch = std::get_if<wire::Dispatch>(&message)) {
        runner_.dispatch(link, std::move(*dispatch));
    } else if (const auto *cancel = std::get_if<wire::Cancel>(&message)) {
        runner_.cancel(*cancel);
    } else if (const auto *query = std::get_if<wire::Query>(&message)) {
        runner_.query(link, *query);
    } else if (const auto *attach = std::get_if<wire::Attach>(&message)) {
        runner_.attach(link, *attach);
    } else if (const auto found = links_.find(link); found != links_.end()) {
        const manifest::PeerName name = found->second.name;
        static_cast<void>(manifest_.take(name, message));
    }
}

void Task::onClosed(LinkId link, const Failure &failure)
{
    const auto found = links_.find(link);
    if (found == links_.end()) {
        return;
    }
    const manifest::PeerName name = found->second.name;
    observe::logger("link")->info("{} is down: {}", name, failure.detail);
    links_.erase(found);
    runner_.linkDown(link);
    manifest_.peerDown(name);
}

void Task::send(LinkId link, const wire::Message &message)
{
    const auto found = links_.find(link);
    if (found != links_.end()) {
        static_cast<void>(found->second.link->send(message));
    }
}

void Task::sendToPeer(const manifest::PeerName &peer, const wire::Message &message)
{
    for (const auto &[id, known] : links_) {
        if (known.name == peer) {
            static_cast<void>(known.link->send(message));
            return;
        }
    }
}

void Task::putInForce(const manifest::ManifestIndex::Pointer &index)
{
    index_ = index;
    observe::logger("manifest")->info("version {} is in force", index->version());
    runner_.setManifest(index);
    rollout_.setManifest(index);
    keeper_.setManifest(index);
    noteStateChange();
}

void Task::onSeen(const std::optional<engine::EngineState> &state, bool serving)
{
    const bool changed = serving != serving_ || (state.has_value() != state_.has_value()) || (state && loadedNames(*state) != loadedNames(*state_));
    state_ = state;
    serving_ = serving;
    runner_.setEngineState(state);
    if (changed) {
        observe::logger("engine")->info("{}", serving ? "serves what the manifest wants" : "does not serve all that the manifest wants");
        noteStateChange();
    }
}

wire::LoadReport Task::report() const
{
    const policy::QueueLoad load = runner_.load();
    return {
        .endpoint = options_.endpoint,
        .incarnation = incarnation_,
        .running = load.running,
        .queuedPaying = load.queuedPaying,
        .queuedTrial = load.queuedTrial,
        .limit = load.limit,
        .waitPaying = load.waitPaying,
        .waitTrial = load.waitTrial,
        .leaving = leavingSince_.has_value(),
        .serving = serving_,
        .loaded = loaded(),
        .manifestVersion = index_ ? index_->version() : 0,
    };
}

std::vector<std::string> Task::loaded() const
{
    if (!state_) {
        return {};
    }
    engine::EngineState open = *state_;
    // What is about to change its version takes no new work, so entries shall not send it any.
    std::erase_if(open.models, [this](const engine::ModelState &model) { return rollout_.held().contains(model.name); });
    return loadedNames(open);
}

void Task::reportToAll()
{
    std::vector<LinkId> ids;
    for (const auto &[id, peer] : links_) {
        ids.push_back(id);
    }
    reportTo(ids);
}

void Task::reportToDue()
{
    const MonoTime now = MonoClock::now();
    std::vector<LinkId> ids;
    for (const auto &[id, peer] : links_) {
        const ReportSchedule::Pace pace{.heartbeatInterval = peer.link->heartbeatInterval(), .spacing = peer.link->spacing()};
        if (peer.schedule.isDue(now, changes_, pace)) {
            ids.push_back(id);
        }
    }
    reportTo(ids);
}

void Task::reportTo(const std::vector<LinkId> &ids)
{
    if (ids.empty()) {
        return;
    }
    const wire::LoadReport present = report();
    const MonoTime now = MonoClock::now();
    for (const LinkId id : ids) {
        // Looked up each time, since a send may end a link and take it out of the map.
        const auto found = links_.find(id);
        if (found == links_.end()) {
            continue;
        }
        Peer &peer = found->second;
        peer.schedule.noteSent(now, changes_, random_);
        // A peer of before lists were left out would read none at all as nothing loaded.
        if (peer.link->send(peer.link->peer().isPaced ? peer.told.abridge(present) : present)) {
            peer.told.noteSent(present.loaded);
        }
    }
}

void Task::noteLoadChange()
{
    ++changes_.load;
    soonTimer_.start(Duration(0));
}

void Task::noteStateChange()
{
    ++changes_.state;
    soonTimer_.start(Duration(0));
}

void Task::onTick()
{
    runner_.tick();
    reportToDue();
    tickTimer_.start(TickInterval);
}

void Task::drain()
{
    if (leavingSince_) {
        return;
    }
    observe::logger("agent")->info("leaving, {} attempts in progress", runner_.openAttempts());
    leavingSince_ = MonoClock::now();
    reportToAll();
    runner_.drain();
    watchStop();
}

void Task::watchStop()
{
    const MonoTime now = MonoClock::now();
    if (!runner_.isIdle()) {
        idleSince_.reset();
    } else if (!idleSince_) {
        idleSince_ = now;
    }
    if (idleSince_ && now - *idleSince_ >= FlushTime && now - *leavingSince_ >= options_.stopLag) {
        observe::logger("agent")->info("all work has ended");
        onStopped_();
        return;
    }
    if (!warned_ && now - *leavingSince_ >= options_.stopWarnAfter) {
        warned_ = true;
        observe::logger("agent")->warn("still {} attempts in progress; they are not cut off", runner_.openAttempts());
    }
    stopTimer_.start(TickInterval);
}

std::string Task::notReadyReason() const
{
    if (leavingSince_) {
        return "leaving";
    }
    if (!index_) {
        return "no manifest is in force yet";
    }
    if (!serving_) {
        return "the endpoint does not serve what the manifest wants";
    }
    return {};
}

std::string Task::status() const
{
    Json links = Json::array();
    for (const auto &[id, peer] : links_) {
        links.push_back({{"peer", peer.link->peer().instance}, {"up", peer.link->isReady()}});
    }
    const wire::LoadReport present = report();
    const Json endpoint = {
        {"endpoint", options_.endpoint},
        {"serving", present.serving},
        {"leaving", present.leaving},
        {"loaded", present.loaded},
        {"running", present.running},
        {"queued_paying", present.queuedPaying},
        {"queued_trial", present.queuedTrial},
        {"limit", present.limit},
        {"wait_paying_ms", present.waitPaying.count()},
        {"wait_trial_ms", present.waitTrial.count()},
    };
    const manifest::FollowerStatus followed = manifest_.status();
    const Json status = {
        {"program", "magnolia-agent"},
        {"instance", options_.instance},
        {"data_centre", options_.dataCentre},
        {"version", MAGNOLIA_VERSION},
        {"manifest",
         {{"version", followed.version},
          {"root", followed.root},
          {"wanted_version", followed.wantedVersion},
          {"isolated", followed.isolated},
          {"store_reachable", followed.storeReachable}}},
        {"incarnation", incarnation_},
        {"fence", keeper_.fence() ? Json(*keeper_.fence()) : Json()},
        {"leaving", leavingSince_.has_value()},
        {"in_progress", runner_.openAttempts()},
        {"links", std::move(links)},
        {"endpoints", Json::array({endpoint})},
    };
    return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void Task::updateGauges()
{
    const wire::LoadReport present = report();
    metrics_.gauge("magnolia_agent_running", "Attempts at the endpoint.").set(present.running);
    metrics_.gauge("magnolia_agent_queued", "Attempts in the queue.", {{"class", "paying"}}).set(present.queuedPaying);
    metrics_.gauge("magnolia_agent_queued", "Attempts in the queue.", {{"class", "trial"}}).set(present.queuedTrial);
    metrics_.gauge("magnolia_agent_links", "Links that are up.").set(static_cast<double>(links_.size()));
    metrics_.gauge("magnolia_agent_serving", "1 if the endpoint serves what the manifest wants.").set(serving_ ? 1 : 0);
    metrics_.gauge("magnolia_manifest_version", "Version of the manifest in force.").set(static_cast<double>(present.manifestVersion));
}

} // namespace

Result<std::unique_ptr<AgentTask>> AgentTask::start(event_base *loop,
                                                    AgentOptions options,
                                                    PlatformPorts platform,
                                                    observe::Metrics &metrics,
                                                    observe::Tracer &tracer,
                                                    std::function<void()> onStopped)
{
    auto task = std::make_unique<Task>(loop, std::move(options), std::move(platform), metrics, tracer, std::move(onStopped));
    // The fixed address comes first: a second agent for this endpoint on the instance ends here, before it has given an
    // order or taken a fencing number.
    const Result<void> bound = task->bind();
    if (!bound) {
        return tl::unexpected(bound.error());
    }
    task->begin();
    return task;
}

} // namespace magnolia::agent
