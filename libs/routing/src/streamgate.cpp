#include "routing/streamgate.h"

#include <algorithm>
#include <cmath>

namespace magnolia::routing
{

namespace
{

// A smoothed value takes this part of each new one: some ten streams' worth.
constexpr double NewPart = 0.1;

// Half-life of the rate at which those who wait begin.
constexpr std::chrono::duration<double> RateHalfLife{0.5};

double halvesOf(BootClock::duration time, Duration halfLife)
{
    return std::max(std::chrono::duration<double>(time) / std::chrono::duration<double>(halfLife), 0.0);
}

/** @return part of the engines' places with which the same pass would have been in time. */
double wantedUseOf(double pauseShare, const StepModel &steps, double use)
{
    const double slots = steps.slots;
    const double stepNow = steps.stepMs + steps.perRequestMs * use * slots;
    // Uneven experts and prompts stretch each step by the same factor, whatever the number of streams.
    const double stepWanted = stepNow / pauseShare;
    return (stepWanted - steps.stepMs) / steps.perRequestMs / slots;
}

} // namespace

void StreamGate::setCapacity(std::size_t endpoints, std::size_t instances)
{
    const double part = static_cast<double>(endpoints) / static_cast<double>(std::max<std::size_t>(instances, 1));
    startLimit_ = std::max(options_.startsPerEndpoint * part, options_.leastStarts);
}

void StreamGate::reported(const LoadReport &report, BootTime now)
{
    if (report.slots == 0) {
        return;
    }
    const double factor = std::exp2(-halvesOf(now - useAt_, options_.useHalfLife));
    use_ = use_ * factor + std::min(static_cast<double>(report.running) / report.slots, 1.0);
    demanded_ = demanded_ * factor + static_cast<double>(report.running + report.waiting) / report.slots;
    useWeight_ = useWeight_ * factor + 1;
    useAt_ = now;
    reportedWith_ += (static_cast<double>(inProgress_) - reportedWith_) * NewPart;
}

void StreamGate::paused(BootClock::duration pause, Duration objective, const StepModel &steps, BootTime now)
{
    if (objective.count() == 0) {
        return;
    }
    if (pauseWeight_ > 0 && now - pausedAt_ > options_.standstill) {
        returnedAt_ = now;
    }
    const double share = std::chrono::duration<double>(pause) / std::chrono::duration<double>(objective);
    const double factor = std::exp2(-halvesOf(now - pausedAt_, options_.pauseHalfLife));
    pauses_ = pauses_ * factor + share;
    pauseWeight_ = pauseWeight_ * factor + 1;
    pausedAt_ = now;
    const bool isKnown = useWeight_ > 0 && steps.perRequestMs > 0;
    wantedUse_ = isKnown ? wantedUseOf(pauseShare(), steps, use_ / useWeight_) : 0;
}

void StreamGate::firstEvent(BootClock::duration took)
{
    --starting_;
    const auto before = firstEventTime_.value_or(took);
    firstEventTime_ = std::chrono::duration_cast<BootClock::duration>(before * (1 - NewPart) + took * NewPart);
}

void StreamGate::ended(bool hadEvent)
{
    --inProgress_;
    starting_ -= hadEvent ? 0 : 1;
}

bool StreamGate::isCrowded(BootTime now) const
{
    const bool isKnown = pauseWeight_ > 0 && now - pausedAt_ < options_.pauseTrust;
    return isKnown && pauseShare() > options_.fullShare;
}

bool StreamGate::isFull(BootTime now) const
{
    const bool isKnown = useWeight_ > 0 && now - useAt_ < options_.useHalfLife;
    const double demanded = isKnown ? demanded_ / useWeight_ : 0;
    // Reports come only with answers that begin: while none does, this instance's streams that have ended since tell of free places.
    return demanded > options_.fullUse && static_cast<double>(inProgress_) >= reportedWith_ / demanded;
}

bool StreamGate::isForLoad() const
{
    return wantedUse_ >= options_.leastUse;
}

void StreamGate::wait(const Waiter &waiter)
{
    waiting_.push_back(waiter);
}

void StreamGate::leave(std::uint64_t ticket)
{
    std::erase_if(waiting_, [ticket](const Waiter &waiter) { return waiter.ticket == ticket; });
}

bool StreamGate::canBeInTime(const Waiter &waiter, BootTime now) const
{
    return now + firstEventTime_.value_or(BootClock::duration(0)) < waiter.receivedAt + waiter.objective;
}

std::optional<std::size_t> StreamGate::firstWaiter(bool isInTime, BootTime now) const
{
    std::optional<std::size_t> first;
    for (std::size_t index = 0; index < waiting_.size(); ++index) {
        const bool isOfThese = canBeInTime(waiting_[index], now) == isInTime;
        if (isOfThese && (!first || turnOf(waiting_[index]) < turnOf(waiting_[*first]))) {
            first = index;
        }
    }
    return first;
}

std::optional<std::uint64_t> StreamGate::next(BootTime now)
{
    if (waiting_.empty() || !mayStart(now)) {
        return std::nullopt;
    }
    auto inTime = firstWaiter(true, now);
    auto late = firstWaiter(false, now);
    const bool isLatesTurn = late && (!inTime || turns_ + 1 >= options_.lateTurn);
    const std::size_t chosen = isLatesTurn ? *late : *inTime;
    if (isFull(now)) {
        return std::nullopt;
    }
    const bool hasWaited = now - waiting_[chosen].receivedAt >= options_.calmWait;
    if (isCrowded(now) && (isForLoad() || !hasWaited)) {
        return std::nullopt;
    }
    turns_ = isLatesTurn ? 0 : turns_ + 1;
    const std::uint64_t ticket = waiting_[chosen].ticket;
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(chosen));
    const double halves = std::chrono::duration<double>(now - begunAt_) / RateHalfLife;
    begun_ = begun_ * std::exp2(-std::max(halves, 0.0)) + 1;
    begunAt_ = now;
    return ticket;
}

std::optional<std::uint64_t> StreamGate::nextHopeless(BootTime now)
{
    for (std::size_t index = 0; index < waiting_.size(); ++index) {
        if (now - waiting_[index].receivedAt >= options_.patience) {
            const std::uint64_t ticket = waiting_[index].ticket;
            waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
            return ticket;
        }
    }
    return std::nullopt;
}

Duration StreamGate::expectedWait() const
{
    // Decaying by half in each half-life, a steady rate sums up to rate x half-life / ln 2.
    const double rate = begun_ * std::log(2.0) / RateHalfLife.count();
    if (waiting_.empty() || rate <= 0) {
        return Duration(0); // Nothing is known.
    }
    constexpr double MillisecondsPerSecond = 1000;
    return Duration(static_cast<Duration::rep>(static_cast<double>(waiting_.size()) / rate * MillisecondsPerSecond));
}

} // namespace magnolia::routing
