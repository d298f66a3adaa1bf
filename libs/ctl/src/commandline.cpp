#include "ctl/commandline.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace magnolia::ctl
{

namespace
{

constexpr std::uint64_t MaxTimeoutSeconds = 3600;
constexpr int MillisecondsPerSecond = 1000;

enum Option : int {
    Settings = 's',
    Help = 'h',
    JsonOutput = 1000,
    Version,
    CheckSettings,
    Wait,
    Timeout,
    Base,
    Organisation,
    ModelName,
    ServiceName,
    Path,
    Host,
};

constexpr option LongOptions[] = {
    {"settings", required_argument, nullptr, Settings},
    {"help", no_argument, nullptr, Help},
    {"json", no_argument, nullptr, JsonOutput},
    {"version", no_argument, nullptr, Version},
    {"check-settings", no_argument, nullptr, CheckSettings},
    {"wait", no_argument, nullptr, Wait},
    {"timeout", required_argument, nullptr, Timeout},
    {"base", required_argument, nullptr, Base},
    {"organisation", required_argument, nullptr, Organisation},
    {"model", required_argument, nullptr, ModelName},
    {"service", required_argument, nullptr, ServiceName},
    {"path", required_argument, nullptr, Path},
    {"host", required_argument, nullptr, Host},
    {nullptr, 0, nullptr, 0},
};

/** A command and how many arguments it takes. */
struct Command {
    std::string_view name;
    std::size_t least;
    std::size_t most;
    bool needsSettings;
    std::string_view usage;
};

constexpr std::size_t Any = 1000;

constexpr Command Commands[] = {
    {"validate", 1, 1, false, "validate FILE"},
    {"diff", 1, 2, false, "diff FILE [FILE]"},
    {"apply", 1, 1, true, "apply [--wait [--timeout SECONDS]] [--base VERSION] FILE"},
    {"status", 0, 0, true, "status"},
    {"drain", 1, Any, true, "drain INSTANCE|ADDRESS..."},
    {"explain", 0, 0, true, "explain --organisation NAME (--model MODEL | --service NAME [--path PATH]), or explain --host HOST --path PATH"},
    {"map", 1, 1, true, "map GROUP"},
};

std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t most)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    return isWhole && number <= most ? std::optional(number) : std::nullopt;
}

std::string checkCommand(const CommandLine &line)
{
    if (line.help || line.version) {
        return {};
    }
    if (line.command.empty()) {
        return line.checkSettings && !line.settingsFile.empty() ? "" : "a command is needed; see --help";
    }
    const auto *command = std::find_if(std::begin(Commands), std::end(Commands), [&line](const Command &candidate) { return candidate.name == line.command; });
    if (command == std::end(Commands)) {
        return fmt::format("unknown command \"{}\"; see --help", line.command);
    }
    if (line.arguments.size() < command->least || line.arguments.size() > command->most) {
        return fmt::format("usage: magnoliactl {}", command->usage);
    }
    const bool comparesWithForce = line.command == "diff" && line.arguments.size() == 1;
    if ((command->needsSettings || comparesWithForce) && line.settingsFile.empty()) {
        return fmt::format("{} needs --settings FILE", line.command);
    }
    if (line.command != "apply" && (line.wait || line.base)) {
        return "--wait and --base are for apply only";
    }
    const bool isExplain = line.command == "explain";
    const bool isByRoute = !line.host.empty() && !line.path.empty() && (line.organisation + line.model + line.service).empty();
    const bool isByOrganisation = line.host.empty() && !line.organisation.empty() && line.model.empty() != line.service.empty();
    if (isExplain && !isByRoute && !isByOrganisation) {
        return fmt::format("usage: magnoliactl {}", command->usage);
    }
    if (!isExplain && !(line.organisation + line.model + line.service + line.path + line.host).empty()) {
        return "--organisation, --model, --service, --path and --host are for explain only";
    }
    return {};
}

