#include "settings/startup.h"

#include <getopt.h>

#include <cstdlib>

namespace magnolia::settings
{

namespace
{

enum Option : int {
    Settings = 1,
    CheckSettings,
    Help,
    Version,
};

std::string missingSettings(const DaemonText &text)
{
    const std::string way = text.settingsVariable.empty() ? "and nothing else" : "or set " + text.settingsVariable;
    return text.name + ": give --settings FILE " + way + "; see --help\n";
}

} // namespace

CommandLine parseCommandLine(int argc, char **argv, const DaemonText &text)
{
    const option options[] = {{"settings", required_argument, nullptr, Settings},
                              {"check-settings", no_argument, nullptr, CheckSettings},
                              {"help", no_argument, nullptr, Help},
                              {"version", no_argument, nullptr, Version},
                              {nullptr, 0, nullptr, 0}};
    CommandLine line;
    const char *named = text.settingsVariable.empty() ? nullptr : std::getenv(text.settingsVariable.c_str());
    line.settingsFile = named == nullptr ? "" : named;
    for (int found = getopt_long(argc, argv, "", options, nullptr); found != -1; found = getopt_long(argc, argv, "", options, nullptr)) {
        switch (found) {
        case Settings:
            line.settingsFile = optarg;
            break;
        case CheckSettings:
            line.checkOnly = true;
            break;
        case Help:
            std::cout << text.usage;
            line.exitCode = ExitOk;
            return line;
        case Version:
            std::cout << text.name << " " << text.version << '\n';
            line.exitCode = ExitOk;
            return line;
        default:
            line.exitCode = ExitBadInput;
            return line;
        }
    }
    if (optind < argc || line.settingsFile.empty()) {
        std::cerr << missingSettings(text);
        line.exitCode = ExitBadInput;
    }
    return line;
}

void hideFromLogs(const LinksSettings &links)
{
    for (const LinkKeySettings &key : links.keys) {
        observe::hideFromLogs(key.secret);
    }
}

} // namespace magnolia::settings
