#include "bookingservice.h"

#include <utility>

namespace magnolia::standins
{

namespace
{

std::string markerOf(const http::Exchange &exchange)
{
    std::string key = headerOf(exchange, "idempotency-key");
    if (!key.empty()) {
        return key;
    }
    return std::string(exchange.body().empty() ? exchange.target() : exchange.body());
}

} // namespace

BookingService::BookingService(event_base *loop, Options options) : options_(std::move(options)), scheduler_(loop)
{
    server_ = http::HttpServer::listen(loop, {.address = options_.address}, [this](const ExchangePtr &exchange) { receive(exchange); }).value();
}

void BookingService::receive(const ExchangePtr &exchange)
{
    const std::string_view path = exchange->path();
    if (path == "/health") {
        exchange->reply(faults_.health_down ? 503 : 200, {}, "");
    } else if (path == "/test/faults") {
        updateFaults(*exchange, faults_);
    } else if (path == "/test/counts") {
        replyJson(*exchange, 200, {{"runs", counts_.toJson()}});
    } else if (faults_.delay_ms == 0) {
        run(exchange);
    } else {
        scheduler_.after(Duration(faults_.delay_ms), [this, exchange] { run(exchange); });
    }
}

void BookingService::run(const ExchangePtr &exchange)
{
    const std::string marker = markerOf(*exchange);
    counts_.begun(marker);
    const int run = counts_.timesBegun(marker);
    // A booking goes on when its caller hangs up: it has been made.
    scheduler_.after(options_.runTime + Duration(faults_.answer_delay_ms), [this, exchange, marker, run] { finish(exchange, marker, run); });
}

void BookingService::finish(const ExchangePtr &exchange, const std::string &marker, int run)
{
    counts_.ended(marker);
    if (faults_.lose_replies > 0) {
        --faults_.lose_replies;
        exchange->abort();
        return;
    }
    const int status = faults_.fail_status == 0 ? 200 : faults_.fail_status;
    replyJson(*exchange, status, {{"marker", marker}, {"run", run}, {"method", exchange->method()}, {"target", exchange->target()}});
}

} // namespace magnolia::standins
