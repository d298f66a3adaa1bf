#include "routing/classadmission.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace magnolia::routing
{

namespace
{

constexpr std::size_t MaxWaiting = 64; ///< Streams of one class; more have no turn within the time that streams wait.
constexpr std::size_t MaxOrganisations = 4096; ///< Counted of one class.
constexpr double IdleCount = 0.1; ///< An organisation's count that no longer matters.
constexpr double MinFreeFraction = 0.1; ///< Of the slots that become free, for a class whatever the more urgent ones take.
constexpr Duration MaxReportAge{2000};

BootClock::duration seconds(double count)
{
    return std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(count));
}

} // namespace

ClassAdmission::Decision ClassAdmission::request(const Stream &stream, const Room &room, BootTime now)
{
    Class &state = states_.at(stream.priority);
    state.asked.add(now, options_.halfLife);
    const std::size_t before = waitingBefore(stream.priority, now);
    if (before == 0 && state.waiting.empty() && hasRoom(stream.priority, room, now)) {
        countAdmitted(state, stream.organisation, now);
        return {};
    }
    Waiting waiting{
        .ticket = ++lastTicket_, .organisation = std::string(stream.organisation), .isReturn = stream.isReturn, .since = stream.since, .until = stream.until};
    const auto aheadInClass =
        std::count_if(state.waiting.begin(), state.waiting.end(), [&](const Waiting &other) { return goesBefore(state, other, waiting, now); });
    const BootClock::duration wait = predictWait(stream.priority, before + static_cast<std::size_t>(aheadInClass), room, now);
    if (now + wait > stream.until || state.waiting.size() >= MaxWaiting) {
        return {.verdict = Verdict::Reject, .predictedWait = wait};
    }
    const Ticket ticket = waiting.ticket;
    state.waiting.push_back(std::move(waiting));
    return {.verdict = Verdict::Wait, .ticket = ticket, .predictedWait = wait};
}

std::optional<ClassAdmission::Ticket> ClassAdmission::takeNext(const Room &room, BootTime now)
{
    std::optional<Priority> next;
    for (Priority priority = 0; priority <= LowestPriority; ++priority) {
        if (!states_.at(priority).waiting.empty() && (!next || rankOf(priority, now) < rankOf(*next, now))) {
            next = priority;
        }
    }
    if (!next || !hasRoom(*next, room, now)) {
        return std::nullopt;
    }
    Class &state = states_.at(*next);
    const auto first = std::min_element(
        state.waiting.begin(), state.waiting.end(), [&](const Waiting &one, const Waiting &other) { return goesBefore(state, one, other, now); });
    const Ticket ticket = first->ticket;
    countAdmitted(state, first->organisation, now);
    state.waiting.erase(first);
    return ticket;
}

std::optional<ClassAdmission::Ticket> ClassAdmission::takeHopeless(const Room &room, BootTime now)
{
    for (Priority priority = 0; priority <= LowestPriority; ++priority) {
        std::vector<Waiting> &waiting = states_.at(priority).waiting;
        if (waiting.empty()) {
            continue;
        }
        const Class &state = states_.at(priority);
        const auto last =
            std::max_element(waiting.begin(), waiting.end(), [&](const Waiting &one, const Waiting &other) { return goesBefore(state, one, other, now); });
        const std::size_t ahead = waitingBefore(priority, now) + waiting.size() - 1;
        if (now + predictWait(priority, ahead, room, now) > last->until) {
            const Ticket ticket = last->ticket;
            waiting.erase(last);
            return ticket;
        }
    }
    return std::nullopt;
}

void ClassAdmission::cancel(Ticket ticket)
{
    for (Class &state : states_) {
        std::erase_if(state.waiting, [ticket](const Waiting &waiting) { return waiting.ticket == ticket; });
    }
}

bool ClassAdmission::hasWaiting() const
{
    return std::any_of(states_.begin(), states_.end(), [](const Class &state) { return !state.waiting.empty(); });
}

void ClassAdmission::onLoadReport(const LoadReport &report, BootTime now)
{
    if (report.slots == 0) {
        return;
    }
    const double halves = std::chrono::duration<double>(now - reportedAt_) / std::chrono::duration<double>(options_.reportHalfLife);
    const double factor = std::exp2(-std::max(halves, 0.0));
    weightedUtilisation_ = weightedUtilisation_ * factor + static_cast<double>(report.running + report.waiting) / report.slots;
    reportWeight_ = reportWeight_ * factor + 1;
    reportedAt_ = now;
}

std::optional<double> ClassAdmission::utilisation(BootTime now) const
{
    const bool isKnown = reportWeight_ > 0 && now - reportedAt_ <= MaxReportAge;
    return isKnown ? std::optional(weightedUtilisation_ / reportWeight_) : std::nullopt;
}

Duration ClassAdmission::bookReturn(Priority priority, BootClock::duration timeLeft, BootTime now, Random &random)
{
    Class &state = states_.at(priority);
    // Half of the slots that become free are left to newcomers, who can still be in time.
    const double perSecond = std::max(freeRate(priority, now) / 2, 1.0);
    const BootTime earliest = now + options_.minReturn;
    const BootTime latest = std::max(now + timeLeft / 2, earliest);
    state.nextReturn = std::max(state.nextReturn + seconds(1 / perSecond), earliest);
    if (state.nextReturn <= latest) {
        return std::chrono::ceil<Duration>(state.nextReturn - now);
    }
    state.nextReturn = latest;
    const auto range = std::chrono::duration_cast<Duration>(latest - earliest).count();
    return options_.minReturn + Duration(std::uniform_int_distribution<Duration::rep>(range / 2, range)(random));
}

