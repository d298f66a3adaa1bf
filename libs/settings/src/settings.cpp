#include "settings/settings.h"

#include "reader.h"

#include <spdlog/fmt/fmt.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <set>

namespace magnolia::settings
{

namespace
{

constexpr std::int64_t Second = 1000;
constexpr std::int64_t Minute = 60 * Second;
constexpr std::int64_t Hour = 60 * Minute;
constexpr std::int64_t Kibibyte = 1024;
constexpr std::int64_t Mebibyte = 1024 * Kibibyte;
// A heartbeat that is lost or late must not be enough to call a link silent.
constexpr int HeartbeatsPerSilence = 2;

void readSection(TableReader &reader, InstanceSettings &out)
{
    reader.readText("name", out.name, Presence::Required);
    reader.readText("data_centre", out.dataCentre, Presence::Required);
}

void readSection(TableReader &reader, CallersSettings &out)
{
    reader.readAddress("address", out.address, AddressUse::Listen, Presence::Required);
    reader.readSize("max_body_bytes", out.maxBodyBytes, {.least = Kibibyte, .most = 256 * Mebibyte});
    reader.readSize("max_header_bytes", out.maxHeaderBytes, {.least = Kibibyte, .most = Mebibyte});
    reader.readSize("max_connections", out.maxConnections, {.least = 1, .most = 1'000'000});
    reader.readDuration("default_timeout_ms", out.defaultTimeout, {.least = 100, .most = 10 * Minute});
}

void readSection(TableReader &reader, OperatorsSettings &out)
{
    reader.readAddress("address", out.address, AddressUse::Listen, Presence::Required);
    reader.readSecret("key", out.key, Presence::Required);
}

void readSection(TableReader &reader, DaemonsSettings &out)
{
    reader.readAddresses("addresses", out.addresses);
    reader.readSecret("key", out.key, Presence::Optional);
    reader.readDuration("timeout_ms", out.timeout, {.least = 100, .most = Minute});
}

void readKeys(TableReader &reader, std::vector<LinkKeySettings> &out)
{
    std::set<std::string> ids;
    reader.readTables("keys", Presence::Required, [&](TableReader &key) {
        LinkKeySettings settings;
        key.readText("id", settings.id, Presence::Required);
        key.readSecret("secret", settings.secret, Presence::Required);
        if (!settings.id.empty() && !ids.insert(settings.id).second) {
            key.reportAt("id", fmt::format("'links.keys.id' must differ between keys; '{}' stands twice", settings.id));
        }
        out.push_back(std::move(settings));
    });
    if (out.empty()) {
        reader.reportAt("keys", "'links.keys' must have at least one key");
    }
}

void readSection(TableReader &reader, LinksSettings &out)
{
    readKeys(reader, out.keys);
    reader.readDuration("heartbeat_interval_ms", out.heartbeatInterval, {.least = 10, .most = Minute});
    reader.readDuration("silence_timeout_ms", out.silenceTimeout, {.least = 20, .most = 5 * Minute});
    reader.readDuration("handshake_timeout_ms", out.handshakeTimeout, {.least = 20, .most = Minute});
    reader.readNumber("capacity_mbps", out.capacityMegabits, {.least = 0, .most = 1'000'000});
    reader.readSize("control_bytes_per_second", out.controlBytesPerSecond, {.least = 1000, .most = 100 * Mebibyte});
    reader.readSize("max_frame_bytes", out.maxFrameBytes, {.least = 64 * Kibibyte, .most = 256 * Mebibyte});
    if (out.silenceTimeout < HeartbeatsPerSilence * out.heartbeatInterval) {
        reader.reportAt("silence_timeout_ms", "'links.silence_timeout_ms' must be at least twice 'links.heartbeat_interval_ms'");
    }
}

/** [links] of an agent, which has an address to listen on besides. */
struct ListeningLinks {
    LinksSettings &links;
};

void readSection(TableReader &reader, ListeningLinks out)
{
    reader.readAddress("address", out.links.address, AddressUse::Listen, Presence::Required);
    readSection(reader, out.links);
}

void readSection(TableReader &reader, PlatformSettings &out)
{
    reader.readAddress("table", out.table, AddressUse::Connect, Presence::Required);
    reader.readAddress("objects", out.objects, AddressUse::Connect, Presence::Required);
    reader.readAddress("instances", out.instances, AddressUse::Connect, Presence::Required);
    reader.readDuration("poll_interval_ms", out.pollInterval, {.least = 100, .most = 10 * Minute});
}

void readSection(TableReader &reader, observe::LogOptions &out)
{
    reader.readChoice<spdlog::level::level_enum>("level",
                                                 out.level,
                                                 {{"trace", spdlog::level::trace},
                                                  {"debug", spdlog::level::debug},
                                                  {"info", spdlog::level::info},
                                                  {"warn", spdlog::level::warn},
                                                  {"error", spdlog::level::err}});
    reader.readChoice<observe::LogFormat>("format", out.format, {{"text", observe::LogFormat::Text}, {"json", observe::LogFormat::Json}});
}

void readSection(TableReader &reader, TracesSettings &out)
{
    reader.readText("file", out.file, Presence::Optional);
    reader.readRatio("sampling_ratio", out.samplingRatio);
}

void readSection(TableReader &reader, StopSettings &out)
{
    reader.readDuration("lag_ms", out.lag, {.least = 0, .most = 10 * Minute});
    reader.readDuration("warn_after_ms", out.warnAfter, {.least = 0, .most = 24 * Hour});
}

void readSection(TableReader &reader, EndpointSettings &out)
{
    reader.readText("name", out.name, Presence::Required);
    reader.readAddress("address", out.address, AddressUse::Connect, Presence::Required);
    reader.readDuration("silence_timeout_ms", out.silenceTimeout, {.least = 100, .most = 10 * Minute});
}

void readSection(TableReader &reader, ListenSettings &out)
{
    reader.readAddress("address", out.address, AddressUse::Listen, Presence::Required);
}

void readSection(TableReader &reader, StoreSettings &out)
{
    reader.readAddress("address", out.address, AddressUse::Connect, Presence::Required);
}

void readSection(TableReader &reader, EndpointsSettings &out)
{
    reader.readDuration("renewal_interval_ms", out.renewalInterval, {.least = 50, .most = 10 * Minute});
}

void readSection(TableReader &reader, EngineSettings &out)
{
    reader.readAddress("address", out.address, AddressUse::Connect, Presence::Required);
    reader.readText("service", out.service, Presence::Required);
}

void readSection(TableReader &reader, KeysSettings &out)
{
    reader.readDuration("revocation_bound_ms", out.revocationBound, {.least = 500, .most = Hour});
    reader.readFlag("fail_closed", out.failClosed);
}

void readSection(TableReader &reader, RetriesSettings &out)
{
    reader.readNumber("share", out.share, {.least = 0, .most = 10});
    reader.readNumber("constant", out.constant, {.least = 0, .most = 1'000'000});
    double windowSeconds = std::chrono::duration<double>(out.window).count();
    reader.readNumber("window_s", windowSeconds, {.least = 0.1, .most = 3600});
    out.window = std::chrono::round<Duration>(std::chrono::duration<double>(windowSeconds));
}

void readSection(TableReader &reader, ColdSettings &out)
{
    reader.readNumber("overshoot", out.overshoot, {.least = 1, .most = 10});
    reader.readNumber("slack", out.slack, {.least = 0, .most = 10'000});
}

void readSection(TableReader &reader, QuarantineSettings &out)
{
    reader.readSize("limit", out.limit, {.least = 1, .most = 100});
    double seconds = std::chrono::duration<double>(out.time).count();
    reader.readNumber("time_s", seconds, {.least = 1, .most = 86400});
    out.time = std::chrono::round<Duration>(std::chrono::duration<double>(seconds));
}

void readSection(TableReader &reader, MetricsSettings &out)
{
    reader.readAddress("address", out.address, AddressUse::Listen, Presence::Optional);
}

void readSection(TableReader &reader, MemorySettings &out)
{
    reader.readNumber("limit_mb", out.limitMebibytes, {.least = 16, .most = 1'000'000});
}

void readSection(TableReader &reader, GraceSettings &out)
{
    double seconds = std::chrono::duration<double>(out.time).count();
    reader.readNumber("time_s", seconds, {.least = 0.5, .most = 3600});
    out.time = std::chrono::round<Duration>(std::chrono::duration<double>(seconds));
}

/** Reads the file's sections, and reports those that it should not have. */
class FileReader
{
public:
    FileReader(const toml::table &root, ProblemList &problems) : root_(root), problems_(problems) {}

    bool has(const std::string &name) const
    {
        return root_.contains(name);
    }

    template<typename Section>
    void section(const std::string &name, Section &&out)
    {
        known_.insert(name);
        const toml::node *node = root_.get(name);
        if (node != nullptr && !node->is_table()) {
            problems_.add(node->source(), fmt::format("'{}' must be a table: [{}]", name, name));
            return;
        }
        const toml::table absent;
        TableReader reader(node == nullptr ? absent : *node->as_table(), name, problems_);
        readSection(reader, std::forward<Section>(out));
        reader.finish();
    }

    void finish()
    {
        for (const auto &[key, node] : root_) {
            if (!known_.contains(std::string(key.str()))) {
                problems_.add(key.source(), fmt::format("unknown key '{}'; expected one of [{}]", key.str(), fmt::join(known_, "], [")));
            }
        }
    }

private:
    const toml::table &root_;
    ProblemList &problems_;
    std::set<std::string> known_;
};

void readFile(FileReader &file, EntrySettings &out)
{
    file.section("instance", out.instance);
    file.section("callers", out.callers);
    file.section("operators", out.operators);
    file.section("links", out.links);
    file.section("platform", out.platform);
    file.section("log", out.log);
    file.section("traces", out.traces);
    file.section("stop", out.stop);
}

void readFile(FileReader &file, AgentSettings &out)
{
    file.section("instance", out.instance);
    file.section("endpoint", out.endpoint);
    file.section("operators", out.operators);
    file.section("links", ListeningLinks{.links = out.links});
    file.section("platform", out.platform);
    file.section("log", out.log);
    file.section("traces", out.traces);
    file.section("stop", out.stop);
}

void readFile(FileReader &file, ForwardSettings &out)
{
    file.section("instance", out.instance);
    file.section("callers", out.callers);
    file.section("readiness", out.readiness);
    file.section("links", ListeningLinks{.links = out.links});
    file.section("store", out.store);
    file.section("endpoints", out.endpoints);
    file.section("keys", out.keys);
    file.section("retries", out.retries);
    out.cold.isEnabled = file.has("cold");
    file.section("cold", out.cold);
    file.section("quarantine", out.quarantine);
    file.section("metrics", out.metrics);
    file.section("memory", out.memory);
    file.section("grace", out.grace);
    file.section("log", out.log);
    file.section("traces", out.traces);
}

void readFile(FileReader &file, GroupSettings &out)
{
    file.section("instance", out.instance);
    file.section("engine", out.engine);
    file.section("links", ListeningLinks{.links = out.links});
    file.section("store", out.store);
    file.section("metrics", out.metrics);
    file.section("log", out.log);
}

void readFile(FileReader &file, CtlSettings &out)
{
    if (file.has("store")) {
        file.section("store", out.store.emplace());
    } else {
        file.section("operators", out.operators);
        file.section("platform", out.platform);
    }
    file.section("log", out.log);
}

wire::LinkOptions linkOptions(const InstanceSettings &instance, const LinksSettings &links)
{
    wire::LinkOptions options;
    options.self.instance = instance.name;
    options.self.dataCentre = instance.dataCentre;
    for (const LinkKeySettings &key : links.keys) {
        options.keys.push_back({.id = key.id, .secret = key.secret.expose()});
    }
    options.heartbeatInterval = links.heartbeatInterval;
    options.silenceTimeout = links.silenceTimeout;
    options.handshakeTimeout = links.handshakeTimeout;
    options.pacing = std::make_shared<wire::LinkPacing>(wire::LinkPacing::Options{.bytesPerSecond = links.controlBytesPerSecond});
    options.maxFrameBytes = links.maxFrameBytes;
    return options;
}

} // namespace

std::string toString(const Problem &problem)
{
    if (problem.line == 0) {
        return fmt::format("{}: {}", problem.file, problem.message);
    }
    return fmt::format("{}:{}:{}: {}", problem.file, problem.line, problem.column, problem.message);
}

template<typename S>
Checked<S> parse(std::string_view text, std::string_view file)
{
    ProblemList problems(file);
    toml::table root;
    try {
        root = toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        // The library's own message may quote the line, and with it a secret; its description does not.
        problems.add(error.source(), "not valid TOML: " + std::string(error.description()));
        return tl::unexpected(problems.take());
    }
    S settings;
    FileReader reader(root, problems);
    readFile(reader, settings);
    reader.finish();
    if (!problems.empty()) {
        return tl::unexpected(problems.take());
    }
    return settings;
}

template<typename S>
Checked<S> load(const std::string &path)
{
    // A folder opens like a file; reading it throws.
    std::error_code ignored;
    const bool isFolder = std::filesystem::is_directory(path, ignored);
    std::ifstream in(path, std::ios::binary);
    if (isFolder || !in.is_open()) {
        return tl::unexpected(std::vector<Problem>{{.file = path, .line = 0, .column = 0, .message = "cannot be read; expected a TOML file"}});
    }
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    return parse<S>(text, path);
}

template Checked<EntrySettings> parse(std::string_view, std::string_view);
template Checked<AgentSettings> parse(std::string_view, std::string_view);
template Checked<CtlSettings> parse(std::string_view, std::string_view);
template Checked<ForwardSettings> parse(std::string_view, std::string_view);
template Checked<ForwardSettings> load(const std::string &);
template Checked<GroupSettings> parse(std::string_view, std::string_view);
template Checked<GroupSettings> load(const std::string &);
template Checked<EntrySettings> load(const std::string &);
template Checked<AgentSettings> load(const std::string &);
template Checked<CtlSettings> load(const std::string &);

wire::LinkOptions linkOptions(const EntrySettings &settings)
{
    wire::LinkOptions options = linkOptions(settings.instance, settings.links);
    options.self.role = wire::Role::Entry;
    return options;
}

wire::LinkOptions linkOptions(const ForwardSettings &settings)
{
    wire::LinkOptions options = linkOptions(settings.instance, settings.links);
    options.self.role = wire::Role::Entry;
    return options;
}

wire::LinkOptions linkOptions(const GroupSettings &settings)
{
    wire::LinkOptions options = linkOptions(settings.instance, settings.links);
    options.self.role = wire::Role::Agent;
    return options;
}

wire::LinkOptions linkOptions(const AgentSettings &settings, wire::Incarnation incarnation)
{
    wire::LinkOptions options = linkOptions(settings.instance, settings.links);
    options.self.role = wire::Role::Agent;
    options.self.endpoint = settings.endpoint.name;
    options.self.incarnation = incarnation;
    return options;
}

} // namespace magnolia::settings
