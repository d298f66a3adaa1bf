#include "enginekeeper.h"

#include "observe/log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace magnolia::agent
{

namespace
{

bool needsWeights(const engine::EngineOrder &order)
{
    return order.kind == engine::OrderKind::LoadModel || order.kind == engine::OrderKind::LoadAdapter;
}

std::string fenceKey(const std::string &endpoint)
{
    return "fence/" + endpoint;
}

} // namespace

EngineKeeper::EngineKeeper(event_base *loop,
                           Options options,
                           engine::EngineClient &engine,
                           const PlatformPorts &platform,
                           Ports ports,
                           observe::Metrics &metrics)
    : options_(std::move(options))
    , engine_(engine)
    , platform_(platform)
    , ports_(std::move(ports))
    , random_(seededRandom())
    , acquirer_(options_.incarnation)
    , tableBackoff_(options_.tableBackoff)
    , storeBackoff_(options_.weightStoreBackoff)
    , pollTimer_(loop, [this] { poll(); })
    , fenceTimer_(loop, [this] { acquireFence(); })
    , orders_(metrics.counter("magnolia_agent_orders_total", "Orders that the engine took."))
    , refusedOrders_(metrics.counter("magnolia_agent_refused_orders_total", "Orders that the engine did not take."))
    , self_(std::make_shared<EngineKeeper *>(this))
{
}

void EngineKeeper::start()
{
    acquireFence();
    poll();
}

void EngineKeeper::setManifest(manifest::ManifestIndex::Pointer index)
{
    index_ = std::move(index);
    pollIn(Duration(0));
}

void EngineKeeper::lookSoon()
{
    pollIn(Duration(0));
}

std::optional<std::uint64_t> EngineKeeper::fence() const
{
    return acquirer_.fence();
}

const manifest::Endpoint *EngineKeeper::endpoint() const
{
    return index_ ? index_->endpoint(options_.endpoint) : nullptr;
}

void EngineKeeper::pollIn(Duration delay)
{
    pollTimer_.start(delay);
}

void EngineKeeper::poll()
{
    if (polling_) {
        // An order may take longer than the time between two looks. If the timer ended here, a refusal of that order would
        // leave nobody to look again: the endpoint would stay as it is until the agent is restarted.
        pollIn(options_.pollAfterOrder);
        return;
    }
    const manifest::Endpoint *self = endpoint();
    if (self == nullptr) {
        pollIn(options_.pollInterval);
        return;
    }
    polling_ = true;
    if (self->kind == manifest::EndpointKind::Service) {
        engine_.probe([weak = Weak(self_)](bool alive) {
            if (const auto keeper = weak.lock()) {
                (*keeper)->onProbed(alive);
            }
        });
        return;
    }
    engine_.fetchState([weak = Weak(self_)](const Result<engine::EngineState> &state) {
        if (const auto keeper = weak.lock()) {
            (*keeper)->onState(state);
        }
    });
}

void EngineKeeper::onProbed(bool alive)
{
    polling_ = false;
    ports_.seen(std::nullopt, alive);
    pollIn(options_.pollInterval);
}

void EngineKeeper::onState(const Result<engine::EngineState> &state)
{
    polling_ = false;
    // Spread, so that the agents of a rack that came up together don't look together for ever.
    std::uniform_int_distribution<std::int64_t> spread(options_.pollInterval.count() * 4 / 5, options_.pollInterval.count() * 6 / 5);
    pollIn(Duration(spread(random_)));
    if (!state) {
        ports_.seen(std::nullopt, false);
        return;
    }
    if (endpoint() == nullptr) {
        // An agent that doesn't know what is wanted changes nothing.
        ports_.seen(*state, false);
        return;
    }
    const DesiredEngine desired = desiredEngine(*index_, options_.endpoint);
    ReconcilePlan plan = reconcile(desired, *state, ports_.waiting(), {});
    const std::set<std::string> mayReplace = ports_.mayReplace(*state);
    if (!mayReplace.empty()) {
        plan = reconcile(desired, *state, ports_.waiting(), mayReplace);
    }
    highestSeen_ = state->fence;
    ports_.seen(*state, plan.converged);
    act(plan);
}

void EngineKeeper::act(const ReconcilePlan &plan)
{
    if (!acquirer_.fence() || superseded_) {
        return;
    }
    const bool storeRests = MonoClock::now() < loadsFrom_;
    const auto next = std::find_if(
        plan.orders.begin(), plan.orders.end(), [storeRests](const engine::EngineOrder &candidate) { return !storeRests || !needsWeights(candidate); });
    if (next != plan.orders.end()) {
        order(*next);
    }
}

void EngineKeeper::order(const engine::EngineOrder &order)
{
    polling_ = true;
    if (endpoint()->checksFencing) {
        send(order);
        return;
    }
    // This engine takes anybody's orders, so the agent looks itself whether a later one has taken over. What is left is the
    // time between this answer and the order's arrival; the look after the order mends what slipped through.
    platform_.read(fenceKey(options_.endpoint), [weak = Weak(self_), order](const Result<std::optional<store::Row>> &row) {
        const auto keeper = weak.lock();
        if (!keeper) {
            return;
        }
        EngineKeeper &self = **keeper;
        if (row && self.acquirer_.isSuperseded(*row)) {
            self.stopOrders();
            self.polling_ = false;
            return;
        }
        // A table that doesn't answer doesn't stop an engine from being brought back: the bound address keeps a second
        // agent of this endpoint off the instance.
        self.send(order);
    });
}

void EngineKeeper::send(const engine::EngineOrder &order)
{
    const std::string text = describe(order);
    if (std::exchange(lastOrder_, text) != text) {
        observe::logger("engine")->info("order {}", text);
    }
    engine_.order(order, *acquirer_.fence(), [weak = Weak(self_), order](const Result<void> &result) {
        if (const auto keeper = weak.lock()) {
            (*keeper)->onOrdered(order, result);
        }
    });
}

void EngineKeeper::onOrdered(const engine::EngineOrder &order, const Result<void> &result)
{
    polling_ = false;
    if (result) {
        orders_.add();
        if (needsWeights(order)) {
            storeBackoff_.reset();
        }
        pollIn(options_.pollAfterOrder);
        return;
    }
    refusedOrders_.add();
    lastOrder_.clear();
    const Failure &failure = result.error();
    if (failure.code == ErrorCode::RateLimited) {
        // Full jitter on top of what the store asks for, or else all agents come back to it together.
        const Duration rest = failure.retryAfter.value_or(Duration(0)) + storeBackoff_.next(random_);
        loadsFrom_ = MonoClock::now() + rest;
        pollIn(std::min(rest, options_.pollInterval));
        return;
    }
    observe::logger("engine")->warn("order {} refused: {}", describe(order), failure.detail);
    if (failure.code == ErrorCode::StaleFence) {
        onStaleFence();
    }
}

void EngineKeeper::onStaleFence()
{
    // A later agent may have taken over while this one was paused. If this one took a new number then, it would shut the
    // later one out, and the two would take turns for ever; one would see the row's number rise without an end.
    polling_ = true;
    platform_.read(fenceKey(options_.endpoint), [weak = Weak(self_)](const Result<std::optional<store::Row>> &row) {
        const auto keeper = weak.lock();
        if (!keeper) {
            return;
        }
        EngineKeeper &self = **keeper;
        self.polling_ = false;
        if (!row) {
            return; // The next order that is refused asks again.
        }
        if (self.acquirer_.isSuperseded(*row)) {
            self.stopOrders();
            return;
        }
        // The engine knows a higher number than the table, so the table's row is behind.
        self.acquirer_.reset();
        self.acquireFence();
    });
}

void EngineKeeper::stopOrders()
{
    observe::logger("engine")->warn("a later agent has taken over this endpoint; no more orders from here");
    superseded_ = true;
}

void EngineKeeper::acquireFence()
{
    if (acquirer_.fence()) {
        return;
    }
    platform_.read(fenceKey(options_.endpoint), [weak = Weak(self_)](const Result<std::optional<store::Row>> &row) {
        const auto keeper = weak.lock();
        if (!keeper) {
            return;
        }
        if (!row) {
            (*keeper)->retryFence();
            return;
        }
        (*keeper)->onFenceRow(*row);
    });
}

void EngineKeeper::onFenceRow(const std::optional<store::Row> &row)
{
    const auto write = acquirer_.onRow(row, highestSeen_);
    if (!write) {
        if (!acquirer_.fence()) {
            retryFence();
        }
        return;
    }
    auto done = [weak = Weak(self_)](const Result<store::WriteOutcome> &outcome) {
        const auto keeper = weak.lock();
        if (!keeper) {
            return;
        }
        if (!outcome || !outcome->applied) {
            (*keeper)->retryFence();
            return;
        }
        (*keeper)->acquirer_.onApplied();
        (*keeper)->tableBackoff_.reset();
        (*keeper)->pollIn(Duration(0));
    };
    if (write->revision == 0) {
        platform_.insert(fenceKey(options_.endpoint), write->value, std::move(done));
    } else {
        platform_.replace(fenceKey(options_.endpoint), write->revision, write->value, std::move(done));
    }
}

void EngineKeeper::retryFence()
{
    fenceTimer_.start(tableBackoff_.next(random_));
}

} // namespace magnolia::agent
