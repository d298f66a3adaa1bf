#include "rolloutdriver.h"

#include "observe/log.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace magnolia::agent
{

namespace
{

std::string slotPrefix(const std::string &model)
{
    return "rollout/" + model + '/';
}

std::optional<std::uint32_t> slotNumber(std::string_view key, std::string_view prefix)
{
    key.remove_prefix(prefix.size());
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), number);
    if (error != std::errc() || end != key.data() + key.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

RolloutDriver::RolloutDriver(event_base *loop, std::string endpoint, wire::LinkOptions links, const PlatformPorts &platform, Ports ports)
    : endpoint_(std::move(endpoint))
    , platform_(platform)
    , ports_(std::move(ports))
    , peers_(loop, std::move(links), platform, [this] { onPeersChanged(); })
    , random_(seededRandom())
    , wakeTimer_(loop,
                 [this] {
                     wakeTime_ = MonoTime::max();
                     ports_.lookSoon();
                 })
    , self_(std::make_shared<RolloutDriver *>(this))
{
}

void RolloutDriver::setManifest(manifest::ManifestIndex::Pointer index)
{
    index_ = std::move(index);
}

const std::set<std::string> &RolloutDriver::held() const
{
    return held_;
}

std::set<std::string> RolloutDriver::onSeen(const engine::EngineState &state)
{
    const manifest::Endpoint *self = index_ ? index_->endpoint(endpoint_) : nullptr;
    std::set<std::string> leave;
    std::set<std::string> held;
    const std::vector<std::string> none;
    const MonoTime now = MonoClock::now();
    for (const std::string &name : self != nullptr ? self->models : none) {
        const manifest::Model *model = index_->model(name);
        const engine::ModelState *seen = state.model(name);
        const bool servesOther = model != nullptr && seen != nullptr && seen->serving && seen->version != model->version;
        const bool inPlace = model != nullptr && seen != nullptr && seen->serving && !servesOther;
        auto move = moves_.find(name);
        if (move == moves_.end()) {
            if (model == nullptr || (inPlace && looked_.contains(name))) {
                continue;
            }
            // Also one that is only loading, or in place already when this agent starts: its predecessor may have been lost
            // with a slot in hand, and all others would wait until the lease lapses.
            looked_.insert(name);
            move = moves_.emplace(name, RolloutGate::Options{.endpoint = endpoint_}).first;
        }
        if (isDue(move->second, servesOther || inPlace)) {
            look(name, move->second, seen);
        }
        if (servesOther && now < move->second.leaveUntil) {
            held.insert(name);
            if (ports_.open(name) == 0) {
                leave.insert(name);
            }
        }
    }
    std::erase_if(moves_, [self](const auto &entry) {
        return self == nullptr || std::find(self->models.begin(), self->models.end(), entry.first) == self->models.end();
    });
    if (held != held_) {
        held_ = held;
        ports_.hold(held_);
    }
    watchPeers();
    return leave;
}

bool RolloutDriver::isDue(const Move &move, bool mayAct) const
{
    if (move.busy || MonoClock::now() < move.pace.nextLook()) {
        return false;
    }
    return mayAct || !move.idle;
}

void RolloutDriver::look(const std::string &model, Move &move, const engine::ModelState *seen)
{
    move.busy = true;
    const manifest::Model *wanted = index_->model(model);
    RolloutView view{
        .peersServing = peers_.serving(model),
        .endpoints = static_cast<std::uint32_t>(index_->endpointsOfModel(model).size()),
        .servingFloor = wanted->servingFloor,
        .maxMoving = wanted->maxMoving,
        .servesOther = seen != nullptr && seen->serving && seen->version != wanted->version,
        .inPlace = seen != nullptr && seen->serving && seen->version == wanted->version,
    };
    move.waits = view.servesOther;
    platform_.list(
        slotPrefix(model),
        [weak = std::weak_ptr(self_), model, view = std::move(view), readAt = MonoClock::now()](const Result<std::map<std::string, store::Row>> &rows) {
            if (const auto self = weak.lock()) {
                (*self)->onSlots(model, rows, view, readAt);
            }
        });
}

void RolloutDriver::onSlots(const std::string &model, const Result<std::map<std::string, store::Row>> &rows, RolloutView view, MonoTime readAt)
{
    const auto found = moves_.find(model);
    if (found == moves_.end()) {
        return;
    }
    Move &move = found->second;
    move.busy = false;
    if (!rows) {
        return;
    }
    const std::string prefix = slotPrefix(model);
    for (const auto &[key, row] : *rows) {
        if (const auto number = slotNumber(key, prefix)) {
            view.slots[*number] = row;
        }
    }
    const RolloutDecision decision = move.gate.decide(view, readAt);
    move.idle = !decision.holdsSlot && !view.servesOther;
    if (!decision.holdsSlot && !decision.write) {
        // Many may wait for few slots, and the table's reads are shared by all.
        const MonoTime now = MonoClock::now();
        move.pace.lookedInVain(now, random_);
        if (view.servesOther && move.pace.isPrompt(now)) {
            wakeAt(move.pace.nextLook());
        }
    }
    if (decision.mayMove) {
        if (view.servesOther && move.leaveUntil == MonoTime()) {
            wakeAt(MonoClock::now());
        }
        move.leaveUntil = readAt + LeaveTime;
    } else {
        move.leaveUntil = {};
    }
    if (decision.write) {
        move.busy = true;
        write(model, *decision.write);
    } else if (view.inPlace) {
        // The slot is free again, or was never ours.
        observe::logger("rollout")->info("model {} is in its version", model);
        moves_.erase(found);
    }
}

void RolloutDriver::write(const std::string &model, const WriteSlot &slot)
{
    const std::string key = slotPrefix(model) + std::to_string(slot.slot);
    auto done = [weak = std::weak_ptr(self_), model](const Result<store::WriteOutcome> &) {
        // Whatever the reply says, the next look shows how the row stands.
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (const auto found = (*self)->moves_.find(model); found != (*self)->moves_.end()) {
            found->second.busy = false;
            (*self)->wakeAt(MonoClock::now());
        }
    };
    if (slot.ifRevision) {
        platform_.replace(key, *slot.ifRevision, slot.value, std::move(done));
    } else {
        platform_.insert(key, slot.value, std::move(done));
    }
}

void RolloutDriver::watchPeers()
{
    std::set<std::string> endpoints;
    for (const auto &[model, move] : moves_) {
        if (!move.waits) {
            continue; // Whoever is out of service already, or only gives a slot back, needs nobody's report.
        }
        for (const manifest::Endpoint *peer : index_->endpointsOfModel(model)) {
            if (peer->name != endpoint_) {
                endpoints.insert(peer->name);
            }
        }
    }
    peers_.watch(std::move(endpoints));
}

void RolloutDriver::onPeersChanged()
{
    const MonoTime now = MonoClock::now();
    for (auto &[name, move] : moves_) {
        const manifest::Model *model = index_->model(name);
        if (!move.waits || model == nullptr || !isNextToMove(name, endpoint_, peers_.servingOther(name, model->version), model->maxMoving)) {
            continue;
        }
        move.pace.changeSeen(now, random_);
        wakeAt(move.pace.nextLook());
    }
}

void RolloutDriver::wakeAt(MonoTime time)
{
    if (time >= wakeTime_) {
        return;
    }
    wakeTime_ = time;
    wakeTimer_.start(std::max(Duration(0), std::chrono::ceil<Duration>(time - MonoClock::now())));
}

} // namespace magnolia::agent
