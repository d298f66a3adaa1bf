// magnoliactl: the operators' command line. The logic is in libs/ctl.
#include "ctl/commandline.h"
#include "ctl/commands.h"
#include "ctl/deploymentcommands.h"
#include "ctl/platformcommands.h"
#include "deploymentreader.h"
#include "http/eventhandles.h"
#include "settings/startup.h"
#include "store/httpinstancelist.h"
#include "store/httpobjectstore.h"
#include "store/httptable.h"

#include <csignal>
#include <iostream>
#include <vector>

using namespace magnolia;
using namespace magnolia::ctl;

namespace
{

ExitCode runWithSettings(const CommandLine &line, Output &output)
{
    const auto settings = settings::loadOrPrint<settings::CtlSettings>(line.settingsFile);
    if (!settings) {
        return ExitCode::BadInput;
    }
    if (line.checkSettings) {
        return ExitCode::Ok;
    }
    const http::EventBasePtr loop(event_base_new());
    if (settings->store) {
        adapters::DeploymentReader reader(loop.get(), settings->store->address);
        return DeploymentCommands(loop.get(), reader, settings->store->address, output).run(line);
    }
    Daemons daemons(loop.get(), settings->operators);
    if (line.command == "status") {
        return status(daemons, output);
    }
    if (line.command == "drain") {
        return drain(line, daemons, output);
    }
    if (line.command == "explain") {
        return explain(line, daemons, output);
    }
    store::HttpTable table(loop.get(), {.address = settings->platform.table});
    store::HttpObjectStore objects(loop.get(), {.address = settings->platform.objects});
    store::HttpInstanceList instances(loop.get(), {.address = settings->platform.instances});
    PlatformCommands commands(loop.get(), table, objects, instances, daemons, output);
    if (line.command == "apply") {
        return commands.apply(line, seededRandom());
    }
    if (line.command == "map") {
        return commands.map(line);
    }
    return commands.diffWithForce(line);
}

ExitCode run(const std::vector<std::string> &arguments)
{
    const auto line = parseCommandLine(arguments);
    Output output(std::cout, std::cerr, line && line->json);
    if (!line) {
        return output.error(ExitCode::BadInput, line.error());
    }
    if (line->help) {
        std::cout << helpText();
        return ExitCode::Ok;
    }
    if (line->version) {
        std::cout << "magnoliactl " << MAGNOLIA_VERSION << '\n';
        return ExitCode::Ok;
    }
    if (!line->checkSettings && line->command == "validate") {
        return validate(*line, output);
    }
    if (!line->checkSettings && line->command == "diff" && line->arguments.size() == 2 && line->settingsFile.empty()) {
        return diffFiles(*line, output);
    }
    return runWithSettings(*line, output);
}

} // namespace

int main(int argc, char **argv)
{
    // A daemon that hangs up in the middle of a request must not end this program without a word.
    std::signal(SIGPIPE, SIG_IGN);
    return static_cast<int>(run(std::vector<std::string>(argv + 1, argv + argc)));
}
