#ifndef MAGNOLIA_FORWARD_SILENCEWATCH_H
#define MAGNOLIA_FORWARD_SILENCEWATCH_H

#include "forwardmetrics.h"
#include "http/httpclient.h"
#include "http/timer.h"
#include "routing/endpointtable.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnolia::forward
{

/**
 * Finds endpoints out of reach while requests wait there, so that all of them can move before their callers leave.
 *
 * An endpoint from which nothing comes for any of its requests is suspected, sooner if others of its service go on. It is then asked for a sign
 * of life on a connection of its own; what does not answer in time is marked silent, gets nothing new, and is asked again until it answers. Owned by the
 * task, on its loop.
 *
 * @code
 * watch.began(endpoint, this, [this] { moveElsewhere(); });
 * watch.ended(endpoint->record.id, this);
 * @endcode
 */
class SilenceWatch
{
public:
    /** @param path that endpoints answer whatever they run; any answer counts; empty: nothing is checked. Table and metrics outlive this. */
    SilenceWatch(event_base *loop, const routing::EndpointTable &endpoints, ForwardMetrics &metrics, std::string path);
    SilenceWatch(const SilenceWatch &) = delete;
    SilenceWatch &operator=(const SilenceWatch &) = delete;

    bool isEnabled() const
    {
        return !path_.empty();
    }

    /** @param silent called each time the endpoint was found silent, never from within, until ended() with the same owner. */
    void began(const routing::EndpointPointer &endpoint, const void *owner, std::function<void()> silent);
    void ended(std::string_view endpoint, const void *owner);

private:
    struct Watched {
        routing::EndpointPointer endpoint;
        std::unordered_map<const void *, std::function<void()>> owners; ///< Of the requests in progress there.
        std::unique_ptr<http::HttpClient> client; ///< Null until the first check.
        BootTime checkedAt;
    };

    void tick();
    void noteDelay(BootTime now);
    bool unmark(const Watched &watched);
    bool isIdle(const Watched &watched) const;
    bool isDue(const Watched &watched, BootTime now) const;
    void check(Watched &watched, BootTime now);
    void checked(const std::string &id, const Result<http::Response> &answer);
    void foundSilent(Watched &watched, BootTime now);
    void foundAnswering(Watched &watched, BootTime now);

    event_base *loop_;
    const routing::EndpointTable &endpoints_;
    ForwardMetrics &metrics_;
    std::string path_;
    routing::TextMap<Watched> watched_; ///< By the endpoint's id.
    BootTime tickedAt_;
    BootTime delayedAt_; ///< When this process last found itself late.
    http::Timer timer_;
};

} // namespace magnolia::forward

#endif
