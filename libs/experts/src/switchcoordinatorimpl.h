#ifndef MAGNOLIA_EXPERTS_SWITCHCOORDINATORIMPL_H
#define MAGNOLIA_EXPERTS_SWITCHCOORDINATORIMPL_H

#include "experts/switchcoordinator.h"

#include <algorithm>
#include <utility>

// The members of SwitchCoordinator; see switchrankimpl.h.

namespace magnolia::experts
{

template<typename Rules>
SwitchCoordinator<Rules>::SwitchCoordinator(Options options) : options_(std::move(options))
{
    state_.members.resize(options_.ranks);
}

template<typename Rules>
SwitchCoordinator<Rules>::SwitchCoordinator(Options options, State state) : options_(std::move(options)), state_(std::move(state))
{
}

template<typename Rules>
SwitchActions SwitchCoordinator<Rules>::receive(const wire::SwitchMessage &message)
{
    SwitchActions actions;
    const bool isOurs = message.group == options_.group && message.map == options_.map && (!Rules::EpochChecked || message.epoch == options_.epoch);
    if (!isOurs || message.fromRank >= options_.ranks || message.toRank != options_.rank) {
        return actions;
    }
    const auto from = static_cast<Rank>(message.fromRank);
    switch (static_cast<SwitchKind>(message.kind)) {
    case SwitchKind::Ready:
        receiveReady(message, actions);
        break;
    case SwitchKind::VoteYes:
        receiveYes(from, actions);
        break;
    case SwitchKind::Committed:
        state_.members[from].hasApplied = true;
        decide(true, actions);
        break;
    case SwitchKind::Aborted:
        state_.members[from].hasApplied = true;
        decide(false, actions);
        break;
    default:
        break;
    }
    return actions;
}

template<typename Rules>
SwitchActions SwitchCoordinator<Rules>::tick(Step ownStep)
{
    SwitchActions actions;
    if (state_.phase == Phase::Loading) {
        state_.furthestStep = std::max(state_.furthestStep, ownStep);
    }
    sendPhase(actions);
    return actions;
}

template<typename Rules>
bool SwitchCoordinator<Rules>::giveUp()
{
    if (state_.phase != Phase::Loading) {
        return false;
    }
    state_.phase = Phase::GivenUp;
    return true;
}

template<typename Rules>
typename SwitchCoordinator<Rules>::Phase SwitchCoordinator<Rules>::phase() const
{
    return state_.phase;
}

template<typename Rules>
bool SwitchCoordinator<Rules>::isCommitted() const
{
    return state_.isCommitted;
}

template<typename Rules>
const typename SwitchCoordinator<Rules>::State &SwitchCoordinator<Rules>::state() const
{
    return state_;
}

template<typename Rules>
void SwitchCoordinator<Rules>::receiveReady(const wire::SwitchMessage &message, SwitchActions &actions)
{
    if (state_.phase != Phase::Loading) {
        // The incarnations are fixed once the first Prepare is out: a second one addressed to a successor could get a yes
        // from a rank that has said no before it restarted.
        return;
    }
    Member &member = state_.members[message.fromRank];
    member.isReady = true;
    member.incarnation = message.fromIncarnation;
    state_.furthestStep = std::max(state_.furthestStep, message.step);
    const bool isComplete = std::all_of(state_.members.begin(), state_.members.end(), [](const Member &other) { return other.isReady; });
    if (!isComplete) {
        return;
    }
    state_.phase = Phase::Voting;
    state_.holdStep = state_.furthestStep + options_.margin;
    sendPhase(actions);
}

template<typename Rules>
void SwitchCoordinator<Rules>::receiveYes(Rank from, SwitchActions &actions)
{
    if (state_.phase != Phase::Voting) {
        return;
    }
    state_.members[from].votedYes = true;
    const auto votes = std::count_if(state_.members.begin(), state_.members.end(), [](const Member &member) { return member.votedYes; });
    const std::size_t needed = Rules::UnanimityNeeded ? state_.members.size() : state_.members.size() - 1;
    if (static_cast<std::size_t>(votes) >= needed) {
        decide(true, actions);
    }
}

template<typename Rules>
void SwitchCoordinator<Rules>::decide(bool isCommitted, SwitchActions &actions)
{
    if (state_.phase == Phase::Voting) {
        state_.isCommitted = isCommitted;
        state_.phase = isCommitted ? Phase::Committing : Phase::Aborting;
        sendPhase(actions);
    }
    const bool isApplied = std::all_of(state_.members.begin(), state_.members.end(), [](const Member &member) { return member.hasApplied; });
    if (isApplied && (state_.phase == Phase::Committing || state_.phase == Phase::Aborting)) {
        state_.phase = Phase::Finished;
    }
}

// Sends what the phase asks of each rank that has not answered yet.
template<typename Rules>
void SwitchCoordinator<Rules>::sendPhase(SwitchActions &actions) const
{
    for (Rank rank = 0; rank < options_.ranks; ++rank) {
        const Member &member = state_.members[rank];
        switch (state_.phase) {
        case Phase::Loading:
            if (!member.isReady) {
                send(SwitchKind::Load, rank, actions);
            }
            break;
        case Phase::Voting:
            if (!member.votedYes) {
                send(SwitchKind::Prepare, rank, actions);
            }
            break;
        case Phase::Committing:
        case Phase::Aborting:
            if (!member.hasApplied) {
                send(state_.isCommitted ? SwitchKind::Commit : SwitchKind::Abort, rank, actions);
            }
            break;
        case Phase::Finished:
        case Phase::GivenUp:
            break;
        }
    }
}

template<typename Rules>
void SwitchCoordinator<Rules>::send(SwitchKind kind, Rank to, SwitchActions &actions) const
{
    wire::SwitchMessage message;
    message.group = options_.group;
    message.epoch = options_.epoch;
    message.map = options_.map;
    message.fromRank = options_.rank;
    message.toRank = to;
    message.fromIncarnation = options_.incarnation;
    message.toIncarnation = kind == SwitchKind::Prepare ? state_.members[to].incarnation : 0;
    message.kind = static_cast<std::uint8_t>(kind);
    message.step = kind == SwitchKind::Load ? 0 : state_.holdStep;
    if (kind == SwitchKind::Load) {
        message.payload = options_.payload;
    }
    actions.emplace_back(std::move(message));
}

} // namespace magnolia::experts

#endif