// @return what is wrong with the option's value; empty if nothing is.
std::string takeOption(CommandLine &line, int chosen, std::string_view value)
{
    switch (chosen) {
    case Settings:
        line.settingsFile = value;
        break;
    case Help:
        line.help = true;
        break;
    case JsonOutput:
        line.json = true;
        break;
    case Version:
        line.version = true;
        break;
    case CheckSettings:
        line.checkSettings = true;
        break;
    case Wait:
        line.wait = true;
        break;
    case Timeout: {
        const auto seconds = parseNumber(value, MaxTimeoutSeconds);
        if (!seconds || *seconds == 0) {
            return fmt::format("--timeout: expected 1 to {} seconds", MaxTimeoutSeconds);
        }
        line.timeout = Duration(*seconds * MillisecondsPerSecond);
        break;
    }
    case Base:
        line.base = parseNumber(value, std::numeric_limits<std::int64_t>::max());
        if (!line.base) {
            return "--base: expected a version number";
        }
        break;
    case Organisation:
        line.organisation = value;
        break;
    case ModelName:
        line.model = value;
        break;
    case ServiceName:
        line.service = value;
        break;
    case Path:
        line.path = value;
        break;
    case Host:
        line.host = value;
        break;
    default:
        return "see --help";
    }
    return {};
}

} // namespace

tl::expected<CommandLine, std::string> parseCommandLine(const std::vector<std::string> &arguments)
{
    std::string program = "magnoliactl";
    std::vector<std::string> texts = arguments;
    std::vector<char *> argv = {program.data()};
    for (std::string &text : texts) {
        argv.push_back(text.data());
    }
    argv.push_back(nullptr);
    const int argc = static_cast<int>(argv.size()) - 1;

    CommandLine line;
    optind = 0; // Starts afresh, also in a second call.
    opterr = 0;
    for (int chosen = 0; (chosen = getopt_long(argc, argv.data(), ":s:h", LongOptions, nullptr)) != -1;) {
        if (chosen == '?' || chosen == ':') {
            const std::string_view text = argv[optind - 1];
            return tl::unexpected(fmt::format("{}: {}; see --help", text, chosen == ':' ? "a value is missing" : "unknown option"));
        }
        if (const std::string problem = takeOption(line, chosen, optarg == nullptr ? "" : optarg); !problem.empty()) {
            return tl::unexpected(problem);
        }
    }
    for (int i = optind; i < argc; ++i) {
        if (line.command.empty()) {
            line.command = argv[i];
        } else {
            line.arguments.emplace_back(argv[i]);
        }
    }
    if (std::string problem = checkCommand(line); !problem.empty()) {
        return tl::unexpected(std::move(problem));
    }
    return line;
}

std::string_view helpText()
{
    return R"(usage: magnoliactl [--settings FILE] [--json] COMMAND ...

  validate FILE           checks a manifest (TOML, or JSON if it ends in .json) and names each fault's place
  diff FILE [FILE]        what leads from the first manifest to the second, or from the one in force to FILE
  apply FILE              puts a manifest in force
      --base VERSION      only if this version is in force: the one that FILE was made from
      --wait              until every live daemon reports it
      --timeout SECONDS   how long --wait waits (60)
  status                  what each daemon has in force
  drain INSTANCE|ADDRESS  asks daemons to stop as planned: no new work, work in progress ends
  explain                 why a request would go where
      --organisation NAME (--model MODEL | --service NAME [--path PATH])
      --host HOST --path PATH      where the store keeps the routes
  map GROUP               a group's expert map; where engines are asked for it, that costs each pass about a millisecond

With [store] in the settings, status, explain, map and diff read the platform's store, where operators keep routes and
endpoints; diff then compares the operators' configurations. Nothing is written there.

  -s, --settings FILE     settings of magnoliactl (TOML)
      --check-settings    checks them and ends
      --json              output as JSON
  -h, --help
      --version

exit codes: 0 ok; 1 failed; 2 bad usage, settings or manifest; 3 conflict with a rival; 4 platform or daemons
unavailable; 5 in force, but not every live daemon reported it in time; 6 unknown whether in force
)";
}

} // namespace magnolia::ctl