double ClassAdmission::boundOf(Priority priority, const Room &room, BootTime now) const
{
    const double reserve = options_.reservePerClass * static_cast<double>(rankOf(priority, now));
    return std::min(room.slots, room.limit.value_or(room.slots)) * std::max(1 - reserve, 0.0);
}

/** @return how many classes are more urgent. */
std::size_t ClassAdmission::rankOf(Priority priority, BootTime now) const
{
    if (isStarved(states_.at(priority), now)) {
        return 0;
    }
    std::size_t rank = 0;
    for (Priority other = 0; other < priority; ++other) {
        rank += classes_.test(other) ? 1 : 0;
    }
    return rank;
}

bool ClassAdmission::isStarved(const Class &state, BootTime now) const
{
    const double asked = state.asked.value(now, options_.halfLife);
    if (asked < options_.minAsked) {
        return false;
    }
    double totalAsked = 0;
    double totalAdmitted = 0;
    for (const Class &other : states_) {
        totalAsked += other.asked.value(now, options_.halfLife);
        totalAdmitted += other.admitted.value(now, options_.halfLife);
    }
    return state.admitted.value(now, options_.halfLife) / asked < options_.starvedFraction * totalAdmitted / totalAsked;
}

bool ClassAdmission::hasRoom(Priority priority, const Room &room, BootTime now) const
{
    const auto inProgress = static_cast<double>(room.inProgress);
    const bool isWithinLimit = !room.limit || inProgress < *room.limit;
    if (!room.hasOpening || !isWithinLimit) {
        return false;
    }
    const std::size_t rank = rankOf(priority, now);
    const double bound = boundOf(priority, room, now);
    if (rank == 0 || inProgress < bound) {
        return true;
    }
    const double fraction = 1 - options_.reservePerClass * static_cast<double>(rank);
    const auto used = utilisation(now);
    return used && *used < fraction * options_.idleUtilisation && inProgress < bound * options_.maxExcess;
}

/** @return slots per second that become free for a class. */
double ClassAdmission::freeRate(Priority priority, BootTime now) const
{
    const double ended = ended_.ratePerSecond(now, options_.halfLife);
    double urgent = 0;
    for (Priority other = 0; other < priority; ++other) {
        urgent += states_.at(other).admitted.ratePerSecond(now, options_.halfLife);
    }
    return std::max(ended - urgent, ended * MinFreeFraction);
}

BootClock::duration ClassAdmission::predictWait(Priority priority, std::size_t ahead, const Room &room, BootTime now) const
{
    const double rate = freeRate(priority, now);
    if (rate <= 0) {
        return BootClock::duration(0); // Nothing is known.
    }
    const double bound = rankOf(priority, now) == 0 ? room.limit.value_or(room.slots) : boundOf(priority, room, now);
    const double surplus = std::max(static_cast<double>(room.inProgress) + 1 - bound, 0.0);
    return seconds((static_cast<double>(ahead) + surplus) / rate);
}

/** @return the number of streams of more urgent classes that wait. */
std::size_t ClassAdmission::waitingBefore(Priority priority, BootTime now) const
{
    const std::size_t rank = rankOf(priority, now);
    std::size_t before = 0;
    for (Priority other = 0; other <= LowestPriority; ++other) {
        const std::vector<Waiting> &waiting = states_.at(other).waiting;
        before += other != priority && !waiting.empty() && rankOf(other, now) <= rank ? waiting.size() : 0;
    }
    return before;
}

double ClassAdmission::admittedOf(const Class &state, std::string_view organisation, BootTime now) const
{
    const auto found = state.admittedOf.find(organisation);
    return found == state.admittedOf.end() ? 0 : found->second.value(now, options_.halfLife);
}

bool ClassAdmission::goesBefore(const Class &state, const Waiting &first, const Waiting &second, BootTime now) const
{
    if (first.organisation != second.organisation) {
        const double admittedFirst = admittedOf(state, first.organisation, now);
        const double admittedSecond = admittedOf(state, second.organisation, now);
        if (admittedFirst != admittedSecond) {
            return admittedFirst < admittedSecond;
        }
    } else if (first.isReturn != second.isReturn) {
        return first.isReturn;
    }
    return first.ticket < second.ticket;
}

void ClassAdmission::countAdmitted(Class &state, std::string_view organisation, BootTime now)
{
    state.admitted.add(now, options_.halfLife);
    const auto found = state.admittedOf.find(organisation);
    if (found != state.admittedOf.end()) {
        found->second.add(now, options_.halfLife);
        return;
    }
    if (state.admittedOf.size() >= MaxOrganisations) {
        forgetIdle(state, now);
    }
    if (state.admittedOf.size() < MaxOrganisations) {
        state.admittedOf[std::string(organisation)].add(now, options_.halfLife);
    }
}

void ClassAdmission::forgetIdle(Class &state, BootTime now) const
{
    std::erase_if(state.admittedOf, [&](const auto &entry) { return entry.second.value(now, options_.halfLife) < IdleCount; });
}

} // namespace magnolia::routing
