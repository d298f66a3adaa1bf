// magnolia-agent: stands beside one endpoint and is the only path to it. A thin main over libs/agent.
#include "agent/agenttask.h"
#include "http/eventhandles.h"
#include "observe/log.h"
#include "settings/settings.h"
#include "store/httpinstances.h"
#include "store/httpobjects.h"
#include "store/httptable.h"

#include <getopt.h>

#include <csignal>
#include <iostream>
#include <optional>
#include <string>

namespace
{

using namespace magnolia;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;

constexpr const char *Usage = R"(Usage: magnolia-agent --settings FILE [--check-settings]

Stands beside one endpoint: brings it to what the manifest says and passes requests to it.

  --settings FILE    settings in TOML; see docs/CONFIGURATION.md
  --check-settings   check the settings and exit
  --help             print this and exit
  --version          print the version and exit

SIGTERM and SIGINT stop it as planned: it says so on its links, takes no new work, lets running work end.
Exit codes: 0 stopped as planned, 1 failed to start, 2 wrong arguments or settings.
)";

struct Arguments {
    std::string settingsFile;
    bool checkOnly = false;
    std::optional<int> exitCode; ///< Set if there is nothing more to do.
};

Arguments parseArguments(int argc, char **argv)
{
    const option options[] = {{"settings", required_argument, nullptr, 's'},
                              {"check-settings", no_argument, nullptr, 'c'},
                              {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'v'},
                              {nullptr, 0, nullptr, 0}};
    Arguments arguments;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        switch (found) {
        case 's':
            arguments.settingsFile = optarg;
            break;
        case 'c':
            arguments.checkOnly = true;
            break;
        case 'h':
            std::cout << Usage;
            return {.settingsFile = {}, .checkOnly = false, .exitCode = ExitOk};
        case 'v':
            std::cout << "magnolia-agent " << MAGNOLIA_VERSION << '\n';
            return {.settingsFile = {}, .checkOnly = false, .exitCode = ExitOk};
        default:
            return {.settingsFile = {}, .checkOnly = false, .exitCode = ExitBadInput};
        }
    }
    if (optind < argc || arguments.settingsFile.empty()) {
        std::cerr << "magnolia-agent: give --settings FILE and nothing else; see --help\n";
        arguments.exitCode = ExitBadInput;
    }
    return arguments;
}

agent::AgentOptions agentOptions(const settings::AgentSettings &settings)
{
    agent::AgentOptions options;
    options.instance = settings.instance.name;
    options.dataCentre = settings.instance.dataCentre;
    options.endpoint = settings.endpoint.name;
    options.linkAddress = settings.links.address;
    // The task sets the incarnation itself.
    options.links = settings::linkOptions(settings, 0);
    options.engine.address = settings.endpoint.address;
    options.engine.silenceTimeout = settings.endpoint.silenceTimeout;
    options.operators.address = settings.operators.address;
    options.operatorsKey = settings.operators.key;
    options.pollInterval = settings.platform.pollInterval;
    options.stopLag = settings.stop.lag;
    options.stopWarnAfter = settings.stop.warnAfter;
    return options;
}

void hideSecrets(const settings::AgentSettings &settings)
{
    observe::hideFromLogs(settings.operators.key);
    for (const settings::LinkKeySettings &key : settings.links.keys) {
        observe::hideFromLogs(key.secret);
    }
}

http::EventPtr drainOn(int signal, event_base *loop, agent::AgentTask &task)
{
    const auto onSignal = [](evutil_socket_t, short, void *drained) { static_cast<agent::AgentTask *>(drained)->drain(); };
    http::EventPtr handler(evsignal_new(loop, signal, onSignal, &task));
    event_add(handler.get(), nullptr);
    return handler;
}

int run(const settings::AgentSettings &settings)
{
    const http::EventBasePtr loop(event_base_new());
    store::HttpTable table(loop.get(), {.address = settings.platform.table});
    store::HttpObjects objects(loop.get(), {.address = settings.platform.objects});
    store::HttpInstances instances(loop.get(), {.address = settings.platform.instances});
    observe::Metrics metrics;
    observe::Tracer tracer({.file = settings.traces.file,
                            .service = "magnolia-agent",
                            .instance = settings.instance.name,
                            .dataCentre = settings.instance.dataCentre,
                            .samplingRatio = settings.traces.samplingRatio},
                           seededRandom());
    const auto task = agent::AgentTask::start(
        loop.get(), agentOptions(settings), agent::portsOf(table, objects, instances), metrics, tracer, [&loop] { event_base_loopbreak(loop.get()); });
    if (!task) {
        observe::logger("agent")->error("can't start: {}", task.error().detail);
        return ExitFailed;
    }
    const http::EventPtr onTerminate = drainOn(SIGTERM, loop.get(), **task);
    const http::EventPtr onInterrupt = drainOn(SIGINT, loop.get(), **task);
    event_base_dispatch(loop.get());
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = parseArguments(argc, argv);
    if (arguments.exitCode) {
        return *arguments.exitCode;
    }
    const auto settings = settings::load<settings::AgentSettings>(arguments.settingsFile);
    if (!settings) {
        for (const settings::Problem &problem : settings.error()) {
            std::cerr << toString(problem) << '\n';
        }
        return ExitBadInput;
    }
    if (arguments.checkOnly) {
        std::cout << arguments.settingsFile << ": the settings are good\n";
        return ExitOk;
    }
    // A peer that closes its connection while it is written to must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    observe::configureLogging(settings->log);
    hideSecrets(*settings);
    return run(*settings);
}
