#ifndef MAGNOLIA_SETTINGS_SETTINGS_H
#define MAGNOLIA_SETTINGS_SETTINGS_H

#include "settings/sections.h"
#include "wire/link.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::settings
{

/** Settings of magnolia-entry. */
struct EntrySettings {
    InstanceSettings instance;
    CallersSettings callers;
    OperatorsSettings operators;
    LinksSettings links;
    PlatformSettings platform;
    observe::LogOptions log;
    TracesSettings traces;
    StopSettings stop;
};

/** Settings of magnolia-agent. */
struct AgentSettings {
    InstanceSettings instance;
    EndpointSettings endpoint;
    OperatorsSettings operators;
    LinksSettings links; ///< With the address that it listens on.
    PlatformSettings platform;
    observe::LogOptions log;
    TracesSettings traces;
    StopSettings stop;
};

/** Settings of an entry that passes requests on by the operators' routes. */
struct ForwardSettings {
    InstanceSettings instance;
    ListenSettings callers;
    ListenSettings readiness;
    LinksSettings links; ///< With the address that it listens on.
    StoreSettings store;
    EndpointsSettings endpoints;
    KeysSettings keys;
    RetriesSettings retries;
    ColdSettings cold;
    QuarantineSettings quarantine;
    MetricsSettings metrics;
    MemorySettings memory;
    GraceSettings grace;
    observe::LogOptions log;
    TracesSettings traces;
};

/** Settings of an agent that takes part in its engine's group. */
struct GroupSettings {
    InstanceSettings instance;
    EngineSettings engine;
    LinksSettings links; ///< With the address that it listens on.
    StoreSettings store;
    MetricsSettings metrics;
    observe::LogOptions log;
};

/** Settings of magnoliactl. */
struct CtlSettings {
    DaemonsSettings operators;
    PlatformSettings platform; ///< Empty if the store is given.
    std::optional<StoreSettings> store; ///< Of a deployment whose routes and endpoints are kept there.
    observe::LogOptions log;
};

/** One thing wrong with a settings file. Never holds a secret's text. */
struct Problem {
    std::string file;
    std::uint32_t line = 0; ///< From 1; 0 if the whole file is meant.
    std::uint32_t column = 0; ///< From 1; 0 as above.
    std::string message; ///< What is wrong, and what was expected.
};

/** @return "FILE:LINE:COLUMN: MESSAGE" */
std::string toString(const Problem &problem);

/** Either settings or every problem found in them. */
template<typename S>
using Checked = tl::expected<S, std::vector<Problem>>;

/**
 * Reads and checks a settings file; S is EntrySettings, AgentSettings, ForwardSettings, GroupSettings or CtlSettings.
 *
 * @code
 * const auto settings = settings::load<EntrySettings>(path);
 * if (!settings) {
 *     for (const Problem &problem : settings.error())
 *         std::cerr << toString(problem) << '\n';
 *     return 2;
 * }
 * @endcode
 */
template<typename S>
Checked<S> load(const std::string &path);

/** As load(), from text. @param file name used in problems. */
template<typename S>
Checked<S> parse(std::string_view text, std::string_view file);

/** @return what libs/wire needs for links of an entry. */
wire::LinkOptions linkOptions(const EntrySettings &settings);

/** @return what libs/wire needs for links between entries. */
wire::LinkOptions linkOptions(const ForwardSettings &settings);

/** @return what libs/wire needs for links between the agents of a group. */
wire::LinkOptions linkOptions(const GroupSettings &settings);

/** @return what libs/wire needs for links of an agent. @param incarnation of this run of the agent. */
wire::LinkOptions linkOptions(const AgentSettings &settings, wire::Incarnation incarnation);

} // namespace magnolia::settings

#endif
