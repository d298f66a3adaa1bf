#include "platformservice.h"
#include "standinprogram.h"

#include <array>

using namespace magnolia;
using namespace magnolia::standins;

int main(int argc, char **argv)
{
    PlatformService::Options options;
    const std::array<ProgramOption, 4> known = {{
        {.name = "address",
         .help = "IP:PORT to listen on (127.0.0.1:0 picks a free port)",
         .apply = [&options](const std::string &value) { options.address = value; }},
        {.name = "list-lag-ms",
         .help = "how long a change of the list of instances stays hidden (0)",
         .apply = [&options](const std::string &value) { options.listLag = Duration(std::stol(value)); }},
        {.name = "loads-per-second",
         .help = "budget of the weight store; 0: no limit (0)",
         .apply = [&options](const std::string &value) { options.loadsPerSecond = std::stod(value); }},
        {.name = "load-burst",
         .help = "loads that the weight store allows at once (1)",
         .apply = [&options](const std::string &value) { options.loadBurst = std::stod(value); }},
    }};
    parseOptions(argc, argv, known);
    const http::EventBasePtr loop(event_base_new());
    const PlatformService platform(loop.get(), options);
    announce(platform.address());
    return runUntilSignal(loop.get());
}
