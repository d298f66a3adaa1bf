#include "bookingservice.h"
#include "modelengine.h"
#include "standinprogram.h"

#include <array>
#include <cstdint>

using namespace magnolia;
using namespace magnolia::standins;

namespace
{

std::uint32_t toCount(const std::string &value)
{
    return static_cast<std::uint32_t>(std::stoul(value));
}

Duration toDuration(const std::string &value)
{
    return Duration(std::stol(value));
}

} // namespace

int main(int argc, char **argv)
{
    ModelEngine::Options options;
    Duration serviceTime{0};
    bool isService = false;
    const std::array<ProgramOption, 18> known = {{
        {.name = "address", .help = "IP:PORT to listen on (127.0.0.1:0 picks a free port)", .apply = [&](const std::string &v) { options.address = v; }},
        {.name = "service",
         .help = "be a plain booking service instead of a model engine",
         .apply = [&](const std::string &) { isService = true; },
         .isSwitch = true},
        {.name = "service-time-ms", .help = "how long a booking runs (0)", .apply = [&](const std::string &v) { serviceTime = toDuration(v); }},
        {.name = "model",
         .help = "NAME@VERSION that is loaded from the start; may be repeated",
         .apply = [&](const std::string &v) { options.models.push_back(v); }},
        {.name = "tokens", .help = "pieces of an answer (8)", .apply = [&](const std::string &v) { options.pieces = toCount(v); }},
        {.name = "token-interval-ms", .help = "time between two pieces (1)", .apply = [&](const std::string &v) { options.pieceInterval = toDuration(v); }},
        {.name = "prefill-ms",
         .help = "time before the first piece if the prefix is not cached (0)",
         .apply = [&](const std::string &v) { options.prefillTime = toDuration(v); }},
        {.name = "load-ms", .help = "time to load a model or an expert map (0)", .apply = [&](const std::string &v) { options.loadTime = toDuration(v); }},
        {.name = "concurrency",
         .help = "requests that run at once; further ones wait (8)",
         .apply = [&](const std::string &v) { options.concurrency = toCount(v); }},
        {.name = "check-fencing",
         .help = "refuse orders with an old fencing number",
         .apply = [&](const std::string &) { options.checksFencing = true; },
         .isSwitch = true},
        {.name = "weight-store",
         .help = "IP:PORT of the stand-in platform whose load budget counts",
         .apply = [&](const std::string &v) { options.weightStore = v; }},
        {.name = "group", .help = "group of ranks that it belongs to", .apply = [&](const std::string &v) { options.expertRank.group = v; }},
        {.name = "rank", .help = "its rank in the group (0)", .apply = [&](const std::string &v) { options.expertRank.rank = toCount(v); }},
        {.name = "experts", .help = "experts of a layer (8)", .apply = [&](const std::string &v) { options.expertRank.experts = toCount(v); }},
        {.name = "step-ms", .help = "time of a step (5)", .apply = [&](const std::string &v) { options.stepInterval = toDuration(v); }},
        {.name = "cache-prefixes",
         .help = "prompt prefixes that fit into the cache (16)",
         .apply = [&](const std::string &v) { options.cache.capacity = toCount(v); }},
        {.name = "cache-lag-ms", .help = "delay of cache events (200)", .apply = [&](const std::string &v) { options.cache.eventLag = toDuration(v); }},
        {.name = "cache-gap-every",
         .help = "each so-many-th cache event is lost; 0: none (7)",
         .apply = [&](const std::string &v) { options.cache.gapEvery = toCount(v); }},
    }};
    parseOptions(argc, argv, known);
    const http::EventBasePtr loop(event_base_new());
    if (isService) {
        const BookingService service(loop.get(), {.address = options.address, .runTime = serviceTime});
        announce(service.address());
        return runUntilSignal(loop.get());
    }
    const ModelEngine engine(loop.get(), options);
    announce(engine.address());
    return runUntilSignal(loop.get());
}
