#include "experts/epochcoordinator.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace magnolia::experts
{

EpochCoordinator::EpochCoordinator(Options options) : options_(std::move(options))
{
    state_.members.resize(options_.ranks);
}

EpochCoordinator::EpochCoordinator(Options options, State state) : options_(std::move(options)), state_(std::move(state)) {}

SwitchActions EpochCoordinator::receive(const wire::SwitchMessage &message)
{
    SwitchActions actions;
    const bool isOurs = message.group == options_.group && message.epoch == options_.epoch && message.toRank == options_.rank;
    if (!isOurs || message.fromRank >= options_.ranks) {
        return actions;
    }
    if (message.kind == static_cast<std::uint8_t>(SwitchKind::State)) {
        receiveState(message, actions);
    }
    if (message.kind == static_cast<std::uint8_t>(SwitchKind::Joined) && state_.phase == Phase::Joining) {
        state_.members[message.fromRank].hasJoined = true;
        const bool isComplete = std::all_of(state_.members.begin(), state_.members.end(), [](const Member &member) { return member.hasJoined; });
        state_.phase = isComplete ? Phase::Finished : Phase::Joining;
    }
    return actions;
}

SwitchActions EpochCoordinator::tick()
{
    SwitchActions actions;
    for (Rank rank = 0; rank < options_.ranks; ++rank) {
        const Member &member = state_.members[rank];
        if (state_.phase == Phase::Inquiring && !member.hasAnswered) {
            send(SwitchKind::Inquire, rank, actions);
        }
        if (state_.phase == Phase::Joining && !member.hasJoined) {
            send(SwitchKind::Join, rank, actions);
        }
    }
    return actions;
}

const EpochCoordinator::State &EpochCoordinator::state() const
{
    return state_;
}

void EpochCoordinator::receiveState(const wire::SwitchMessage &message, SwitchActions &actions)
{
    if (state_.phase != Phase::Inquiring) {
        // The choice is made once: a second one could let this epoch begin with two maps.
        return;
    }
    Member &member = state_.members[message.fromRank];
    const char *end = message.payload.data() + message.payload.size();
    if (std::from_chars(message.payload.data(), end, member.epoch).ec != std::errc()) {
        return;
    }
    member.hasAnswered = true;
    member.map = message.map;
    state_.firstStep = std::max(state_.firstStep, message.step + 1);
    const bool isComplete = std::all_of(state_.members.begin(), state_.members.end(), [](const Member &other) { return other.hasAnswered; });
    if (isComplete) {
        choose();
        actions = tick();
    }
}

// The highest map that a survivor of the latest epoch has; the lowest recorded one if there is no survivor.
void EpochCoordinator::choose()
{
    Epoch latest = 0;
    for (const Member &member : state_.members) {
        latest = std::max(latest, member.epoch);
    }
    state_.map = options_.maps.begin()->first;
    for (const Member &member : state_.members) {
        if (latest > 0 && member.epoch == latest && options_.maps.contains(member.map)) {
            state_.map = std::max(state_.map, member.map);
        }
    }
    state_.phase = Phase::Joining;
}

void EpochCoordinator::send(SwitchKind kind, Rank to, SwitchActions &actions) const
{
    wire::SwitchMessage message;
    message.group = options_.group;
    message.epoch = options_.epoch;
    message.fromRank = options_.rank;
    message.toRank = to;
    message.fromIncarnation = options_.incarnation;
    message.kind = static_cast<std::uint8_t>(kind);
    if (kind == SwitchKind::Join) {
        message.map = state_.map;
        message.step = state_.firstStep;
        message.payload = options_.maps.at(state_.map);
    }
    actions.emplace_back(std::move(message));
}

} // namespace magnolia::experts
