#ifndef MAGNOLIA_EXPERTS_SWITCHRANKIMPL_H
#define MAGNOLIA_EXPERTS_SWITCHRANKIMPL_H

#include "experts/switchrank.h"

#include <algorithm>
#include <string>
#include <utility>

// The members of SwitchRank, apart from its header so that only its own source and the checker's mutants compile them.
// docs/EXPERT-MAPS.md gives the argument for each rule.

namespace magnolia::experts
{

/** Inserts a rank into a rising list that has each rank once. */
inline void insertRank(std::vector<Rank> &ranks, Rank rank)
{
    const auto place = std::lower_bound(ranks.begin(), ranks.end(), rank);
    if (place == ranks.end() || *place != rank) {
        ranks.insert(place, rank);
    }
}

template<typename Rules>
SwitchRank<Rules>::SwitchRank(Options options) : options_(std::move(options))
{
    state_.highest = options_.recordedMap;
}

template<typename Rules>
SwitchRank<Rules>::SwitchRank(Options options, State state) : options_(std::move(options)), state_(std::move(state))
{
}

template<typename Rules>
SwitchActions SwitchRank<Rules>::start() const
{
    SwitchActions actions;
    if (options_.engineChecksFence) {
        // An order of the agent's predecessor may still be on its way. Once the engine has seen this incarnation's fencing
        // number it refuses that order, so that the state read next stays true until this incarnation changes it.
        actions.emplace_back(EngineOrder{.kind = EngineOrderKind::Abort, .epoch = 0, .map = 0, .step = 0, .payload = {}});
    }
    actions.emplace_back(EngineOrder{});
    return actions;
}

template<typename Rules>
SwitchActions SwitchRank<Rules>::receive(const wire::SwitchMessage &message)
{
    SwitchActions actions;
    const bool isForUs = message.group == options_.group && message.toRank == options_.rank && message.fromRank < options_.ranks;
    if (!isForUs || !state_.isStarted) {
        return actions;
    }
    switch (static_cast<SwitchKind>(message.kind)) {
    case SwitchKind::Load:
        receiveLoad(message, actions);
        break;
    case SwitchKind::Prepare:
        receivePrepare(message, actions);
        break;
    case SwitchKind::Query:
        receiveQuery(message, actions);
        break;
    case SwitchKind::VoteYes:
        receiveVote(message, actions);
        break;
    case SwitchKind::Commit:
        receiveInstruction(message, Outcome::Committed, actions);
        break;
    case SwitchKind::Abort:
        receiveInstruction(message, Outcome::Aborted, actions);
        break;
    case SwitchKind::Committed:
        receiveOutcome(message, Outcome::Committed, actions);
        break;
    case SwitchKind::Aborted:
        receiveOutcome(message, Outcome::Aborted, actions);
        break;
    case SwitchKind::Inquire:
        receiveInquire(message, actions);
        break;
    case SwitchKind::Join:
        receiveJoin(message, actions);
        break;
    case SwitchKind::Ready:
    case SwitchKind::State:
    case SwitchKind::Joined:
        break; // For the coordinator.
    }
    return actions;
}

template<typename Rules>
SwitchActions SwitchRank<Rules>::onEngineState(const EngineState &engine)
{
    SwitchActions actions;
    if (engine.epoch != state_.engine.epoch) {
        // Joining an epoch makes the engine forget what it held for, so votes of the old epoch bind nobody any more.
        state_.ballot = {};
    }
    state_.engine = engine;
    state_.isStarted = true;
    state_.highest = std::max(state_.highest, engine.map);
    if (engine.prepared && engine.prepared->map != state_.ballot.map) {
        // The vote lives in the engine: whoever gave the order, this rank has to see it through.
        state_.ballot = newBallot(engine.prepared->map, engine.prepared->holdStep);
        state_.highest = std::max(state_.highest, engine.prepared->map);
    }
    learnOutcome();
    orderOutcome(actions);
    answerAskers(actions);
    answerRequests(actions);
    return actions;
}

template<typename Rules>
SwitchActions SwitchRank<Rules>::tick()
{
    if (!state_.isStarted) {
        return start();
    }
    SwitchActions actions;
    if (!isBusy()) {
        return actions;
    }
    if (isOpen() && !isPrepared() && state_.ballot.map == state_.orderedUpTo) {
        order(EngineOrderKind::Prepare, actions);
    }
    orderOutcome(actions);
    if (isInDoubt()) {
        for (Rank rank = 0; rank < options_.ranks; ++rank) {
            const bool isKnown = std::binary_search(state_.ballot.yesVotes.begin(), state_.ballot.yesVotes.end(), rank);
            if (rank != options_.rank && !isKnown) {
                send(SwitchKind::Query, rank, state_.ballot.map, state_.ballot.holdStep, actions);
            }
        }
    }
    actions.emplace_back(EngineOrder{});
    return actions;
}

template<typename Rules>
void SwitchRank<Rules>::refuse()
{
    state_.isRefusing = true;
}

template<typename Rules>
bool SwitchRank<Rules>::isBusy() const
{
    const bool isAwaited = !state_.ballot.askers.empty() || state_.loading || state_.inquiry || state_.joining;
    return !state_.isStarted || isAwaited || isOpen() || isPrepared();
}

template<typename Rules>
bool SwitchRank<Rules>::isInDoubt() const
{
    return isPrepared() && state_.ballot.outcome == Outcome::Undecided;
}

template<typename Rules>
const typename SwitchRank<Rules>::State &SwitchRank<Rules>::state() const
{
    return state_;
}

template<typename Rules>
void SwitchRank<Rules>::receiveLoad(const wire::SwitchMessage &message, SwitchActions &actions)
{
    const bool isOld = message.map < state_.highest || message.map <= state_.engine.map || message.map <= state_.refusedUpTo;
    if (!isOfThisEpoch(message) || isOld || isOpen() || isPrepared() || isMapPending()) {
        return;
    }
    state_.highest = message.map;
    if (std::binary_search(state_.engine.loaded.begin(), state_.engine.loaded.end(), message.map)) {
        send(SwitchKind::Ready, static_cast<Rank>(message.fromRank), message.map, state_.engine.step, actions);
        return;
    }
    state_.loading = Request{.from = static_cast<Rank>(message.fromRank), .epoch = message.epoch, .map = message.map};
    actions.emplace_back(EngineOrder{.kind = EngineOrderKind::Load, .epoch = message.epoch, .map = message.map, .step = 0, .payload = message.payload});
}

template<typename Rules>
void SwitchRank<Rules>::receivePrepare(const wire::SwitchMessage &message, SwitchActions &actions)
{
    if (!isOfThisEpoch(message)) {
        return;
    }
    if (adoptBallot(message.map, message.step)) {
        if (!Rules::RefusalRemembered && state_.ballot.outcome == Outcome::Aborted) {
            state_.refusedUpTo = 0;
            state_.ballot.outcome = Outcome::Undecided;
        }
        const bool isAddressed = !Rules::IncarnationChecked || message.toIncarnation == options_.incarnation;
        const bool isUndecided = state_.ballot.outcome == Outcome::Undecided && !isPrepared();
        if (isUndecided && isAddressed && (state_.ballot.ordered || canHold())) {
            state_.ballot.ordered = true;
            state_.orderedUpTo = std::max(state_.orderedUpTo, message.map);
            order(EngineOrderKind::Prepare, actions);
        } else if (isUndecided && (isAddressed || mayRefuseForPredecessor())) {
            refuseBallot();
        }
    }
    answer(message.map, static_cast<Rank>(message.fromRank), actions);
}

template<typename Rules>
void SwitchRank<Rules>::receiveQuery(const wire::SwitchMessage &message, SwitchActions &actions)
{
    if (!isOfThisEpoch(message)) {
        return;
    }
    if (adoptBallot(message.map, message.step)) {
        const bool isUndecided = state_.ballot.outcome == Outcome::Undecided && !isPrepared();
        if (isUndecided && !state_.ballot.ordered && mayRefuseForPredecessor()) {
            refuseBallot();
        }
    }
    answer(message.map, static_cast<Rank>(message.fromRank), actions);
}

template<typename Rules>
void SwitchRank<Rules>::receiveVote(const wire::SwitchMessage &message, SwitchActions &actions)
{
    if (!isOfThisEpoch(message) || message.map != state_.ballot.map || !isInDoubt() || message.fromRank == options_.rank) {
        return;
    }
    insertRank(state_.ballot.yesVotes, static_cast<Rank>(message.fromRank));
    const std::size_t needed = Rules::UnanimityNeeded ? options_.ranks : options_.ranks - 1U;
    if (state_.ballot.yesVotes.size() + 1 >= needed) {
        settle(Outcome::Committed);
        orderOutcome(actions);
    }
}

template<typename Rules>
void SwitchRank<Rules>::receiveInstruction(const wire::SwitchMessage &message, Outcome outcome, SwitchActions &actions)
{
    if (!isOfThisEpoch(message)) {
        return;
    }
    receiveOutcome(message, outcome, actions);
    answer(message.map, static_cast<Rank>(message.fromRank), actions);
}

template<typename Rules>
void SwitchRank<Rules>::receiveOutcome(const wire::SwitchMessage &message, Outcome outcome, SwitchActions &actions)
{
    if (!isOfThisEpoch(message) || !adoptBallot(message.map, message.step) || state_.ballot.outcome != Outcome::Undecided) {
        return;
    }
    settle(outcome);
    orderOutcome(actions);
}

template<typename Rules>
void SwitchRank<Rules>::receiveInquire(const wire::SwitchMessage &message, SwitchActions &actions)
{
    if (message.epoch <= state_.engine.epoch) {
        return;
    }
    state_.inquiry = Request{.from = static_cast<Rank>(message.fromRank), .epoch = message.epoch, .map = 0};
    actions.emplace_back(EngineOrder{});
}

template<typename Rules>
void SwitchRank<Rules>::receiveJoin(const wire::SwitchMessage &message, SwitchActions &actions)
{
    if (message.epoch < state_.engine.epoch) {
        return;
    }
    state_.joining = Request{.from = static_cast<Rank>(message.fromRank), .epoch = message.epoch, .map = message.map};
    if (message.epoch > state_.engine.epoch) {
        actions.emplace_back(
            EngineOrder{.kind = EngineOrderKind::Join, .epoch = message.epoch, .map = message.map, .step = message.step, .payload = message.payload});
    }
    answerRequests(actions);
}

template<typename Rules>
bool SwitchRank<Rules>::isOfThisEpoch(const wire::SwitchMessage &message) const
{
    return !Rules::EpochChecked || message.epoch == state_.engine.epoch;
}

// Makes a ballot the current one. Returns false for one that is over, and while an earlier one is open.
template<typename Rules>
bool SwitchRank<Rules>::adoptBallot(MapNumber map, Step holdStep)
{
    if (map < state_.engine.map || map < state_.ballot.map) {
        return false;
    }
    if (map == state_.ballot.map) {
        return true;
    }
    if (isOpen() || isPrepared()) {
        return false;
    }
    state_.ballot = newBallot(map, holdStep);
    learnOutcome();
    return true;
}

// A ballot may come back after another one: an engine that holds for an older map, by a late copy of an order, puts that
// one first. What this incarnation has ordered has to outlast that, or it would say no with its own order on the way.
template<typename Rules>
typename SwitchRank<Rules>::Ballot SwitchRank<Rules>::newBallot(MapNumber map, Step holdStep) const
{
    const bool ordered = Rules::OrderRemembered && map <= state_.orderedUpTo;
    return Ballot{.map = map, .holdStep = holdStep, .ordered = ordered, .outcome = Outcome::Undecided, .yesVotes = {}, .askers = {}};
}

template<typename Rules>
bool SwitchRank<Rules>::canHold() const
{
    const Ballot &ballot = state_.ballot;
    const bool isLoaded = std::binary_search(state_.engine.loaded.begin(), state_.engine.loaded.end(), ballot.map);
    const bool isLatest = !Rules::NumberChecked || ballot.map >= state_.highest;
    const bool isCurrent = isLatest && state_.engine.step < ballot.holdStep;
    return isLoaded && isCurrent && !state_.engine.prepared && !isMapPending() && !state_.isRefusing;
}

// An engine keeps one committed map beside the one in use. A second one, committed before the first one's hold step has
// begun at this rank, would take its place, and the steps between the two would run on different maps.
template<typename Rules>
bool SwitchRank<Rules>::isMapPending() const
{
    return Rules::OneMapAhead && state_.engine.isMapPending;
}

// The engine may come to hold for the ballot's map by an order of this incarnation, and nothing is settled.
template<typename Rules>
bool SwitchRank<Rules>::isOpen() const
{
    return state_.ballot.ordered && state_.ballot.outcome == Outcome::Undecided;
}

template<typename Rules>
bool SwitchRank<Rules>::isPrepared() const
{
    return state_.engine.prepared && state_.engine.prepared->map == state_.ballot.map;
}

// The outcome is known, and the engine has taken it.
template<typename Rules>
bool SwitchRank<Rules>::isResolved() const
{
    if (state_.ballot.outcome == Outcome::Committed) {
        return state_.engine.map == state_.ballot.map;
    }
    return state_.ballot.outcome == Outcome::Aborted && !isPrepared();
}

// An incarnation that Prepare is not addressed to cannot know whether its predecessor gave the order to hold. If the
// engine checks fencing numbers, an order not seen by now is void. If it does not, the order may still arrive: saying no
// has to wait until the engine has begun the hold step, from which on it refuses the order by itself.
template<typename Rules>
bool SwitchRank<Rules>::mayRefuseForPredecessor() const
{
    return options_.engineChecksFence || !Rules::SuccessorWaits;
}

template<typename Rules>
void SwitchRank<Rules>::refuseBallot()
{
    settle(Outcome::Aborted);
}

template<typename Rules>
void SwitchRank<Rules>::answer(MapNumber map, Rank asker, SwitchActions &actions)
{
    const Ballot &ballot = state_.ballot;
    if (map < state_.engine.map || map > ballot.map) {
        return;
    }
    if (map < ballot.map) {
        // A later switch has got past loading, which each rank refuses while it may hold for this one: so this one is over,
        // and as the engine has not got it, it was aborted. Only a late copy of an order can make an engine hold for it.
        send(map == state_.engine.map ? SwitchKind::Committed : SwitchKind::Aborted, asker, map, 0, actions);
        return;
    }
    if (isResolved()) {
        send(ballot.outcome == Outcome::Committed ? SwitchKind::Committed : SwitchKind::Aborted, asker, map, ballot.holdStep, actions);
        return;
    }
    if (isPrepared() || (!Rules::VoteReadFromEngine && ballot.ordered)) {
        send(SwitchKind::VoteYes, asker, map, ballot.holdStep, actions);
    }
    insertRank(state_.ballot.askers, asker);
}

template<typename Rules>
void SwitchRank<Rules>::answerAskers(SwitchActions &actions)
{
    for (const Rank asker : std::exchange(state_.ballot.askers, {})) {
        answer(state_.ballot.map, asker, actions);
    }
}

template<typename Rules>
void SwitchRank<Rules>::answerRequests(SwitchActions &actions)
{
    const EngineState &engine = state_.engine;
    if (state_.loading) {
        const Request request = *state_.loading;
        const bool isLoaded = std::binary_search(engine.loaded.begin(), engine.loaded.end(), request.map);
        if (request.epoch != engine.epoch || request.map < state_.highest) {
            state_.loading.reset();
        } else if (isLoaded) {
            state_.loading.reset();
            send(SwitchKind::Ready, request.from, request.map, engine.step, actions);
        }
    }
    if (state_.inquiry) {
        send(SwitchKind::State, state_.inquiry->from, engine.map, engine.step, actions);
        auto &reply = std::get<wire::SwitchMessage>(actions.back());
        reply.epoch = state_.inquiry->epoch;
        reply.payload = std::to_string(engine.epoch);
        state_.inquiry.reset();
    }
    if (state_.joining && state_.joining->epoch <= engine.epoch) {
        if (state_.joining->epoch == engine.epoch) {
            send(SwitchKind::Joined, state_.joining->from, engine.map, engine.step, actions);
        }
        state_.joining.reset();
    }
}

// What the engine's state alone tells about the ballot.
template<typename Rules>
void SwitchRank<Rules>::learnOutcome()
{
    const Ballot &ballot = state_.ballot;
    if (ballot.map == 0 || ballot.outcome != Outcome::Undecided) {
        return;
    }
    if (state_.engine.map == ballot.map) {
        settle(Outcome::Committed);
    } else if (ballot.map <= state_.refusedUpTo || (!isPrepared() && state_.engine.step >= ballot.holdStep)) {
        settle(Outcome::Aborted);
    }
}

template<typename Rules>
void SwitchRank<Rules>::settle(Outcome outcome)
{
    state_.ballot.outcome = outcome;
    if (outcome == Outcome::Aborted) {
        state_.refusedUpTo = std::max(state_.refusedUpTo, state_.ballot.map);
    }
}

template<typename Rules>
void SwitchRank<Rules>::orderOutcome(SwitchActions &actions) const
{
    if (!isPrepared() || state_.ballot.outcome == Outcome::Undecided) {
        return;
    }
    order(state_.ballot.outcome == Outcome::Committed ? EngineOrderKind::Commit : EngineOrderKind::Abort, actions);
}

template<typename Rules>
void SwitchRank<Rules>::order(EngineOrderKind kind, SwitchActions &actions) const
{
    actions.emplace_back(EngineOrder{.kind = kind, .epoch = state_.engine.epoch, .map = state_.ballot.map, .step = state_.ballot.holdStep, .payload = {}});
}

template<typename Rules>
void SwitchRank<Rules>::send(SwitchKind kind, Rank to, MapNumber map, Step step, SwitchActions &actions) const
{
    wire::SwitchMessage message;
    message.group = options_.group;
    message.epoch = state_.engine.epoch;
    message.map = map;
    message.fromRank = options_.rank;
    message.toRank = to;
    message.fromIncarnation = options_.incarnation;
    message.kind = static_cast<std::uint8_t>(kind);
    message.step = step;
    actions.emplace_back(std::move(message));
}

} // namespace magnolia::experts

#endif
