#ifndef MAGNOLIA_FORWARD_COLDMONITOR_H
#define MAGNOLIA_FORWARD_COLDMONITOR_H

#include "forwardmetrics.h"
#include "http/timer.h"
#include "routing/endpointtable.h"

#include <set>
#include <string>

namespace magnolia::forward
{

/**
 * Applies what is learnt of cold endpoints to the table, and logs and counts which are cold.
 *
 * One per entry, owned by its ForwardContext, which owns all that it refers to; on the loop's thread.
 *
 * @code
 * monitor.onListed(*endpoint);
 * monitor.onStated(*endpoint, Duration(800));
 * @endcode
 */
class ColdMonitor
{
public:
    struct Options {
        event_base *loop;
        routing::EndpointTable &endpoints;
        ForwardMetrics &metrics;
    };

    explicit ColdMonitor(const Options &options) : options_(options), timer_(options.loop, [this] { forgetWarm(); }) {}

    /** Its registration was received. */
    void onListed(const routing::Endpoint &endpoint);

    /** It states how much longer it is cold. */
    void onStated(const routing::Endpoint &endpoint, Duration timeLeft);

    /** It states a time that can't be read. @return true if that should be logged: the first time for each endpoint. */
    bool onUnreadable(const routing::Endpoint &endpoint);

    /** No connection to it could be established. */
    void onUnreachable(const routing::Endpoint &endpoint);

    /** The endpoints of a data centre take requests again, and may have started shortly before. */
    void onDataCentreReturned(std::string_view dataCentre);

private:
    void add(const routing::Endpoint &endpoint, routing::ColdSource source);
    void forgetWarm();

    Options options_;
    http::Timer timer_;
    routing::TextMap<routing::EndpointPointer> cold_; ///< By id.
    std::set<std::string> unreadable_; ///< Ids of endpoints for which onUnreadable() returned true.
};

} // namespace magnolia::forward

#endif
