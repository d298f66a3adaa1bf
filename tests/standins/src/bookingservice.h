#ifndef MAGNOLIA_STANDINS_BOOKINGSERVICE_H
#define MAGNOLIA_STANDINS_BOOKINGSERVICE_H

#include "http/httpserver.h"
#include "replies.h"
#include "runcounts.h"
#include "scheduler.h"

#include <memory>
#include <string>

namespace magnolia::standins
{

struct BookingFaults {
    int delay_ms = 0; // NOLINT(readability-identifier-naming): the names of the JSON fields.
    int answer_delay_ms = 0; // NOLINT(readability-identifier-naming): from the run to its answer.
    int lose_replies = 0; // NOLINT(readability-identifier-naming): the next N calls run, and the connection is cut.
    int fail_status = 0; // NOLINT(readability-identifier-naming): calls run and are answered so; 0: none.
    bool health_down = false; // NOLINT(readability-identifier-naming)

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(BookingFaults, delay_ms, answer_delay_ms, lose_replies, fail_status, health_down)
};

/**
 * A plain service that must not run a call twice, and has no protection of its own: it counts every run.
 *
 * A call's marker is its Idempotency-Key, else its body, else its path. Any method and path is a call.
 */
class BookingService
{
public:
    struct Options {
        std::string address = "127.0.0.1:0";
        Duration runTime{0}; ///< From the start of a call to its answer.
    };

    BookingService(event_base *loop, Options options);

    std::string address() const
    {
        return server_->address();
    }
    const RunCounts &counts() const
    {
        return counts_;
    }
    BookingFaults &faults()
    {
        return faults_;
    }

private:
    using ExchangePtr = std::shared_ptr<http::Exchange>;

    void receive(const ExchangePtr &exchange);
    void run(const ExchangePtr &exchange);
    void finish(const ExchangePtr &exchange, const std::string &marker, int run);

    Options options_;
    BookingFaults faults_;
    RunCounts counts_;
    Scheduler scheduler_;
    std::unique_ptr<http::HttpServer> server_;
};

} // namespace magnolia::standins

#endif
