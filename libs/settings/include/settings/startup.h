#ifndef MAGNOLIA_SETTINGS_STARTUP_H
#define MAGNOLIA_SETTINGS_STARTUP_H

#include "observe/trace.h"
#include "settings/settings.h"

#include <tl/expected.hpp>

#include <iostream>
#include <optional>
#include <string>

/** What the mains of all daemons share: their arguments and exit codes, and what they make of their settings. */
namespace magnolia::settings
{

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;

/** What a daemon says of itself on its command line. */
struct DaemonText {
    std::string name{};
    std::string version{};
    std::string usage{}; ///< For --help.
    std::string settingsVariable{}; ///< Environment variable that may name the settings file; empty: none.
};

struct CommandLine {
    std::string settingsFile;
    bool checkOnly = false;
    std::optional<int> exitCode; ///< Set if there is nothing more to do.
};

/** Reads --settings, --check-settings, --help and --version; prints what is asked for or wrong. */
CommandLine parseCommandLine(int argc, char **argv, const DaemonText &text);

/** Prints what is wrong with the settings. @return nothing if anything is. */
template<typename S>
std::optional<S> loadOrPrint(const std::string &file)
{
    auto loaded = load<S>(file);
    if (!loaded) {
        for (const Problem &problem : loaded.error()) {
            std::cerr << toString(problem) << '\n';
        }
        return std::nullopt;
    }
    return std::move(*loaded);
}

/** @return the settings to run with, or the exit code if it shall not run. */
template<typename S>
tl::expected<S, int> settingsFor(const CommandLine &line)
{
    if (line.exitCode) {
        return tl::unexpected(*line.exitCode);
    }
    auto settings = loadOrPrint<S>(line.settingsFile);
    if (!settings) {
        return tl::unexpected(ExitBadInput);
    }
    if (line.checkOnly) {
        std::cout << line.settingsFile << ": the settings are good\n";
        return tl::unexpected(ExitOk);
    }
    return std::move(*settings);
}

/** Keeps the links' secrets out of the logs. */
void hideFromLogs(const LinksSettings &links);

/** @param service name of the program in its spans. */
template<typename S>
observe::Tracer::Options tracerOptions(const S &settings, const std::string &service)
{
    return {.file = settings.traces.file,
            .service = service,
            .instance = settings.instance.name,
            .dataCentre = settings.instance.dataCentre,
            .samplingRatio = settings.traces.samplingRatio};
}

} // namespace magnolia::settings

#endif
