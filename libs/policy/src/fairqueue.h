#ifndef MAGNOLIA_POLICY_FAIRQUEUE_H
#define MAGNOLIA_POLICY_FAIRQUEUE_H

#include "queuedticket.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnolia::policy
{

/** The queued work of one organisation in one class. */
struct OrganisationQueue : boost::intrusive::list_base_hook<> {
    boost::intrusive::list<QueuedTicket> tickets;
    std::string_view organisation; ///< Views the key in the map that holds this.
    double weight = 1;
    double deficit = 0;
    double backlog = 0; ///< Sum of its tickets' cost.
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
    void remove(QueuedTicket &ticket);

    /** @return the next ticket in turn, now removed; null if there is none. */
    QueuedTicket *pop();

    /**
     * @return the latest ticket of the organisation with the most backlog for its weight, were a ticket of this cost added
     * for the newcomer; null if that is the newcomer itself, or the ticket has started once.
     */
    QueuedTicket *largestBacklogTail(std::string_view newcomer, double weight, double cost);

    /** @return seconds of slot time that go before a new ticket of this organisation. */
    double workAhead(std::string_view organisation, double weight) const;

    std::size_t size() const;
    double backlog() const; ///< Sum of all tickets' cost.

private:
    OrganisationQueue &activate(const Ticket &ticket);
    void account(QueuedTicket &ticket, OrganisationQueue &queue);
    double quantum(const OrganisationQueue &queue) const;
    double unit() const;

    boost::intrusive::list<OrganisationQueue> round_;
    std::unordered_map<std::string, OrganisationQueue> active_;
    std::size_t size_ = 0;
    double backlog_ = 0;
    double weights_ = 0; ///< Sum over the active organisations.
};

} // namespace magnolia::policy

#endif
