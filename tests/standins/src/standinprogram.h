#ifndef MAGNOLIA_STANDINS_STANDINPROGRAM_H
#define MAGNOLIA_STANDINS_STANDINPROGRAM_H

#include "http/eventhandles.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::standins
{

/** One command-line option of a stand-in; all take a value, but for switches. */
struct ProgramOption {
    std::string name{};
    std::string help{};
    std::function<void(const std::string &value)> apply{}; ///< Throws std::exception on a bad value.
    bool isSwitch = false;
};

/** Parses by getopt_long; adds --help. Exits 0 after --help and 2 on a bad option. */
void parseOptions(int argc, char **argv, std::span<const ProgramOption> options);

/** Prints "listening IP:PORT" (with what it is for, if given) for whoever started the program. */
void announce(std::string_view address, std::string_view purpose = {});

/** Runs the loop until SIGTERM or SIGINT. @return the exit code. */
int runUntilSignal(event_base *loop);

} // namespace magnolia::standins

#endif
