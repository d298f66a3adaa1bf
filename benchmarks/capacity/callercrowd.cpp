#include "callercrowd.h"

#include "base/clock.h"
#include "http/httpclient.h"
#include "ticker.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <vector>

namespace magnolia::capacity
{

namespace
{

constexpr int Ok = 200;
constexpr double Median = 0.5;
constexpr double Tail = 0.95;

/** @param sorted in ascending order, not empty. */
double quantile(const std::vector<double> &sorted, double share)
{
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

} // namespace

class CallerCrowd::Impl
{
public:
    Impl(event_base *loop, const Options &options)
        : options_(options), client_(loop, {.address = options.target}), planned_(static_cast<std::uint64_t>(options.perSecond) * options.seconds)
    {
        ticker_.emplace(loop, std::chrono::microseconds(1'000'000 / options.perSecond), [this] { sendOne(); });
    }

private:
    void sendOne()
    {
        if (sent_ == planned_) {
            return;
        }
        ++sent_;
        const MonoTime start = MonoClock::now();
        http::HttpClient::Request request = {
            .method = "POST",
            .path = "/v1/chat/completions",
            .headers = {{"authorization", "Bearer " + options_.bearer}, {"content-type", "application/json"}},
            .body = R"({"model":"assistant","stream":true,"messages":[{"role":"user","content":"capacity"}]})",
            .timeout = std::chrono::seconds(20),
        };
        const auto firstByte = std::make_shared<std::optional<MonoTime>>();
        client_.stream(std::move(request),
                       {
                           .onHeaders =
                               [this](int status, const http::Headers & /*headers*/) {
                                   if (status != Ok) {
                                       ++refused_;
                                   }
                               },
                           .onData =
                               [firstByte](std::string_view /*data*/) {
                                   if (!*firstByte) {
                                       *firstByte = MonoClock::now();
                                   }
                               },
                           .onEnd = [this, start, firstByte](const Result<void> &result) { end(start, *firstByte, result.has_value()); },
                       });
    }

    void end(MonoTime start, std::optional<MonoTime> firstByte, bool whole)
    {
        ++ended_;
        if (whole && firstByte) {
            firstByteMs_.push_back(std::chrono::duration<double, std::milli>(*firstByte - start).count());
            totalMs_.push_back(std::chrono::duration<double, std::milli>(MonoClock::now() - start).count());
        }
        if (ended_ == planned_) {
            print();
            options_.onDone();
        }
    }

    void print()
    {
        std::printf("sent %llu whole %zu refused %llu\n", static_cast<unsigned long long>(sent_), totalMs_.size(), static_cast<unsigned long long>(refused_));
        if (totalMs_.empty()) {
            return;
        }
        std::sort(firstByteMs_.begin(), firstByteMs_.end());
        std::sort(totalMs_.begin(), totalMs_.end());
        std::printf("first_byte_ms p50 %.3f p95 %.3f\n", quantile(firstByteMs_, Median), quantile(firstByteMs_, Tail));
        std::printf("total_ms p50 %.3f p95 %.3f\n", quantile(totalMs_, Median), quantile(totalMs_, Tail));
        std::fflush(stdout);
    }

    Options options_;
    http::HttpClient client_;
    std::optional<Ticker> ticker_;
    std::uint64_t planned_;
    std::uint64_t sent_ = 0;
    std::uint64_t ended_ = 0;
    std::uint64_t refused_ = 0;
    std::vector<double> firstByteMs_;
    std::vector<double> totalMs_;
};

CallerCrowd::CallerCrowd(event_base *loop, const Options &options) : impl_(std::make_unique<Impl>(loop, options)) {}

CallerCrowd::~CallerCrowd() = default;

} // namespace magnolia::capacity
