// Prints what it costs to write one line about a request, to count, and to record a latency: what an entry pays for being
// explainable afterwards.
#include "observe/log.h"
#include "observe/metrics.h"
#include "observe/pipesink.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace
{

using namespace magnolia;

constexpr int Rounds = 20'000;

template<typename F>
double microsecondsEach(F work)
{
    using Clock = std::chrono::steady_clock;
    const auto start = Clock::now();
    for (int round = 0; round < Rounds; ++round) {
        work();
    }
    const std::chrono::duration<double, std::micro> spent = Clock::now() - start;
    return spent.count() / Rounds;
}

void writeLine()
{
    observe::logger("request")->info("Ended id={} outcome={} status={} cause={} route={} service={} organisation={} endpoint={} sendings={} took_ms={} "
                                     "first_ms={} events={} routes_version={} proof_age_ms={}",
                                     "9c41d07be2a35f68",
                                     "answered",
                                     200,
                                     "",
                                     "r-dt3kihy",
                                     "noka50b",
                                     "cuye362",
                                     "i-09878db127",
                                     1,
                                     1530,
                                     160,
                                     26,
                                     29,
                                     371);
}

} // namespace

int main()
{
    const int nowhere = open("/dev/null", O_WRONLY | O_CLOEXEC);
    if (nowhere < 0) {
        std::abort();
    }
    observe::configureLogging({.level = spdlog::level::info, .format = observe::LogFormat::Json, .sink = std::make_shared<observe::PipeSink>(nowhere)});
    observe::Metrics metrics;
    observe::Counter &counter = metrics.counter("requests_total", "Requests.");
    observe::Timing &timing = metrics.timing("whole_seconds", "Time to the end of an answer.");
    std::printf("RESULT log_line_of_a_request %.2f us\n", microsecondsEach([] { writeLine(); }));
    std::printf("RESULT counter_add %.3f us\n", microsecondsEach([&counter] { counter.add(); }));
    std::printf("RESULT timing_record %.3f us\n", microsecondsEach([&timing] { timing.record(Duration(120)); }));
    close(nowhere);
}
