#include "group/grouptask.h"

#include "base/random.h"
#include "coordinator.h"
#include "group/coordinatorterm.h"
#include "groupcodec.h"
#include "http/socketaddress.h"
#include "http/timer.h"
#include "knownmaps.h"
#include "mapcodec.h"
#include "observe/log.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace magnolia::group
{

namespace
{

// What a coordinator is told by all ranks together. All ranks' requests are alike, so that with many ranks or experts each
// tells of its choices less often, and always of the latest.
constexpr double CountsPerSecond = 160'000;

constexpr Duration ExpertsInterval{1000};

// Agents take the place of a silent coordinator in turn, in the order of ranks behind it: each has this time to reach the others of the group
// before the next one tries. Else all ask the store at once, and several take the place one after the other, each undoing what the last began.
constexpr Duration TurnInterval{250};
constexpr std::uint32_t MaxTurns = 6; // Those behind wait for the same turn, and a random time more.
constexpr Duration MaxClaimJitter{400};

// An engine beside its agent answers an order within some milliseconds. One without an answer may be carried out seconds later,
// and the whole group waits for the last rank's copy, longer than for all others if only the coordinator noticed. Given again it does no harm: a
// version is taken once.
constexpr Duration PrepareAnswerTimeout{50};
constexpr std::uint32_t MaxPrepareTries = 4;

// Connections to other ranks' engines that are kept: one for each coordinator that was followed lately.
constexpr std::size_t MaxPeerEngines = 4;

// After an order reports are looked for more often: a copy of an expert takes some tenths of a second, the rest less.
constexpr Duration FastPollTime{1000};

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("group");
    return instance;
}

/** Whether a switch may go on by it: passes and load change all the time, and are told with the next report. */
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
        , prepareTimer_(loop, [this] { retryPrepare(); })
        , coordinatorHeardAt_(BootClock::now())
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
    void readHeldExpertsIfChanged();
    void sendReport();
    bool areCountsDue() const;
    bool areExpertsDue() const;
    void handleCommand(const wire::RankCommand &command);
    void executeOrder(const RankOrder &order);
    void forwardOrder(const RankOrder &order);
    void retryPrepare();
    void armPeer(const RankOrder &order, const std::string &address, std::uint32_t rank);
    void claimTermIfSilent();
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
    http::Timer prepareTimer_; ///< Runs while an order to prepare has no answer.
    std::uint32_t prepareTries_ = 0;
    std::unique_ptr<wire::LinkListener> listener_;
    std::map<std::uint64_t, std::unique_ptr<wire::Link>> links_; ///< To coordinators.
    std::uint64_t lastLink_ = 0;

    std::optional<RankState> state_;
    std::optional<ExpertCounts> lastCounts_; ///< As of the last report.
    std::vector<std::uint64_t> newCounts_; ///< Choices between the last two looks; empty once they have been told.
    struct ReportedExperts {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
        BootTime at{};
    };

    RankOrder pendingPrepare_; ///< The order to prepare that was given last.
    KnownMaps knownMaps_; ///< Maps that coordinators told.
    SwitchRecord switchRecord_; ///< What a successor of the coordinator may ask of it.
    std::map<std::string, std::unique_ptr<EnginePort>> peerEngines_; ///< By address: other ranks' that were armed from here.
    Coordinator::Predecessor followedCoordinator_; ///< The coordinator last heeded.
    HeldExperts heldExperts_;
    bool areHeldExpertsKnown_ = false;
    ReportedExperts reportedExperts_; ///< In the last report that listed them.
    std::uint64_t term_ = 0; ///< Highest heard of.
    BootTime coordinatorHeardAt_;
    BootTime orderedAt_; ///< When the engine was last given an order.
    BootTime countsReadAt_;
    BootTime countsSentAt_;
    const Duration claimJitter_; ///< Of this agent among those that have the last turn.
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

/** How long this agent waits for a coordinator's word before it takes its place. */
Duration GroupTaskImpl::claimDelay() const
{
    if (state_->heldStep) {
        return options_.heldCoordinatorTimeout;
    }
    const std::uint32_t size = std::max(state_->size, 1U); // An engine may say anything of itself.
    const std::uint32_t before = followedCoordinator_.term > 0 ? followedCoordinator_.rank + 1 : 0; // Counted from 1; 0: no coordinator was followed yet.
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
        }
    }));
}

/** Whatever the state was read for. @return false if it is of an earlier run of the engine, and not believed. */
bool GroupTaskImpl::acceptState(const RankState &state)
{
    if (state_ && state.incarnation < state_->incarnation) {
        return false; // An answer that was overtaken by one of this run.
    }
    if (state_ && state.incarnation != state_->incarnation) {
        log()->info("The engine has started again incarnation={} before={}", state.incarnation, state_->incarnation);
        areHeldExpertsKnown_ = false;
        lastCounts_.reset();
        newCounts_.clear();
    }
    state_ = state;
    return true;
}

