#ifndef MAGNOLIA_FORWARD_RETURNCHECK_H
#define MAGNOLIA_FORWARD_RETURNCHECK_H

#include "forward/forwardtask.h"
#include "http/timer.h"
#include "routing/endpointtable.h"

#include <functional>
#include <memory>

struct event_base;

namespace magnolia::forward
{

/**
 * Finds out whether an endpoint that is listed again after it was gone runs, by its health.
 *
 * Asks at once, and once more if the endpoint is not healthy then: after a disconnection its entry may arrive before it accepts connections again. Owned by
 * the EndpointList, used on its loop.
 *
 * @code
 * ReturnCheck check({.loop = loop, .task = task, .endpoint = record, .interval = Duration(1200)}, [this] { useAgain(); });
 * @endcode
 */
class ReturnCheck
{
public:
    struct Options {
        event_base *loop = nullptr;
        ForwardTask &task; ///< Outlives this.
        routing::EndpointRecord endpoint{};
        Duration interval{1200}; ///< Between the two questions.
    };

    /** @param onHealthy called at most once, never from within this call; may destroy this. */
    ReturnCheck(Options options, std::function<void()> onHealthy);
    ReturnCheck(const ReturnCheck &) = delete;
    ReturnCheck &operator=(const ReturnCheck &) = delete;

    const routing::EndpointRecord &endpoint() const
    {
        return options_.endpoint;
    }

private:
    void ask();
    void onAnswer(bool isHealthy);

    Options options_;
    std::function<void()> onHealthy_;
    int asked_ = 0;
    http::Timer timer_;
    std::shared_ptr<ReturnCheck *> self_; ///< Expires with this, unlike the task's answers.
};

} // namespace magnolia::forward

#endif
