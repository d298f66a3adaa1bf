#include "standinprogram.h"

#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <vector>

namespace magnolia::standins
{

namespace
{

constexpr int ExitUsage = 2;
constexpr int FirstOptionValue = 256;

void printHelp(const char *program, std::span<const ProgramOption> options)
{
    std::printf("Usage: %s [OPTION]...\nA small stand-in for tests.\n\n", program);
    for (const ProgramOption &option : options) {
        std::printf("  --%-28s %s\n", (option.name + (option.isSwitch ? "" : " VALUE")).c_str(), option.help.c_str());
    }
}

void stop(evutil_socket_t /*signal*/, short /*what*/, void *loop)
{
    event_base_loopbreak(static_cast<event_base *>(loop));
}

} // namespace

void parseOptions(int argc, char **argv, std::span<const ProgramOption> options)
{
    std::vector<option> known;
    int value = FirstOptionValue;
    for (const ProgramOption &entry : options) {
        known.push_back({entry.name.c_str(), entry.isSwitch ? no_argument : required_argument, nullptr, value++});
    }
    known.push_back({"help", no_argument, nullptr, 'h'});
    known.push_back({});
    for (int found = getopt_long(argc, argv, "h", known.data(), nullptr); found != -1; found = getopt_long(argc, argv, "h", known.data(), nullptr)) {
        if (found == 'h') {
            printHelp(argv[0], options);
            std::exit(EXIT_SUCCESS);
        }
        if (found < FirstOptionValue) {
            std::exit(ExitUsage);
        }
        const ProgramOption &chosen = options[static_cast<std::size_t>(found - FirstOptionValue)];
        try {
            chosen.apply(chosen.isSwitch ? std::string() : std::string(optarg));
        } catch (const std::exception &) {
            std::fprintf(stderr, "%s: bad value for --%s: %s\n", argv[0], chosen.name.c_str(), optarg);
            std::exit(ExitUsage);
        }
    }
    if (optind < argc) {
        std::fprintf(stderr, "%s: not an option: %s\n", argv[0], argv[optind]);
        std::exit(ExitUsage);
    }
}

void announce(std::string_view address, std::string_view purpose)
{
    const std::string prefix = purpose.empty() ? "" : std::string(purpose) + " ";
    std::printf("%slistening %s\n", prefix.c_str(), std::string(address).c_str());
    std::fflush(stdout);
}

int runUntilSignal(event_base *loop)
{
    std::signal(SIGPIPE, SIG_IGN);
    const http::EventPtr onTerm(evsignal_new(loop, SIGTERM, &stop, loop));
    const http::EventPtr onInterrupt(evsignal_new(loop, SIGINT, &stop, loop));
    event_add(onTerm.get(), nullptr);
    event_add(onInterrupt.get(), nullptr);
    event_base_dispatch(loop);
    return EXIT_SUCCESS;
}

} // namespace magnolia::standins
