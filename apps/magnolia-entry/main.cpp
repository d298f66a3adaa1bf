// magnolia-entry: takes callers' requests and dispatches them to the agents. A thin main over libs/entry.
#include "entry/entrytask.h"
#include "observe/log.h"
#include "settings/startup.h"
#include "store/httpinstancelist.h"
#include "store/httpobjectstore.h"
#include "store/httptable.h"

#include <event2/event.h>

#include <csignal>
#include <memory>
#include <string>

namespace
{

using namespace magnolia;

using settings::ExitFailed;
using settings::ExitOk;

constexpr const char *Usage = R"(Usage: magnolia-entry --settings FILE [--check-settings]

Takes callers' requests and dispatches them to the agents of endpoints.

  --settings FILE    settings in TOML; see docs/CONFIGURATION.md
  --check-settings   check the settings and exit
  --help             print this and exit
  --version          print the version and exit

SIGTERM and SIGINT stop it as planned: it is not ready at once, takes new work for stop.lag_ms, lets work in progress end.
Exit codes: 0 stopped as planned, 1 failed to start, 2 wrong arguments or settings.
)";

entry::EntryOptions entryOptions(const settings::EntrySettings &settings)
{
    entry::EntryOptions options;
    options.instance = settings.instance.name;
    options.dataCentre = settings.instance.dataCentre;
    options.callers.address = settings.callers.address;
    options.callers.maxBodyBytes = settings.callers.maxBodyBytes;
    options.callers.maxHeaderBytes = settings.callers.maxHeaderBytes;
    options.callers.maxConnections = settings.callers.maxConnections;
    options.defaultTimeout = settings.callers.defaultTimeout;
    options.operators.address = settings.operators.address;
    options.operatorsKey = settings.operators.key;
    options.links = settings::linkOptions(settings);
    options.pollInterval = settings.platform.pollInterval;
    options.stopLag = settings.stop.lag;
    options.stopWarnAfter = settings.stop.warnAfter;
    return options;
}

void hideSecrets(const settings::EntrySettings &settings)
{
    observe::hideFromLogs(settings.operators.key);
    settings::hideFromLogs(settings.links);
}

struct FreeLoop {
    void operator()(event_base *loop) const
    {
        event_base_free(loop);
    }
};

struct FreeEvent {
    void operator()(event *handle) const
    {
        event_free(handle);
    }
};

using SignalPointer = std::unique_ptr<event, FreeEvent>;

SignalPointer drainOn(int signal, event_base *loop, entry::EntryTask &task)
{
    const auto onSignal = [](evutil_socket_t /*signal*/, short /*what*/, void *drained) { static_cast<entry::EntryTask *>(drained)->drain(); };
    SignalPointer handler(evsignal_new(loop, signal, onSignal, &task));
    event_add(handler.get(), nullptr);
    return handler;
}

int run(const settings::EntrySettings &settings)
{
    const std::unique_ptr<event_base, FreeLoop> loop(event_base_new());
    store::HttpTable table(loop.get(), {.address = settings.platform.table});
    store::HttpObjectStore objects(loop.get(), {.address = settings.platform.objects});
    store::HttpInstanceList instances(loop.get(), {.address = settings.platform.instances});
    observe::Metrics metrics;
    observe::Tracer tracer(settings::tracerOptions(settings, "magnolia-entry"), seededRandom());
    auto task = entry::EntryTask::start(
        loop.get(), entryOptions(settings), entry::portsOf(table, objects, instances), metrics, tracer, [&loop] { event_base_loopbreak(loop.get()); });
    if (!task) {
        observe::logger("entry")->error("Can't start: {}", task.error().detail);
        return ExitFailed;
    }
    const SignalPointer onTerminate = drainOn(SIGTERM, loop.get(), **task);
    const SignalPointer onInterrupt = drainOn(SIGINT, loop.get(), **task);
    event_base_dispatch(loop.get());
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    const settings::DaemonText text{.name = "magnolia-entry", .version = MAGNOLIA_VERSION, .usage = Usage};
    const auto settings = settings::settingsFor<settings::EntrySettings>(settings::parseCommandLine(argc, argv, text));
    if (!settings) {
        return settings.error();
    }
    // A caller that closes its connection while it is written to must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    observe::configureLogging(settings->log);
    hideSecrets(*settings);
    return run(*settings);
}