void GroupTaskImpl::handleState(const RankState &state)
{
    const std::optional<RankState> before = state_;
    if (!acceptState(state)) {
        return;
    }
    if (state.isOpen && (!before || !before->isOpen)) {
        // All agents see the group open at the same moment, most of them long without a coordinator's word.
        coordinatorHeardAt_ = std::max(coordinatorHeardAt_, BootClock::now() - options_.coordinatorTimeout);
    }
    const bool hasChanged = !before || isRelevantToSwitch(*before, state);
    readHeldExpertsIfChanged();
    claimTermIfSilent();
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
        }
        sendReport();
    }));
}

void GroupTaskImpl::handleCounts(const ExpertCounts &counts)
{
    if (state_ && counts.incarnation < state_->incarnation) {
        return; // Of the run before.
    }
    const bool isContinued = lastCounts_ && lastCounts_->counts.size() == counts.counts.size() && lastCounts_->incarnation == counts.incarnation;
    newCounts_.assign(counts.counts.size(), 0);
    for (std::size_t index = 0; isContinued && index < counts.counts.size(); ++index) {
        const std::uint64_t before = lastCounts_->counts[index];
        newCounts_[index] = counts.counts[index] >= before ? counts.counts[index] - before : counts.counts[index]; // Less: the engine is new.
    }
    lastCounts_ = counts;
}

