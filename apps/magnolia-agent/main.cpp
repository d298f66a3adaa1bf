// magnolia-agent: stands beside one endpoint and is the only path to it. A thin main over libs/agent.
#include "agent/agenttask.h"
#include "http/eventhandles.h"
#include "observe/log.h"
#include "settings/startup.h"
#include "store/httpinstancelist.h"
#include "store/httpobjectstore.h"
#include "store/httptable.h"

#include <csignal>
#include <string>

namespace
{

using namespace magnolia;

using settings::ExitFailed;
using settings::ExitOk;

constexpr const char *Usage = R"(Usage: magnolia-agent --settings FILE [--check-settings]

Stands beside one endpoint: brings it to what the manifest says and passes requests to it.

  --settings FILE    settings in TOML; see docs/CONFIGURATION.md
  --check-settings   check the settings and exit
  --help             print this and exit
  --version          print the version and exit

SIGTERM and SIGINT stop it as planned: it says so on its links, takes no new work, lets running work end.
Exit codes: 0 stopped as planned, 1 failed to start, 2 wrong arguments or settings.
)";

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
    settings::hideFromLogs(settings.links);
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
    store::HttpObjectStore objects(loop.get(), {.address = settings.platform.objects});
    store::HttpInstanceList instances(loop.get(), {.address = settings.platform.instances});
    observe::Metrics metrics;
    observe::Tracer tracer(settings::tracerOptions(settings, "magnolia-agent"), seededRandom());
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
    const settings::DaemonText text{.name = "magnolia-agent", .version = MAGNOLIA_VERSION, .usage = Usage};
    const auto settings = settings::settingsFor<settings::AgentSettings>(settings::parseCommandLine(argc, argv, text));
    if (!settings) {
        return settings.error();
    }
    // A peer that closes its connection while it is written to must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    observe::configureLogging(settings->log);
    hideSecrets(*settings);
    return run(*settings);
}
