#include "relay.h"
#include "standinprogram.h"

#include <array>
#include <cstdio>

using namespace magnolia;
using namespace magnolia::standins;

int main(int argc, char **argv)
{
    Relay::Options options;
    const std::array<ProgramOption, 3> known = {{
        {.name = "address",
         .help = "IP:PORT to listen on (127.0.0.1:0 picks a free port)",
         .apply = [&options](const std::string &value) { options.address = value; }},
        {.name = "target", .help = "IP:PORT to relay to", .apply = [&options](const std::string &value) { options.target = value; }},
        {.name = "control",
         .help = "IP:PORT for control orders (127.0.0.1:0 picks a free port)",
         .apply = [&options](const std::string &value) { options.control = value; }},
    }};
    parseOptions(argc, argv, known);
    if (options.target.empty()) {
        std::fprintf(stderr, "%s: --target is required\n", argv[0]);
        return 2;
    }
    const http::EventBasePtr loop(event_base_new());
    const Relay relay(loop.get(), options);
    announce(relay.address());
    announce(relay.controlAddress(), "control");
    return runUntilSignal(loop.get());
}