void GroupTaskImpl::readHeldExpertsIfChanged()
{
    // Versions begin anew with each epoch.
    if (areHeldExpertsKnown_ && heldExperts_.version == state_->mapVersion && heldExperts_.epoch == state_->epoch) {
        return;
    }
    engine_.readHeldExperts(guarded<Result<HeldExperts>>([this](Result<HeldExperts> held) {
        if (held) {
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
        report.counts = encodeCounts(newCounts_);
        newCounts_.clear();
        countsSentAt_ = BootClock::now();
    }
    if (coordinator_ != nullptr) {
        coordinator_->setOwnRank(state_->rank);
        coordinator_->handleReport(report);
    }
    for (const auto &[number, link] : links_) {
        link->send(report);
    }
}

/** Whether the next report lists the experts: if they changed, and now and then, as a coordinator may be new. */
bool GroupTaskImpl::areExpertsDue() const
{
    const bool isChanged = reportedExperts_.epoch != heldExperts_.epoch || reportedExperts_.version != heldExperts_.version;
    return isChanged || BootClock::now() >= reportedExperts_.at + ExpertsInterval;
}

/** Whether the next report carries counts. */
bool GroupTaskImpl::areCountsDue() const
{
    const bool isAnyNew = std::any_of(newCounts_.begin(), newCounts_.end(), [](std::uint64_t count) { return count > 0; });
    if (!isAnyNew || (coordinator_ == nullptr && links_.empty())) {
        return false;
    }
    const double seconds = static_cast<double>(newCounts_.size() * state_->size) / CountsPerSecond;
    return BootClock::now() >= countsSentAt_ + std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(seconds));
}

void GroupTaskImpl::handleCommand(const wire::RankCommand &command)
{
    const bool isOfOtherGroup = state_ && command.group != state_->group;
    if (isOfOtherGroup || command.term < term_) {
        sendReport(); // Tells it of the group, or of the higher term.
        return;
    }
    if (command.term > term_) {
        log()->info("Follows term={} before={}", command.term, term_);
        term_ = command.term;
        coordinator_.reset();
        reportedExperts_ = {};
        sendReport();
    }
    coordinatorHeardAt_ = BootClock::now();
    followedCoordinator_ = command.coordinator > 0 ? Coordinator::Predecessor{.term = term_, .rank = command.coordinator - 1} : Coordinator::Predecessor{};
    const auto order = toOrder(command, knownMaps_);
    if (!order) {
        log()->warn("A command can't be read cause={}", order.error().detail);
        return;
    }
    if (!command.peerEngine.empty()) {
        armPeer(*order, command.peerEngine, command.peerRank);
    } else if (order->kind != RankOrderKind::Heartbeat) {
        executeOrder(*order);
    }
}

/** Arms the rank beside the coordinator, whose own word would be lost with its instance. */
void GroupTaskImpl::armPeer(const RankOrder &order, const std::string &address, std::uint32_t rank)
{
    const PeerArm given{.rank = rank, .epoch = order.epoch, .version = order.version, .step = order.step};
    const bool isRepeat = switchRecord_.peerArm && switchRecord_.peerArm->version == given.version && switchRecord_.peerArm->step == given.step;
    if (!isRepeat) {
        switchRecord_.peerArm = given; // Before it is given: from now on it may be carried out.
        sendReport();
    }
    if (peerEngines_.size() >= MaxPeerEngines && !peerEngines_.contains(address)) {
        peerEngines_.clear();
    }
    auto &engine = peerEngines_[address];
    if (engine == nullptr) {
        engine = dialEngine_(address);
    }
    engine->sendOrder(
        order, guarded<OrderOutcome>([this, given](OrderOutcome outcome) {
            const bool isThis = switchRecord_.peerArm && switchRecord_.peerArm->version == given.version && switchRecord_.peerArm->step == given.step;
            log()->debug(
                "Armed for its coordinator rank={} version={} step={} accepted={}", given.rank, given.version, given.step, outcome == OrderOutcome::Accepted);
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
        switchRecord_.preparedVersion = order.version;
        switchRecord_.isFresh = order.isFresh;
        pendingPrepare_ = order;
        prepareTries_ = 0;
        prepareTimer_.start(PrepareAnswerTimeout);
    }
    forwardOrder(order);
}

void GroupTaskImpl::retryPrepare()
{
    if (++prepareTries_ >= MaxPrepareTries) {
        return; // The coordinator tries again.
    }
    log()->info("No answer to an order kind=prepare version={} try={}", pendingPrepare_.version, prepareTries_);
    prepareTimer_.start(PrepareAnswerTimeout);
    forwardOrder(pendingPrepare_);
}

void GroupTaskImpl::forwardOrder(const RankOrder &order)
{
    orderedAt_ = BootClock::now();
    engine_.sendOrder(
        order, guarded<OrderOutcome>([this, kind = order.kind, version = order.version, step = order.step](OrderOutcome outcome) {
            const bool isAnswered = outcome != OrderOutcome::Unknown;
            if (isAnswered && kind == RankOrderKind::Prepare && version == pendingPrepare_.version) {
                prepareTimer_.stop();
            }
            if (outcome != OrderOutcome::Accepted) {
                log()->info(
                    "Order kind={} version={} step={} outcome={}", toString(kind), version, step, outcome == OrderOutcome::Conflict ? "conflict" : "unknown");
            }
            engine_.readState(guarded<Result<RankState>>([this](Result<RankState> state) {
                if (state && acceptState(*state)) {
                    sendReport();
                }
            }));
        }));
}

void GroupTaskImpl::claimTermIfSilent()
{
    const BootTime now = BootClock::now();
    if (coordinator_ != nullptr || isClaiming_ || !state_->isOpen || now - coordinatorHeardAt_ < claimDelay()) {
        return;
    }
    isClaiming_ = true;
    coordinatorHeardAt_ = now;
    store_.readCoordinator(state_->group, guarded<Result<CoordinatorRow>>([this](Result<CoordinatorRow> row) {
                               isClaiming_ = false;
                               if (row) {
                                   handleRow(*row);
                               } else {
                                   log()->warn("The coordinator's row can't be read cause={}", row.error().detail);
                               }
                           }));
}

void GroupTaskImpl::handleRow(const CoordinatorRow &row)
{
    // The term that was followed until now is the silent one's.
    const bool hasChanged = row.term != lastRow_.term && row.term != term_;
    log()->info("No coordinator is heard of group={} row_term={} holder={} changed={}", state_->group, row.term, row.holder, hasChanged);
    lastRow_ = row;
    if (hasChanged && row.term > 0 && row.holder != options_.instance) {
        return; // Somebody has just taken it, and will be heard of soon.
    }
    const CoordinatorRow next = nextCoordinatorRow(row, term_, options_.instance);
    store_.replaceCoordinator(
        state_->group, row, next, guarded<Result<std::optional<std::uint64_t>>>([this, row, next](Result<std::optional<std::uint64_t>> version) {
            if (!version) {
                log()->warn("The coordinator's row can't be taken cause={}", version.error().detail);
            } else if (*version && isInSameStoreEra(row, **version) && next.term > term_) {
                becomeCoordinator(next.term);
            }
        }));
}

void GroupTaskImpl::becomeCoordinator(std::uint64_t term)
{
    term_ = term;
    reportedExperts_ = {};
    log()->info("Coordinates group={} term={} before={}", state_->group, term, lastRow_.holder);
    const auto predecessor = followedCoordinator_.term == lastRow_.term ? followedCoordinator_ : Coordinator::Predecessor{};
    coordinator_ = std::make_unique<Coordinator>(loop_,
                                                 options_,
                                                 Coordinator::Term{.group = state_->group, .number = term, .predecessor = predecessor},
                                                 dialEngine_,
                                                 store_,
                                                 metrics_,
                                                 Coordinator::Callbacks{.sendToOwnEngine = [this](const RankOrder &order) { executeOrder(order); },
                                                                        .onSuperseded =
                                                                            [this] {
                                                                                coordinatorHeardAt_ = BootClock::now();
                                                                                resignTimer_.start(Duration(0)); // Not under its own call.
                                                                            }});
    sendReport();
}

} // namespace

Result<std::unique_ptr<GroupTask>>
GroupTask::start(event_base *loop, GroupOptions options, EnginePort &engine, EngineDialer dialEngine, GroupStore &store, observe::Metrics &metrics)
{
    // A coordinator may end while this agent writes to it: the signal would end the whole process, where the link reports its end.
    http::ignoreBrokenPipes();
    auto task = std::make_unique<GroupTaskImpl>(loop, std::move(options), engine, std::move(dialEngine), store, metrics);
    if (const auto listening = task->listen(); !listening) {
        return tl::unexpected(listening.error());
    }
    return task;
}

} // namespace magnolia::group
