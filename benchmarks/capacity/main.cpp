// capacity-crowd: the many peers of one real daemon, for scripts/capacity.sh.

#include "agentcrowd.h"
#include "callercrowd.h"
#include "entrycrowd.h"

#include <event2/event.h>
#include <getopt.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace magnolia;
using namespace magnolia::capacity;

namespace
{

constexpr int BadUsage = 2;

constexpr const char *Usage = "Usage: capacity-crowd ROLE [options]\n"
                              "  agents   --count N --platform IP:PORT --secret S [--chunks N]   N agents, registered in the platform stand-in\n"
                              "  entries  --count N --agent IP:PORT --secret S                   N entries with a link each to one agent\n"
                              "  callers  --target IP:PORT --bearer KEY --rate N --seconds N     N streamed requests a second\n"
                              "Runs until SIGTERM, callers until the last answer.\n";

struct Arguments {
    std::string role;
    std::uint32_t count = 1;
    std::uint32_t chunks = 8;
    std::uint32_t rate = 10;
    std::uint32_t seconds = 10;
    std::string platform;
    std::string agent;
    std::string target;
    std::string bearer;
    std::string secret;
};

std::uint32_t number(const char *text)
{
    return static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

bool parse(int argc, char **argv, Arguments &arguments)
{
    const std::array<option, 10> options = {{
        {"count", required_argument, nullptr, 'c'},
        {"chunks", required_argument, nullptr, 'k'},
        {"rate", required_argument, nullptr, 'r'},
        {"seconds", required_argument, nullptr, 's'},
        {"platform", required_argument, nullptr, 'p'},
        {"agent", required_argument, nullptr, 'a'},
        {"target", required_argument, nullptr, 't'},
        {"bearer", required_argument, nullptr, 'b'},
        {"secret", required_argument, nullptr, 'x'},
        {nullptr, 0, nullptr, 0},
    }};
    int option = 0;
    while ((option = getopt_long(argc, argv, "", options.data(), nullptr)) != -1) {
        switch (option) {
        case 'c':
            arguments.count = number(optarg);
            break;
        case 'k':
            arguments.chunks = number(optarg);
            break;
        case 'r':
            arguments.rate = number(optarg);
            break;
        case 's':
            arguments.seconds = number(optarg);
            break;
        case 'p':
            arguments.platform = optarg;
            break;
        case 'a':
            arguments.agent = optarg;
            break;
        case 't':
            arguments.target = optarg;
            break;
        case 'b':
            arguments.bearer = optarg;
            break;
        case 'x':
            arguments.secret = optarg;
            break;
        default:
            return false;
        }
    }
    if (optind + 1 != argc) {
        return false;
    }
    arguments.role = argv[optind];
    return arguments.count > 0 && arguments.rate > 0 && arguments.seconds > 0;
}

void stopLoop(evutil_socket_t /*signal*/, short /*events*/, void *loop)
{
    event_base_loopbreak(static_cast<event_base *>(loop));
}

int run(event_base *loop, const Arguments &arguments)
{
    const wire::LinkKey key = {.id = "bench", .secret = arguments.secret};
    if (arguments.role == "agents") {
        const AgentCrowd crowd(loop, {.count = arguments.count, .platform = arguments.platform, .key = key, .chunks = arguments.chunks});
        event_base_dispatch(loop);
        return EXIT_SUCCESS;
    }
    if (arguments.role == "entries") {
        const EntryCrowd crowd(loop, {.count = arguments.count, .agent = arguments.agent, .key = key});
        event_base_dispatch(loop);
        return EXIT_SUCCESS;
    }
    if (arguments.role == "callers") {
        const CallerCrowd crowd(loop,
                                {
                                    .target = arguments.target,
                                    .bearer = arguments.bearer,
                                    .perSecond = arguments.rate,
                                    .seconds = arguments.seconds,
                                    .onDone = [loop] { event_base_loopbreak(loop); },
                                });
        event_base_dispatch(loop);
        return EXIT_SUCCESS;
    }
    std::fputs(Usage, stderr);
    return BadUsage;
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    if (!parse(argc, argv, arguments)) {
        std::fputs(Usage, stderr);
        return BadUsage;
    }
    event_base *loop = event_base_new();
    event *terminate = evsignal_new(loop, SIGTERM, stopLoop, loop);
    event_add(terminate, nullptr);
    const int status = run(loop, arguments);
    event_free(terminate);
    event_base_free(loop);
    return status;
}
