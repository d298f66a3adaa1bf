#include "fairqueue.h"

#include <algorithm>

namespace magnolia::policy
{

namespace
{

/** Least cost of a ticket, so that a round always makes progress. */
constexpr double MinCost = 1e-6;

} // namespace

FairQueue::~FairQueue()
{
    // The hooks check that nothing is linked any more when they go.
    for (auto &[organisation, queue] : active_) {
        queue.tickets.clear();
    }
    round_.clear();
}

OrganisationQueue &FairQueue::activate(const Ticket &ticket)
{
    const auto [position, isNew] = active_.try_emplace(ticket.organisation);
    OrganisationQueue &queue = position->second;
    if (isNew) {
        queue.organisation = position->first;
        queue.weight = std::max(ticket.weight, 1U);
        activeWeights_ += queue.weight;
    }
    if (queue.tickets.empty()) {
        queuedWeights_ += queue.weight;
        queue.deficit = 0;
        queue.credited = false;
        round_.push_back(queue);
    }
    return queue;
}

void FairQueue::account(QueuedTicket &ticket, OrganisationQueue &queue)
{
    ticket.cost = std::max(ticket.cost, MinCost);
    ticket.queue = &queue;
    queue.backlog += ticket.cost;
    backlog_ += ticket.cost;
    ++size_;
}

void FairQueue::pushBack(QueuedTicket &ticket)
{
    OrganisationQueue &queue = activate(ticket.ticket);
    queue.tickets.push_back(ticket);
    account(ticket, queue);
}

void FairQueue::pushFront(QueuedTicket &ticket)
{
    OrganisationQueue &queue = activate(ticket.ticket);
    queue.tickets.push_front(ticket);
    account(ticket, queue);
}

void FairQueue::remove(QueuedTicket &ticket)
{
    OrganisationQueue &queue = *ticket.queue;
    queue.tickets.erase(queue.tickets.iterator_to(ticket));
    queue.backlog -= ticket.cost;
    backlog_ -= ticket.cost;
    --size_;
    if (queue.tickets.empty()) {
        queue.backlog = 0;
        queuedWeights_ -= queue.weight;
        round_.erase(round_.iterator_to(queue));
    }
    if (size_ == 0) {
        // Sums of many differences drift; an empty queue is the place to begin afresh.
        backlog_ = 0;
        queuedWeights_ = 0;
    }
    forgetIfIdle(queue);
}

void FairQueue::forgetIfIdle(OrganisationQueue &queue)
{
    if (!queue.tickets.empty() || queue.running > 0) {
        return;
    }
    activeWeights_ -= queue.weight;
    active_.erase(active_.find(std::string(queue.organisation)));
    if (active_.empty()) {
        activeWeights_ = 0;
    }
}

QueuedTicket *FairQueue::pop(const StartRule &rule)
{
    if (!canPop(rule)) {
        return nullptr;
    }
    while (true) {
        OrganisationQueue &queue = round_.front();
        const bool mayStart = rule.allows(queue);
        if (mayStart && !queue.credited) {
            queue.deficit += quantum(queue);
            queue.credited = true;
        }
        QueuedTicket &head = queue.tickets.front();
        if (mayStart && queue.deficit >= head.cost) {
            queue.deficit -= head.cost;
            ++queue.running;
            remove(head);
            return &head;
        }
        queue.credited = false;
        round_.splice(round_.end(), round_, round_.begin());
    }
}

bool FairQueue::canPop(const StartRule &rule) const
{
    return std::ranges::any_of(round_, [&rule](const OrganisationQueue &queue) { return rule.allows(queue); });
}

void FairQueue::stopped(QueuedTicket &ticket)
{
    OrganisationQueue &queue = *ticket.queue;
    --queue.running;
    forgetIfIdle(queue);
}

QueuedTicket *FairQueue::largestBacklogTail(std::string_view newcomer, double weight, double cost)
{
    OrganisationQueue *largest = nullptr;
    double largestShare = 0;
    double newcomerShare = cost / weight;
    for (OrganisationQueue &queue : round_) {
        const double share = queue.backlog / queue.weight;
        if (queue.organisation == newcomer) {
            newcomerShare += share;
        } else if (share > largestShare) {
            largest = &queue;
            largestShare = share;
        }
    }
    if (largest == nullptr || largestShare <= newcomerShare) {
        return nullptr;
    }
    QueuedTicket &tail = largest->tickets.back();
    return tail.ticket.started ? nullptr : &tail;
}

double FairQueue::workAhead(std::string_view organisation, double weight) const
{
    const auto position = active_.find(std::string(organisation));
    const bool isQueued = position != active_.end() && !position->second.tickets.empty();
    const double own = isQueued ? position->second.backlog : 0;
    const double ownWeight = isQueued ? position->second.weight : weight;
    const double otherWeights = isQueued ? queuedWeights_ - ownWeight : queuedWeights_;
    // Its own work, what its share leaves to others meanwhile, and one turn of each of them. This may be more than is queued
    // now: under load others' work keeps coming and takes its turns.
    const double whileOwnRuns = own * (ownWeight + otherWeights) / ownWeight;
    return whileOwnRuns + otherWeights * unit();
}

std::size_t FairQueue::size() const
{
    return size_;
}

double FairQueue::backlog() const
{
    return backlog_;
}

double FairQueue::activeWeights() const
{
    return activeWeights_;
}

double FairQueue::unit() const
{
    if (size_ == 0) {
        return 0;
    }
    const double meanCost = backlog_ / static_cast<double>(size_);
    const double meanWeight = queuedWeights_ / static_cast<double>(round_.size());
    return meanCost / meanWeight;
}

double FairQueue::quantum(const OrganisationQueue &queue) const
{
    return std::max(queue.weight * unit(), MinCost);
}

} // namespace magnolia::policy
