#ifndef MAGNOLIA_CTL_COMMANDLINE_H
#define MAGNOLIA_CTL_COMMANDLINE_H

#include "base/clock.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::ctl
{

/** What magnoliactl was asked to do. */
struct CommandLine {
    std::string command; ///< "validate", "apply"...; empty with --help or --version.
    std::vector<std::string> arguments;
    std::string settingsFile;
    bool json = false;
    bool help = false;
    bool version = false;
    bool checkSettings = false;
    bool wait = false;
    Duration timeout{60000};
    std::optional<std::uint64_t> base;
    std::string organisation;
    std::string model;
    std::string service;
    std::string path;
    std::string host;
};

/** Reads the arguments, options anywhere. @return what is wrong, as one sentence, if it cannot be understood. */
tl::expected<CommandLine, std::string> parseCommandLine(const std::vector<std::string> &arguments);

/** @return the text of --help. */
std::string_view helpText();

} // namespace magnolia::ctl

#endif
