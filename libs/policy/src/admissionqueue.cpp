#include "policy/admissionqueue.h"

#include "fairqueue.h"
#include "queuedticket.h"
#include "servicetimes.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnolia::policy
{

namespace
{

constexpr std::size_t ClassCount = 2;
/** How long the share of slots that paying work takes is averaged over. */
constexpr double OccupancyWindow = 10;
/** Trial work is never taken to have less than this share of the slots, or its wait would be without end. */
constexpr double MinTrialShare = 0.02;
/** Mean deviations of a service time that a long wait is above the expected one, for the root of the tickets ahead. */
constexpr double LongWaitDeviations = 2.5;
/** Seconds lost by a preemption whatever has been computed. */
constexpr double LeastLoss = 0.01;
/** Expiry entries of tickets that have left are dropped once they are more than the queued ones and this. */
constexpr std::size_t ExpirySlack = 64;

double seconds(MonoClock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

MonoClock::duration fromSeconds(double value)
{
    constexpr double Longest = 1e6;
    return std::chrono::duration_cast<MonoClock::duration>(std::chrono::duration<double>(std::min(value, Longest)));
}

Duration toMilliseconds(double value)
{
    return std::chrono::ceil<Duration>(fromSeconds(value));
}

struct AttemptIdHash {
    std::size_t operator()(const wire::AttemptId &id) const noexcept
    {
        return std::hash<RequestId>()(id.request) + id.attempt;
    }
};

std::size_t indexOf(wire::PriorityClass priorityClass)
{
    return static_cast<std::size_t>(priorityClass);
}

/** An admitted ticket's last moment to start; stale once the ticket has left the queue. */
struct Expiry {
    MonoTime at;
    wire::AttemptId id;
};

bool isLater(const Expiry &left, const Expiry &right)
{
    return left.at > right.at;
}

} // namespace

class AdmissionQueue::Impl
{
public:
    explicit Impl(const Options &options) : options_(options), limit_(std::max(options.limit, 1U)), classes_{ClassState(options), ClassState(options)} {}

    AdmissionDecision offer(Ticket ticket, MonoTime now)
    {
        advance(now);
        AdmissionDecision decision = judge(ticket, now);
        if (decision.code != ErrorCode::Ok) {
            return decision;
        }
        ClassState &state = classOf(ticket);
        if (state.queue.size() >= maxQueued(ticket.priorityClass)) {
            makeRoom(ticket, decision);
            if (decision.code != ErrorCode::Ok) {
                return decision;
            }
        }
        decision.admitted = true;
        enqueue(std::move(ticket));
        return decision;
    }

    std::optional<Ticket> next(MonoTime now)
    {
        advance(now);
        if (running() >= limit_) {
            return std::nullopt;
        }
        QueuedTicket *started = paying().queue.pop(payingRule());
        if (started == nullptr && trial().running < trialLimit()) {
            started = trial().queue.pop({});
        }
        if (started == nullptr) {
            return std::nullopt;
        }
        started->state = TicketState::Running;
        started->lastStarted = now;
        if (!started->ticket.started) {
            started->firstStart = now;
        }
        ++classOf(started->ticket).running;
        if (started->ticket.priorityClass == wire::PriorityClass::Trial && started->ticket.preemptible) {
            preemptible_.push_back(*started);
        }
        return started->ticket;
    }

    void finished(const wire::AttemptId &id, const ServiceSample &sample, MonoTime now)
    {
        advance(now);
        const auto position = tickets_.find(id);
        if (position == tickets_.end() || position->second.state == TicketState::Queued) {
            return;
        }
        QueuedTicket &ticket = position->second;
        releaseSlot(ticket);
        learn(ticket, sample, now);
        tickets_.erase(position);
    }

    CancelOutcome cancel(const wire::AttemptId &id, MonoTime now)
    {
        advance(now);
        const auto position = tickets_.find(id);
        if (position == tickets_.end()) {
            return CancelOutcome::Unknown;
        }
        QueuedTicket &ticket = position->second;
        if (ticket.state != TicketState::Queued) {
            return CancelOutcome::Running;
        }
        classOf(ticket.ticket).queue.remove(ticket);
        tickets_.erase(position);
        return CancelOutcome::Removed;
    }

    std::span<const ExpiredTicket> expire(MonoTime now)
    {
        advance(now);
        expired_.clear();
        while (!expiries_.empty() && expiries_.front().at < now) {
            const Expiry due = expiries_.front();
            std::ranges::pop_heap(expiries_, isLater);
            expiries_.pop_back();
            const auto position = tickets_.find(due.id);
            if (position == tickets_.end() || position->second.state != TicketState::Queued || position->second.latestStart > due.at) {
                continue;
            }
            QueuedTicket &ticket = position->second;
            ClassState &state = classOf(ticket.ticket);
            state.queue.remove(ticket);
            const double retryAfter = promiseRetry(state, ticket.cost, 0);
            expired_.push_back({.ticket = std::move(ticket.ticket), .retryAfter = toMilliseconds(retryAfter)});
            tickets_.erase(position);
        }
        return expired_;
    }

    std::optional<Ticket> preempt(MonoTime now)
    {
        advance(now);
        if (!options_.preempts || running() < limit_ || paying().queue.size() <= preempting_ || preemptible_.empty()) {
            return std::nullopt;
        }
        // No slot is taken from trial work for an organisation that may not have it.
        if (!paying().queue.canPop(payingRule())) {
            return std::nullopt;
        }
        const auto victim = std::ranges::min_element(
            preemptible_, [this, now](const QueuedTicket &left, const QueuedTicket &right) { return preemptionLoss(left, now) < preemptionLoss(right, now); });
        QueuedTicket &ticket = *victim;
        preemptible_.erase(victim);
        ticket.state = TicketState::Preempting;
        ++preempting_;
        return ticket.ticket;
    }

    void preempted(const wire::AttemptId &id, MonoTime now)
    {
        advance(now);
        const auto position = tickets_.find(id);
        if (position == tickets_.end() || position->second.state != TicketState::Preempting) {
            return;
        }
        QueuedTicket &ticket = position->second;
        releaseSlot(ticket);
        ++ticket.preemptions;
        ticket.ticket.started = true;
        ticket.state = TicketState::Queued;
        ticket.latestStart = ticket.ticket.deadline;
        trial().queue.pushFront(ticket);
        pushExpiry(ticket);
    }

    std::span<const Ticket> drain(MonoTime now)
    {
        advance(now);
        draining_ = true;
        drained_.clear();
        for (ClassState &state : classes_) {
            while (QueuedTicket *ticket = state.queue.pop({})) {
                state.queue.stopped(*ticket);
                const wire::AttemptId id = ticket->ticket.id;
                drained_.push_back(std::move(ticket->ticket));
                tickets_.erase(id);
            }
        }
        return drained_;
    }

    void setLimit(std::uint32_t limit, MonoTime now)
    {
        advance(now);
        limit_ = std::max(limit, 1U);
    }

    QueueLoad load() const
    {
        return {
            .running = running(),
            .queuedPaying = static_cast<std::uint32_t>(paying().queue.size()),
            .queuedTrial = static_cast<std::uint32_t>(trial().queue.size()),
            .limit = limit_,
            .waitPaying = toMilliseconds(slotWait(wire::PriorityClass::Paying, {}, 1) + paying().times.meanFirstToken()),
            .waitTrial = toMilliseconds(slotWait(wire::PriorityClass::Trial, {}, 1) + trial().times.meanFirstToken()),
        };
    }

    bool isIdle() const
    {
        return tickets_.empty();
    }

private:
    struct ClassState {
        explicit ClassState(const Options &options) : times(seconds(options.initialFirstToken), seconds(options.initialTotal)) {}

        FairQueue queue;
        ServiceTimes times;
        std::uint32_t running = 0; ///< Those being preempted count until their slot is free.
        double promised = 0; ///< Slot seconds of refused work that was told to come back, drained as capacity passes.
    };

    ClassState &paying()
    {
        return classes_[indexOf(wire::PriorityClass::Paying)];
    }

    const ClassState &paying() const
    {
        return classes_[indexOf(wire::PriorityClass::Paying)];
    }

    ClassState &trial()
    {
        return classes_[indexOf(wire::PriorityClass::Trial)];
    }

    const ClassState &trial() const
    {
        return classes_[indexOf(wire::PriorityClass::Trial)];
    }

    ClassState &classOf(const Ticket &ticket)
    {
        return classes_[indexOf(ticket.priorityClass)];
    }

    std::uint32_t running() const
    {
        return paying().running + trial().running;
    }

    std::uint32_t trialLimit() const
    {
        return options_.trialLimit == 0 ? limit_ : std::min(options_.trialLimit, limit_);
    }

    /** Slots kept for organisations within their share. */
    std::uint32_t reserve() const
    {
        return static_cast<std::uint32_t>(options_.reservedShare * limit_);
    }

    /**
     * An organisation far above its share would hold every slot, and the others' requests would wait for one of its own to
     * end (seen as their time to first token growing by a slot's turnover). So the last free slots are kept for those
     * within their share; trial streams may use them meanwhile and count as free, as they yield at once.
     */
    FairQueue::StartRule payingRule() const
    {
        const std::size_t yielding = options_.preempts ? preemptible_.size() + preempting_ : 0;
        const std::size_t held = running() - yielding;
        if (held + reserve() < limit_) {
            return {};
        }
        const double activeWeights = std::max({paying().queue.activeWeights(), recentWeights_, 1e-9});
        return {.slots = static_cast<double>(limit_), .activeWeights = activeWeights};
    }

    // The classes have room of their own: with one bound for both, a surge of trial work would fill it and paying work
    // would be refused behind it.
    std::size_t maxQueued(wire::PriorityClass priorityClass) const
    {
        return priorityClass == wire::PriorityClass::Paying ? options_.maxQueuedPaying : options_.maxQueuedTrial;
    }

    /** Slots that work of a class can count on in the mean. */
    double slots(wire::PriorityClass priorityClass) const
    {
        const double all = limit_;
        if (priorityClass == wire::PriorityClass::Paying) {
            return all;
        }
        const double left = std::min<double>(trialLimit(), all - payingOccupancy_);
        return std::max(left, all * MinTrialShare);
    }

    /** @return seconds until a new ticket of the organisation gets a slot. */
    double slotWait(wire::PriorityClass priorityClass, std::string_view organisation, std::uint32_t weight) const
    {
        const ClassState &state = classes_[indexOf(priorityClass)];
        const bool isPaying = priorityClass == wire::PriorityClass::Paying;
        const std::size_t before = isPaying ? paying().queue.size() : paying().queue.size() + trial().queue.size();
        const bool mayTakeSlot = isPaying || trial().running < trialLimit();
        if (before + running() < limit_ && mayTakeSlot) {
            return 0;
        }
        const std::size_t preemptible = options_.preempts ? preemptible_.size() + preempting_ : 0;
        if (isPaying && before < preemptible) {
            return 0;
        }
        // The next slot comes free after a mean service time over the slots; those after it at the same pace.
        double ahead = state.queue.workAhead(organisation, std::max(weight, 1U)) + meanRunningTotal();
        if (!isPaying) {
            ahead += paying().queue.backlog();
        }
        return ahead / slots(priorityClass);
    }

    /**
     * @return seconds that a wait takes at the longest, but for a few in a hundred. Admitting by the expected wait would let half of
     * those at the limit expire in the queue: refused after seconds, not at once, with the queue full of them.
     */
    double longWait(wire::PriorityClass priorityClass, double wait) const
    {
        const ServiceTimes &times = classes_[indexOf(priorityClass)].times;
        const double available = slots(priorityClass);
        const double ahead = wait * available / std::max(times.meanTotal(), 1e-6);
        return wait + LongWaitDeviations * std::sqrt(ahead) * times.deviation() / available;
    }

    /** Mean service time of what holds the slots now. */
    double meanRunningTotal() const
    {
        const double sum = paying().running * paying().times.meanTotal() + trial().running * trial().times.meanTotal();
        return running() == 0 ? paying().times.meanTotal() : sum / running();
    }

    /**
     * What is lost if this stream is preempted: the prefill that it has done by now, if only just begun, or has to do again.
     * Each preemption so far counts as a further loss, or one unlucky stream would be cancelled again and again.
     */
    double preemptionLoss(const QueuedTicket &ticket, MonoTime now) const
    {
        const double prefill = trial().times.firstToken(ticket.ticket.promptTokens);
        const double lost = std::min(prefill, seconds(now - ticket.lastStarted)) + LeastLoss;
        return lost * (1 + ticket.preemptions);
    }

    AdmissionDecision judge(const Ticket &ticket, MonoTime now)
    {
        AdmissionDecision decision;
        if (draining_) {
            decision.code = ErrorCode::Leaving;
            return decision;
        }
        if (tickets_.contains(ticket.id)) {
            decision.code = ErrorCode::Conflict;
            return decision;
        }
        ClassState &state = classOf(ticket);
        const double timeLeft = seconds(ticket.deadline - now);
        const double wait = slotWait(ticket.priorityClass, ticket.organisation, ticket.weight);
        const double expected = wait + state.times.firstToken(ticket.promptTokens);
        decision.expectedWait = toMilliseconds(expected);
        if (timeLeft <= 0) {
            decision.code = ErrorCode::DeadlineExceeded;
            return decision;
        }
        const double service = ticket.wholeAnswer ? state.times.longTotal(ticket.promptTokens) : state.times.firstToken(ticket.promptTokens);
        const double needed = longWait(ticket.priorityClass, wait) + service;
        // With no wait at all it may try: an estimate that is too high would otherwise never be corrected, since nothing
        // would run and nothing be learned.
        if (options_.refusesLate && wait > 0 && needed > timeLeft) {
            decision.code = ErrorCode::Overloaded;
            decision.retryAfter = toMilliseconds(promiseRetry(state, state.times.total(ticket.promptTokens), needed - timeLeft));
        }
        return decision;
    }

    void learn(const QueuedTicket &ticket, const ServiceSample &sample, MonoTime now)
    {
        ServiceTimes &times = classOf(ticket.ticket).times;
        const std::uint32_t promptTokens = ticket.ticket.promptTokens;
        // A resumed stream shows only the last part of its work.
        if (ticket.preemptions == 0) {
            times.learn(sample, promptTokens);
        }
        // What the deadline cut would have taken longer still; without it only short work would be learned from.
        const double elapsed = seconds(now - ticket.firstStart);
        const bool wasCut = now >= ticket.ticket.deadline && elapsed > times.total(promptTokens);
        if (sample.valid || wasCut) {
            times.learnElapsed(elapsed, promptTokens);
        }
    }

    /** Finds room for a ticket in a full queue, at the cost of the organisation that takes the most for its weight. */
    void makeRoom(const Ticket &ticket, AdmissionDecision &decision)
    {
        ClassState &state = classOf(ticket);
        const double cost = state.times.total(ticket.promptTokens);
        const double excess = state.times.meanTotal() / slots(ticket.priorityClass);
        QueuedTicket *victim = state.queue.largestBacklogTail(ticket.organisation, std::max(ticket.weight, 1U), cost);
        if (victim == nullptr) {
            decision.code = ErrorCode::Overloaded;
            decision.retryAfter = toMilliseconds(promiseRetry(state, cost, excess));
            return;
        }
        state.queue.remove(*victim);
        decision.displacedRetryAfter = toMilliseconds(promiseRetry(state, victim->cost, excess));
        const wire::AttemptId id = victim->ticket.id;
        decision.displaced = std::move(victim->ticket);
        tickets_.erase(id);
    }

    /**
     * Works out when refused work should come back: once the queue has drained by the excess, and those refused before it have
     * been served. Without the latter all of them would be told the same time, come back together and be refused again.
     *
     * @return seconds
     */
    double promiseRetry(ClassState &state, double cost, double excess)
    {
        const wire::PriorityClass priorityClass = &state == &paying() ? wire::PriorityClass::Paying : wire::PriorityClass::Trial;
        const double longest = seconds(options_.maxRetryAfter);
        const double available = slots(priorityClass);
        const double retryAfter = excess + state.promised / available;
        state.promised = std::min(state.promised + cost, longest * available);
        return std::min(retryAfter, longest);
    }

    void enqueue(Ticket ticket)
    {
        const wire::AttemptId id = ticket.id;
        QueuedTicket &queued = tickets_[id];
        queued.ticket = std::move(ticket);
        ClassState &state = classOf(queued.ticket);
        const std::uint32_t promptTokens = queued.ticket.promptTokens;
        const double needed = queued.ticket.wholeAnswer ? state.times.longTotal(promptTokens) : state.times.firstToken(promptTokens);
        queued.cost = state.times.total(promptTokens);
        queued.latestStart = queued.ticket.deadline;
        if (options_.refusesLate) {
            // Work that cannot make it any more is told so now and not at its deadline, but what was admitted with hardly
            // any time to spare gets half of it as its chance.
            const double timeLeft = seconds(queued.ticket.deadline - now_);
            queued.latestStart -= fromSeconds(std::min(needed, timeLeft / 2));
        }
        state.queue.pushBack(queued);
        pushExpiry(queued);
    }

    void pushExpiry(const QueuedTicket &ticket)
    {
        const std::size_t queued = paying().queue.size() + trial().queue.size();
        if (expiries_.size() > 2 * queued + ExpirySlack) {
            dropStaleExpiries();
        }
        expiries_.push_back({.at = ticket.latestStart, .id = ticket.ticket.id});
        std::ranges::push_heap(expiries_, isLater);
    }

    void dropStaleExpiries()
    {
        std::erase_if(expiries_, [this](const Expiry &expiry) {
            const auto position = tickets_.find(expiry.id);
            return position == tickets_.end() || position->second.state != TicketState::Queued;
        });
        std::ranges::make_heap(expiries_, isLater);
    }

    void releaseSlot(QueuedTicket &ticket)
    {
        ClassState &state = classOf(ticket.ticket);
        --state.running;
        state.queue.stopped(ticket);
        if (ticket.state == TicketState::Preempting) {
            --preempting_;
        } else if (ticket.is_linked()) {
            preemptible_.erase(preemptible_.iterator_to(ticket));
        }
    }

    void advance(MonoTime now)
    {
        if (now <= now_) {
            return;
        }
        const double elapsed = seconds(now - now_);
        now_ = now;
        const double kept = std::exp(-elapsed / OccupancyWindow);
        payingOccupancy_ = payingOccupancy_ * kept + paying().running * (1 - kept);
        recentWeights_ = recentWeights_ * kept + paying().queue.activeWeights() * (1 - kept);
        for (const auto priorityClass : {wire::PriorityClass::Paying, wire::PriorityClass::Trial}) {
            double &promised = classes_[indexOf(priorityClass)].promised;
            promised = std::max(0.0, promised - elapsed * slots(priorityClass));
        }
    }

    Options options_;
    std::uint32_t limit_;
    std::unordered_map<wire::AttemptId, QueuedTicket, AttemptIdHash> tickets_;
    std::array<ClassState, ClassCount> classes_;
    boost::intrusive::list<QueuedTicket> preemptible_; ///< Running trial streams, in the order in which they started.
    std::vector<Expiry> expiries_; ///< A heap, the earliest first.
    std::vector<ExpiredTicket> expired_;
    std::vector<Ticket> drained_;
    MonoTime now_;
    double payingOccupancy_ = 0; ///< Slots that paying work takes, averaged over OccupancyWindow.
    double recentWeights_ = 0; ///< Sum of the weights of paying organisations with work here, averaged likewise.
    std::size_t preempting_ = 0;
    bool draining_ = false;
};

AdmissionQueue::AdmissionQueue(const Options &options) : impl_(std::make_unique<Impl>(options)) {}

AdmissionQueue::~AdmissionQueue() = default;

AdmissionDecision AdmissionQueue::offer(Ticket ticket, MonoTime now)
{
    return impl_->offer(std::move(ticket), now);
}

std::optional<Ticket> AdmissionQueue::next(MonoTime now)
{
    return impl_->next(now);
}

void AdmissionQueue::finished(const wire::AttemptId &id, const ServiceSample &sample, MonoTime now)
{
    impl_->finished(id, sample, now);
}

CancelOutcome AdmissionQueue::cancel(const wire::AttemptId &id, MonoTime now)
{
    return impl_->cancel(id, now);
}

std::span<const ExpiredTicket> AdmissionQueue::expire(MonoTime now)
{
    return impl_->expire(now);
}

std::optional<Ticket> AdmissionQueue::preempt(MonoTime now)
{
    return impl_->preempt(now);
}

void AdmissionQueue::preempted(const wire::AttemptId &id, MonoTime now)
{
    impl_->preempted(id, now);
}

std::span<const Ticket> AdmissionQueue::drain(MonoTime now)
{
    return impl_->drain(now);
}

void AdmissionQueue::setLimit(std::uint32_t limit, MonoTime now)
{
    impl_->setLimit(limit, now);
}

QueueLoad AdmissionQueue::load(MonoTime) const
{
    return impl_->load();
}

bool AdmissionQueue::isIdle() const
{
    return impl_->isIdle();
}

} // namespace magnolia::policy
