#include "group/grouptask.h"

#include "base/random.h"
#include "coordinator.h"
#include "countdifferences.h"
#include "countsschedule.h"
#include "group/coordinatorterm.h"
#include "groupcodec.h"
#include "http/socketaddress.h"
#include "http/timer.h"
#include "knownmaps.h"
#include "mapcodec.h"
#include "observe/log.h"

#include <algorithm>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::group
{

namespace
{

constexpr Duration ExpertsInterval{1000};

// Agents try to replace a lost coordinator in turn, in the order of ranks after it. Each has this time to reach the other agents before the next one tries.
// Otherwise all would read the store at once, and several would become coordinator one after the other, each undoing the previous one's switch.
constexpr Duration TurnInterval{250};
constexpr std::uint32_t MaxTurns = 6; // All later ranks wait for this turn plus a random time.
constexpr Duration MaxClaimJitter{400};

// An engine on the same instance answers an order within some milliseconds. An unanswered order may be executed seconds later, and the whole group waits for
// its last rank; repeating the order only on the coordinator's retry would delay it further. Repeating it is harmless: a version is prepared once, and arming
// or releasing twice has no further effect.
constexpr Duration OrderAnswerTimeout{20};
constexpr std::uint32_t MaxOrderTries = 40; // Then the engine itself is gone, and the coordinator decides.

// Number of connections kept to other ranks' engines, one for each recent coordinator.
constexpr std::size_t MaxPeerEngines = 4;

// Time after an order during which the engine is polled more often. Copying an expert takes some tenths of a second, other orders take less.
constexpr Duration FastPollTime{1000};

// An engine that restarts is unreadable for seconds and polled several times a second.
constexpr Duration DropLogInterval{5000};

constexpr std::string_view EarlierRun = "it is of an earlier run";

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("group");
    return instance;
}

/** Whether an agent repeats an order that its engine has not answered. A hold is left to the coordinator, which then holds a later pass instead. */
bool isRepeatedLocally(RankOrderKind kind)
{
    return kind == RankOrderKind::Prepare || kind == RankOrderKind::Arm || kind == RankOrderKind::Release;
}

/** Whether a change of state can advance a map switch. Passes and load change constantly and can wait for the next regular report. */
bool isRelevantToSwitch(const RankState &before, RankState now)
{
    now.step = before.step;
    now.runningRequests = before.runningRequests;
    now.waitingRequests = before.waitingRequests;
    now.pace = before.pace;
    return now != before;
}

class GroupTaskImpl final : public GroupTask
{
public:
    GroupTaskImpl(event_base *loop, GroupOptions options, EnginePort &engine, EngineDialer dialEngine, GroupStore &store, observe::Metrics &metrics)
        : loop_(loop)
        , options_(std::move(options))
        , engine_(engine)
        , dialEngine_(std::move(dialEngine))
        , store_(store)
        , metrics_(metrics)
        , random_(seededRandom())
        , pollTimer_(loop, [this] { poll(); })
        , resignTimer_(loop, [this] { coordinator_.reset(); })
        , orderTimer_(loop, [this] { retryOrder(); })
        , droppedStatements_(metrics.counter("magnolia_group_statements_dropped_total", "Statements of the engine that were of an earlier run or unreadable."))
        , coordinatorLastReceivedAt_(BootClock::now())
        , claimJitter_(std::uniform_int_distribution<Duration::rep>(0, MaxClaimJitter.count())(random_))
    {
    }
    ~GroupTaskImpl() override = default;
    GroupTaskImpl(const GroupTaskImpl &) = delete;
    GroupTaskImpl &operator=(const GroupTaskImpl &) = delete;

    Result<void> listen();

private:
    Duration claimDelay() const;
    void poll();
    bool acceptState(const RankState &state);
    void handleState(const RankState &state);
    void handleCounts(const ExpertCounts &counts);
    void dropStatement(std::string_view kind, std::string_view cause);
    void readHeldExpertsIfChanged();
    void sendReport();
    bool areCountsDue() const;
    bool areExpertsDue() const;
    void handleCommand(const wire::RankCommand &command);
    void executeOrder(const RankOrder &order);
    void forwardOrder(const RankOrder &order);
    void retryOrder();
    void armPeer(const RankOrder &order, const std::string &address, std::uint32_t rank);
    void claimTermIfCoordinatorUnresponsive();
    void handleRow(const CoordinatorRow &row);
    void becomeCoordinator(std::uint64_t term);

    template<typename T, typename F>
    auto guarded(F callback)
    {
        return [alive = std::weak_ptr<bool>(alive_), callback = std::move(callback)](T value) mutable {
            if (!alive.expired()) {
                callback(std::move(value));
            }
        };
    }

    event_base *loop_;
    GroupOptions options_;
    EnginePort &engine_;
    EngineDialer dialEngine_;
    GroupStore &store_;
    observe::Metrics &metrics_;
    Random random_;
    http::Timer pollTimer_;
    http::Timer resignTimer_;
    http::Timer orderTimer_; ///< Runs while the last order is unanswered.
    std::uint32_t orderTries_ = 0;
    std::unique_ptr<wire::LinkListener> listener_;
    std::map<std::uint64_t, std::unique_ptr<wire::Link>> links_; ///< Links from coordinators.
    std::uint64_t lastLink_ = 0;

    std::optional<RankState> state_;
    CountDifferences countDifferences_; ///< Choices that have not been reported.
    BootTime droppedLoggedAt_;
    observe::Counter &droppedStatements_;
    struct ReportedExperts {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
        BootTime at{};
    };

    RankOrder lastOrder_; ///< The last order to prepare, arm or release.
    KnownMaps knownMaps_; ///< Maps received from coordinators.
    SwitchRecord switchRecord_; ///< Evidence for a successor of the coordinator, see ArmedStateProver.
    std::map<std::string, std::unique_ptr<EnginePort>> peerEngines_; ///< Other ranks' engines that this agent has armed, by address.
    Coordinator::Predecessor followedCoordinator_; ///< The coordinator whose command was executed last.
    HeldExperts heldExperts_;
    bool areHeldExpertsKnown_ = false;
    ReportedExperts reportedExperts_; ///< Experts listed in the last report that contained them.
    std::uint64_t term_ = 0; ///< The highest known term.
    BootTime coordinatorLastReceivedAt_;
    BootTime orderedAt_; ///< When the last order was sent to the engine.
    BootTime countsReadAt_;
    CountsSchedule countsSchedule_;
    const Duration claimJitter_; ///< Additional delay of this agent if it has the last turn.
    bool isClaiming_ = false;
    CoordinatorRow lastRow_;
    std::unique_ptr<Coordinator> coordinator_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Result<void> GroupTaskImpl::listen()
{
    auto listener = wire::LinkListener::listen(loop_, options_.listenAddress, options_.links, [this](std::unique_ptr<wire::Link> link) {
        const std::uint64_t number = ++lastLink_;
        links_.emplace(number, std::move(link));
        reportedExperts_ = {};
        return wire::Link::Callbacks{.onReady = {},
                                     .onMessage =
                                         [this](wire::Message &&message) {
                                             if (const auto *command = std::get_if<wire::RankCommand>(&message)) {
                                                 handleCommand(*command);
                                             }
                                         },
                                     .onClosed = [this, number](const Failure &) { links_.erase(number); }};
    });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    listener_ = std::move(*listener);
    poll();
    return {};
}

/** Time without a heartbeat or order from a coordinator after which this agent tries to replace it. */
Duration GroupTaskImpl::claimDelay() const
{
    if (state_->heldStep) {
        return options_.heldCoordinatorTimeout;
    }
    const std::uint32_t size = std::max(state_->size, 1U); // An engine may report any size, including 0.
    // Rank of the last coordinator plus 1; 0: no coordinator was followed yet.
    const std::uint32_t before = followedCoordinator_.term > 0 ? followedCoordinator_.rank + 1 : 0;
    const std::uint32_t turn = (state_->rank % size + size - before % size) % size;
    return options_.coordinatorTimeout + TurnInterval * std::min(turn, MaxTurns) + (turn < MaxTurns ? Duration(0) : claimJitter_);
}

void GroupTaskImpl::poll()
{
    const bool isSwitching = BootClock::now() < orderedAt_ + FastPollTime;
    pollTimer_.start(isSwitching ? options_.switchPollInterval : options_.pollInterval);
    engine_.readState(guarded<Result<RankState>>([this](Result<RankState> state) {
        if (state) {
            handleState(*state);
        } else {
            dropStatement("state", state.error().detail);
        }
    }));
}

/** Counts a statement of the engine that is not used, and logs it unless one was logged shortly before. */
void GroupTaskImpl::dropStatement(std::string_view kind, std::string_view cause)
{
    droppedStatements_.add();
    const BootTime now = BootClock::now();
    if (now >= droppedLoggedAt_ + DropLogInterval) {
        droppedLoggedAt_ = now;
        log()->warn("Statement of the engine not used kind={} cause={} total={}", kind, cause, droppedStatements_.value());
    }
}

/** Stores a state read from the engine. @return false if the state is of an earlier run of the engine and was discarded. */
bool GroupTaskImpl::acceptState(const RankState &state)
{
    if (state_ && state.incarnation.isEarlierThan(state_->incarnation)) {
        dropStatement("state", EarlierRun);
        return false;
    }
    if (state_ && state.incarnation.isOtherRunThan(state_->incarnation)) {
        log()->info("Engine restarted incarnation={} before={}", *state.incarnation.startedAtMs(), *state_->incarnation.startedAtMs());
        areHeldExpertsKnown_ = false;
        countDifferences_.reset();
    }
    const StatedIncarnation latest = state_ ? StatedIncarnation::laterOf(state.incarnation, state_->incarnation) : state.incarnation;
    state_ = state;
    state_->incarnation = latest;
    return true;
}

void GroupTaskImpl::handleState(const RankState &state)
{
    const std::optional<RankState> before = state_;
    if (!acceptState(state)) {
        return;
    }
    if (state.isOpen && (!before || !before->isOpen)) {
        // All agents see the group open at the same time, most of them long after the last heartbeat. Limits the elapsed time to coordinatorTimeout, so that
        // the agents still take turns.
        coordinatorLastReceivedAt_ = std::max(coordinatorLastReceivedAt_, BootClock::now() - options_.coordinatorTimeout);
    }
    const bool hasChanged = !before || isRelevantToSwitch(*before, state);
    readHeldExpertsIfChanged();
    claimTermIfCoordinatorUnresponsive();
    const BootTime now = BootClock::now();
    if (now < countsReadAt_ + options_.pollInterval) {
        if (hasChanged) {
            sendReport();
        }
        return;
    }
    countsReadAt_ = now;
    engine_.readCounts(guarded<Result<ExpertCounts>>([this](Result<ExpertCounts> counts) {
        if (counts) {
            handleCounts(*counts);
        } else {
            dropStatement("counts", counts.error().detail);
        }
        sendReport();
    }));
}

void GroupTaskImpl::handleCounts(const ExpertCounts &counts)
{
    const CountsRead read = countDifferences_.add(counts, state_ ? state_->incarnation : StatedIncarnation());
    if (read == CountsRead::Dropped) {
        dropStatement("counts", EarlierRun);
    } else if (read == CountsRead::Restarted) {
        log()->info("Counts are lower than before, the engine has restarted epoch={}", counts.epoch);
    }
}

void GroupTaskImpl::readHeldExpertsIfChanged()
{
    // Versions restart with each epoch.
    if (areHeldExpertsKnown_ && heldExperts_.version == state_->mapVersion && heldExperts_.epoch == state_->epoch) {
        return;
    }
    engine_.readHeldExperts(guarded<Result<HeldExperts>>([this](Result<HeldExperts> held) {
        if (!held) {
            dropStatement("held experts", held.error().detail);
        } else if (held->incarnation.isEarlierThan(state_->incarnation)) {
            dropStatement("held experts", EarlierRun);
        } else {
            heldExperts_ = std::move(*held);
            areHeldExpertsKnown_ = true;
            sendReport();
        }
    }));
}

void GroupTaskImpl::sendReport()
{
    if (!state_) {
        return;
    }
    wire::RankReport report = toReport(*state_);
    report.term = term_;
    writeSwitchRecord(report, switchRecord_);
    report.knownMap = knownMaps_.find(state_->mapVersion) != nullptr ? state_->mapVersion : 0;
    if (areHeldExpertsKnown_ && heldExperts_.epoch == state_->epoch && areExpertsDue()) {
        report.expertsVersion = heldExperts_.version;
        report.experts = encodeExpertsBySet(heldExperts_.experts);
        reportedExperts_ = {.epoch = heldExperts_.epoch, .version = heldExperts_.version, .at = BootClock::now()};
    }
    if (areCountsDue()) {
        report.counts = encodeCounts(countDifferences_.take());
        countsSchedule_.onSent(random_, BootClock::now());
    }
    if (coordinator_ != nullptr) {
        coordinator_->setOwnRank(state_->rank);
        coordinator_->handleReport(report);
    }
    for (const auto &[number, link] : links_) {
        link->send(report);
    }
}

/** Whether the next report lists the experts: when they have changed, and periodically in case the coordinator is new. */
bool GroupTaskImpl::areExpertsDue() const
{
    const bool isChanged = reportedExperts_.epoch != heldExperts_.epoch || reportedExperts_.version != heldExperts_.version;
    return isChanged || BootClock::now() >= reportedExperts_.at + ExpertsInterval;
}

/** Whether the next report contains counts. */
bool GroupTaskImpl::areCountsDue() const
{
    const std::vector<std::uint64_t> &counts = countDifferences_.latest();
    const bool isAnyNew = std::any_of(counts.begin(), counts.end(), [](std::uint64_t count) { return count > 0; });
    if (!isAnyNew || (coordinator_ == nullptr && links_.empty())) {
        return false;
    }
    return countsSchedule_.isDue(counts.size() * state_->size, BootClock::now());
}

void GroupTaskImpl::handleCommand(const wire::RankCommand &command)
{
    const bool isOfOtherGroup = state_ && command.group != state_->group;
    if (isOfOtherGroup || command.term < term_) {
        sendReport(); // Informs the sender of this agent's group or of the higher term.
        return;
    }
    if (command.term > term_) {
        log()->info("Following a new coordinator term={} before={}", command.term, term_);
        term_ = command.term;
        coordinator_.reset();
        orderTimer_.stop(); // The new coordinator does not know of the previous one's order.
        reportedExperts_ = {};
        sendReport();
    }
    coordinatorLastReceivedAt_ = BootClock::now();
    followedCoordinator_ = command.coordinator > 0 ? Coordinator::Predecessor{.term = term_, .rank = command.coordinator - 1} : Coordinator::Predecessor{};
    const auto order = toOrder(command, knownMaps_);
    if (!order) {
        log()->warn("Cannot decode a command cause={}", order.error().detail);
        return;
    }
    if (!command.peerEngine.empty()) {
        armPeer(*order, command.peerEngine, command.peerRank);
    } else if (order->kind != RankOrderKind::Heartbeat) {
        executeOrder(*order);
    }
}

/** Arms the rank on the coordinator's instance. Its record of the order stays available if that instance is lost. */
void GroupTaskImpl::armPeer(const RankOrder &order, const std::string &address, std::uint32_t rank)
{
    const PeerArm given{.rank = rank, .epoch = order.epoch, .version = order.version, .step = order.step};
    const bool isRepeat = switchRecord_.peerArm && switchRecord_.peerArm->version == given.version && switchRecord_.peerArm->step == given.step;
    if (!isRepeat) {
        switchRecord_.peerArm = given; // Recorded before the order is sent, since it may be executed from then on.
        sendReport();
    }
    if (peerEngines_.size() >= MaxPeerEngines && !peerEngines_.contains(address)) {
        peerEngines_.clear();
    }
    auto &engine = peerEngines_[address];
    if (engine == nullptr) {
        engine = dialEngine_(address);
    }
    engine->sendOrder(order, guarded<OrderOutcome>([this, given](OrderOutcome outcome) {
                          const bool isThis =
                              switchRecord_.peerArm && switchRecord_.peerArm->version == given.version && switchRecord_.peerArm->step == given.step;
                          log()->debug("Order to arm the coordinator's rank answered rank={} version={} step={} accepted={}",
                                       given.rank,
                                       given.version,
                                       given.step,
                                       outcome == OrderOutcome::Accepted);
                          if (isThis && outcome == OrderOutcome::Accepted) {
                              switchRecord_.peerArm->isAccepted = true;
                              sendReport();
                          }
                      }));
}

void GroupTaskImpl::executeOrder(const RankOrder &order)
{
    if (order.kind == RankOrderKind::Prepare) {
        knownMaps_.add(order.version, order.map, state_ ? state_->mapVersion : 0);
        switchRecord_.orderedVersion = order.version;
        switchRecord_.isFresh = order.isFresh;
    }
    orderTimer_.stop(); // An earlier order is obsolete, and must not be repeated after this one.
    if (isRepeatedLocally(order.kind)) {
        lastOrder_ = order;
        orderTries_ = 0;
        orderTimer_.start(OrderAnswerTimeout);
    }
    forwardOrder(order);
}

void GroupTaskImpl::retryOrder()
{
    if (++orderTries_ >= MaxOrderTries) {
        return; // The coordinator will repeat the order.
    }
    log()->info("Order not answered kind={} version={} step={} try={}", toString(lastOrder_.kind), lastOrder_.version, lastOrder_.step, orderTries_);
    orderTimer_.start(OrderAnswerTimeout);
    forwardOrder(lastOrder_);
}

void GroupTaskImpl::forwardOrder(const RankOrder &order)
{
    orderedAt_ = BootClock::now();
    engine_.sendOrder(order, guarded<OrderOutcome>([this, kind = order.kind, version = order.version, step = order.step](OrderOutcome outcome) {
                          const bool isLast = kind == lastOrder_.kind && version == lastOrder_.version && step == lastOrder_.step;
                          if (outcome != OrderOutcome::Unknown && isLast) {
                              orderTimer_.stop();
                          }
                          if (outcome != OrderOutcome::Accepted) {
                              log()->info("Order not accepted kind={} version={} step={} outcome={}",
                                          toString(kind),
                                          version,
                                          step,
                                          outcome == OrderOutcome::Conflict ? "conflict" : "unknown");
                          }
                          engine_.readState(guarded<Result<RankState>>([this](Result<RankState> state) {
                              if (state && acceptState(*state)) {
                                  sendReport();
                              }
                          }));
                      }));
}

void GroupTaskImpl::claimTermIfCoordinatorUnresponsive()
{
    const BootTime now = BootClock::now();
    if (coordinator_ != nullptr || isClaiming_ || !state_->isOpen || now - coordinatorLastReceivedAt_ < claimDelay()) {
        return;
    }
    isClaiming_ = true;
    coordinatorLastReceivedAt_ = now;
    store_.readCoordinator(state_->group, guarded<Result<CoordinatorRow>>([this](Result<CoordinatorRow> row) {
                               isClaiming_ = false;
                               if (row) {
                                   handleRow(*row);
                               } else {
                                   log()->warn("Cannot read the coordinator row cause={}", row.error().detail);
                               }
                           }));
}

void GroupTaskImpl::handleRow(const CoordinatorRow &row)
{
    // The term followed until now belongs to the lost coordinator.
    const bool hasChanged = row.term != lastRow_.term && row.term != term_;
    log()->info("No heartbeat from a coordinator group={} row_term={} holder={} changed={}", state_->group, row.term, row.holder, hasChanged);
    lastRow_ = row;
    if (hasChanged && row.term > 0 && row.holder != options_.instance) {
        return; // Another agent has just become coordinator and will send a heartbeat soon.
    }
    const CoordinatorRow next = nextCoordinatorRow(row, term_, options_.instance);
    store_.replaceCoordinator(
        state_->group, row, next, guarded<Result<std::optional<std::uint64_t>>>([this, row, next](Result<std::optional<std::uint64_t>> version) {
            if (!version) {
                log()->warn("Cannot write the coordinator row cause={}", version.error().detail);
            } else if (*version && isInSameStoreEra(row, **version) && next.term > term_) {
                becomeCoordinator(next.term);
            }
        }));
}

void GroupTaskImpl::becomeCoordinator(std::uint64_t term)
{
    term_ = term;
    orderTimer_.stop();
    reportedExperts_ = {};
    log()->info("Became coordinator group={} term={} before={}", state_->group, term, lastRow_.holder);
    const auto predecessor = followedCoordinator_.term == lastRow_.term ? followedCoordinator_ : Coordinator::Predecessor{};
    coordinator_ = std::make_unique<Coordinator>(
        loop_,
        options_,
        Coordinator::Term{.group = state_->group, .number = term, .predecessor = predecessor},
        dialEngine_,
        store_,
        metrics_,
        Coordinator::Callbacks{.sendToOwnEngine = [this](const RankOrder &order) { executeOrder(order); },
                               .onSuperseded =
                                   [this] {
                                       coordinatorLastReceivedAt_ = BootClock::now();
                                       resignTimer_.start(Duration(0)); // The coordinator must not be destroyed inside its own callback.
                                   }});
    sendReport();
}

} // namespace

Result<std::unique_ptr<GroupTask>>
GroupTask::start(event_base *loop, GroupOptions options, EnginePort &engine, EngineDialer dialEngine, GroupStore &store, observe::Metrics &metrics)
{
    // A coordinator may exit while this agent writes to it. SIGPIPE would then terminate the process; with the signal ignored, the link reports the failure.
    http::ignoreBrokenPipes();
    auto task = std::make_unique<GroupTaskImpl>(loop, std::move(options), engine, std::move(dialEngine), store, metrics);
    if (const auto listening = task->listen(); !listening) {
        return tl::unexpected(listening.error());
    }
    return task;
}

} // namespace magnolia::group
