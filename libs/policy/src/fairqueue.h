#ifndef MAGNOLIA_POLICY_FAIRQUEUE_H
#define MAGNOLIA_POLICY_FAIRQUEUE_H

#include "queuedticket.h"

#include <boost/intrusive/list.hpp>

#include <cmath>
#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnolia::policy
{

/** One organisation's work in one class; it lives while it has work queued or running. */
struct OrganisationQueue : boost::intrusive::list_base_hook<> {
    boost::intrusive::list<QueuedTicket> tickets;
    std::string_view organisation; ///< Views the key in the map that holds this.
    double weight = 1;
    double deficit = 0;
    double backlog = 0; ///< Sum of its tickets' cost.
    std::size_t running = 0; ///< Tickets that hold a slot.
    bool credited = false; ///< It has had its quantum of this round.
};

/**
 * Queued work of one class: deficit round robin over the organisations that have some, by weight.
 *
 * The quantum is scaled so that a round is worth one mean ticket per organisation: with equal weights organisations take
 * turns one ticket at a time, and finding the next ticket takes one visit per ticket in the mean, whatever the weights.
 * Borrows the tickets; does not own them.
 */
class FairQueue
{
public:
    FairQueue() = default;
    ~FairQueue();
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;

    void pushBack(QueuedTicket &ticket);
    void pushFront(QueuedTicket &ticket); ///< Before all others of its organisation.
    void remove(QueuedTicket &ticket); ///< A queued one.

    /** Says which organisations may start a ticket now. */
    struct StartRule {
        /** An organisation that runs as many as this over the sum of all active weights, times its own, is passed over. */
        double slots = std::numeric_limits<double>::infinity();
        double activeWeights = 1;

        bool allows(const OrganisationQueue &queue) const
        {
            return static_cast<double>(queue.running) < std::ceil(slots * queue.weight / activeWeights);
        }
    };

    /** @return the next ticket in turn, now running; null if there is none that may start. */
    QueuedTicket *pop(const StartRule &rule);
    bool canPop(const StartRule &rule) const;

    /** A ticket that pop() gave has left its slot. */
    void stopped(QueuedTicket &ticket);

    /**
     * @return the latest ticket of the organisation with the most backlog for its weight, were a ticket of this cost added
     * for the newcomer; null if that is the newcomer itself, or the ticket has started once.
     */
    QueuedTicket *largestBacklogTail(std::string_view newcomer, double weight, double cost);

    /** @return seconds of slot time that go before a new ticket of this organisation. */
    double workAhead(std::string_view organisation, double weight) const;

    std::size_t size() const;
    double backlog() const; ///< Sum of all tickets' cost.
    double activeWeights() const; ///< Sum over the organisations with work queued or running.

private:
    OrganisationQueue &activate(const Ticket &ticket);
    void account(QueuedTicket &ticket, OrganisationQueue &queue);
    void forgetIfIdle(OrganisationQueue &queue);
    double quantum(const OrganisationQueue &queue) const;
    double unit() const;

    boost::intrusive::list<OrganisationQueue> round_;
    std::unordered_map<std::string, OrganisationQueue> active_;
    std::size_t size_ = 0;
    double backlog_ = 0;
    double queuedWeights_ = 0; ///< Sum over the organisations with queued work.
    double activeWeights_ = 0;
};

} // namespace magnolia::policy

#endif
