#ifndef MAGNOLIA_POLICY_QUEUEDTICKET_H
#define MAGNOLIA_POLICY_QUEUEDTICKET_H

#include "policy/admissionqueue.h"

#include <boost/intrusive/list.hpp>

namespace magnolia::policy
{

struct OrganisationQueue;

enum class TicketState : std::uint8_t {
    Queued,
    Running,
    Preempting, ///< Offered for preemption; it still holds its slot.
};

/** A ticket within an AdmissionQueue, from admission until it has finished. Its address never changes. */
struct QueuedTicket : boost::intrusive::list_base_hook<> {
    Ticket ticket;
    TicketState state = TicketState::Queued;
    OrganisationQueue *queue = nullptr; ///< Its organisation's.
    double cost = 0; ///< Estimated seconds of a slot.
    MonoTime latestStart; ///< It must start by then to meet its deadline.
    MonoTime firstStart;
    MonoTime lastStarted;
    std::uint32_t preemptions = 0;
};

} // namespace magnolia::policy

#endif
