#include "deployment.h"

#include <boost/filesystem.hpp>
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace magnolia::path
{

namespace
{

constexpr Duration StartLimit{20000};
constexpr Duration CtlLimit{40000}; ///< magnoliactl gives up by itself after 30 s.
constexpr Duration PollPause{20};
constexpr std::size_t TailBytes = 4000;
constexpr std::string_view LinkSecret = "path-test-link-secret";
constexpr std::string_view OperatorsKey = "path-test-operators-key";

std::string readFile(const boost::filesystem::path &file)
{
    std::ifstream in(file.string(), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

bool hasCurrentTestFailed()
{
    const auto &test = boost::unit_test::framework::current_test_case();
    return !boost::unit_test::results_collector.results(test.p_id).passed();
}

void require(bool condition, const std::string &what)
{
    if (!condition) {
        throw std::runtime_error(what);
    }
}

} // namespace

Deployment::Deployment(DeploymentOptions options)
    : manifest(standardManifest({.engines = options.engines, .hasBooking = options.hasBooking}))
    , options_(std::move(options))
    , folder_(boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("magnolia-path-%%%%%%%%"))
{
    boost::filesystem::create_directories(folder_);
    platform_ = makeStandIn("platform", MAGNOLIA_STANDIN_PLATFORM, options_.platformArguments);
    for (std::size_t i = 1; i <= options_.engines; ++i) {
        const std::string name = fmt::format("engine-{}", i);
        engines_.push_back(makeEngine(name));
        agents_.push_back(makeAgent("agent-" + name, name, *engines_.back()));
    }
    if (options_.hasBooking) {
        booking_ = makeStandIn("bookings-1", MAGNOLIA_STANDIN_ENGINE, {"--service"});
        booking_->relay = makeRelay(*booking_);
        agents_.push_back(makeAgent("agent-bookings-1", "bookings-1", *booking_));
    }
    for (std::size_t i = 0; i < options_.entries; ++i) {
        entries_.push_back(makeEntry(fmt::format("entry-{}", i + 1)));
    }
}

Deployment::~Deployment()
{
    if (hasCurrentTestFailed()) {
        printLogs();
    }
    // Daemons first, so that they don't spend their last moments on complaints about the stand-ins.
    entries_.clear();
    agents_.clear();
    boost::system::error_code ignored;
    boost::filesystem::remove_all(folder_, ignored);
}

void Deployment::start()
{
    startMember(*platform_);
    waitForAnswer(*platform_);
    for (const MemberPtr &engine : engines_) {
        startMember(*engine);
        waitForAnswer(*engine);
    }
    if (booking_) {
        startMember(*booking_);
        waitForAnswer(*booking_);
    }
    for (const MemberPtr &agent : agents_) {
        registerInstance(*agent, "agent", agent->name.substr(std::string("agent-").size()));
        startMember(*agent);
    }
    for (const MemberPtr &entry : entries_) {
        registerInstance(*entry, "entry", "");
        startMember(*entry);
    }
    const CtlResult applied = apply(manifest);
    require(applied.exitCode == 0, "magnoliactl apply: exit code " + std::to_string(applied.exitCode) + "\n" + applied.output);
    for (const MemberPtr &agent : agents_) {
        require(waitForReady(*agent), agent->name + " is not ready");
    }
    for (const MemberPtr &entry : entries_) {
        require(waitForReady(*entry), entry->name + " is not ready");
        waitForService(*entry);
    }
}

CtlResult Deployment::apply(const Json &document)
{
    return runCtl({"apply", "--wait", writeManifest(document)});
}

std::string Deployment::writeManifest(const Json &document, const std::string &name) const
{
    return writeFile(name + ".json", document.dump(2));
}

CtlResult Deployment::runCtl(const std::vector<std::string> &arguments)
{
    return runCtlAtOnce({arguments}).front();
}

std::vector<CtlResult> Deployment::runCtlAtOnce(const std::vector<std::vector<std::string>> &arguments)
{
    const std::string settings = writeCtlSettings();
    std::vector<Process> processes;
    std::vector<boost::filesystem::path> logs;
    for (const auto &own : arguments) {
        std::vector<std::string> all = {"--settings", settings};
        all.insert(all.end(), own.begin(), own.end());
        logs.push_back(folder_ / fmt::format("magnoliactl-{}.log", ++ctlRuns_));
        processes.emplace_back(Process::Options{.program = MAGNOLIA_CTL, .arguments = all, .logFile = logs.back().string()});
    }
    const auto hasEnded = [](Process &process) { return !process.isRunning(); };
    loop.runUntil([&] { return std::all_of(processes.begin(), processes.end(), hasEnded); }, CtlLimit);
    std::vector<CtlResult> results;
    for (std::size_t i = 0; i < processes.size(); ++i) {
        results.push_back({.exitCode = processes[i].exitCode().value_or(-1), .output = readFile(logs[i])});
    }
    return results;
}

std::map<std::string, std::uint64_t> Deployment::versions()
{
    CallerRequest request;
    request.method = "GET";
    request.path = "/status";
    request.timeout = Duration{1000};
    std::map<std::string, CallPtr> calls;
    for (const auto *members : {&entries_, &agents_}) {
        for (const MemberPtr &member : *members) {
            calls[member->name] = caller.start(member->operators.address(), request);
        }
    }
    const auto hasEnded = [](const auto &call) { return call.second->isEnded; };
    loop.runUntil([&] { return std::all_of(calls.begin(), calls.end(), hasEnded); });
    std::map<std::string, std::uint64_t> versions;
    for (const auto &[name, call] : calls) {
        const Json status = Json::parse(call->body, nullptr, false);
        if (call->status == 200 && status.is_object()) {
            versions[name] = status["manifest"].value("version", std::uint64_t{0});
        }
    }
    return versions;
}

void Deployment::startMember(Member &member)
{
    member.process = std::make_unique<Process>(member.command);
}

std::optional<int> Deployment::waitForEnd(Member &member, Duration limit)
{
    loop.runUntil([&member] { return !member.process->isRunning(); }, limit);
    return member.process->exitCode();
}

bool Deployment::waitForReady(const Member &member, Duration limit)
{
    const MonoTime end = MonoClock::now() + limit;
    while (MonoClock::now() < end) {
        if (caller.get(member.operators.address(), "/readyz").status == 200) {
            return true;
        }
        loop.runFor(PollPause);
    }
    return false;
}

void Deployment::addEngine()
{
    const std::string name = fmt::format("engine-{}", engines_.size() + 1);
    engines_.push_back(makeEngine(name));
    startMember(*engines_.back());
    waitForAnswer(*engines_.back());
    // The agents of the engines stand before that of the booking service.
    const auto place = agents_.begin() + static_cast<std::ptrdiff_t>(engines_.size() - 1);
    Member &agent = **agents_.insert(place, makeAgent("agent-" + name, name, *engines_.back()));
    registerInstance(agent, "agent", name);
    startMember(agent);
}

void Deployment::setFaults(const Member &standIn, const Json &faults)
{
    require(caller.post(standIn.work.address(), "/test/faults", faults).status == 200, standIn.name + " takes no faults");
}

std::map<std::string, int> Deployment::timesBegun()
{
    std::vector<const Member *> counting;
    std::for_each(engines_.begin(), engines_.end(), [&counting](const MemberPtr &engine) { counting.push_back(engine.get()); });
    if (booking_) {
        counting.push_back(booking_.get());
    }
    std::map<std::string, int> total;
    for (const Member *member : counting) {
        const Json counts = Json::parse(caller.get(member->work.address(), "/test/counts").body, nullptr, false);
        require(counts.is_object() && counts.contains("runs"), member->name + " gives no counts");
        for (const auto &[marker, run] : counts["runs"].items()) {
            total[marker] += run.value("begun", 0);
        }
    }
    return total;
}

std::unique_ptr<Member> Deployment::replaceAgent(std::size_t index)
{
    const Member &engine = *engines_.at(index);
    MemberPtr old = std::exchange(agents_.at(index), makeAgent("agent-" + engine.name + "-next", engine.name, engine));
    CallerRequest removal;
    removal.method = "DELETE";
    removal.path = "/instances/" + old->name;
    require(caller.call(platform_->work.address(), removal).status == 200, "the platform does not forget " + old->name);
    registerInstance(*agents_.at(index), "agent", engine.name);
    startMember(*agents_.at(index));
    return old;
}

int Deployment::runs(const std::string &marker, const std::string &what)
{
    std::vector<const Member *> counting;
    for (const MemberPtr &engine : engines_) {
        counting.push_back(engine.get());
    }
    if (booking_) {
        counting.push_back(booking_.get());
    }
    int total = 0;
    for (const Member *member : counting) {
        const Json counts = Json::parse(caller.get(member->work.address(), "/test/counts").body, nullptr, false);
        require(counts.is_object() && counts.contains("runs"), member->name + " gives no counts");
        total += counts["runs"].value(marker, Json::object()).value(what, 0);
    }
    return total;
}

// The relays live on the test's own loop, so they stand still while it does not turn.
std::unique_ptr<standins::Relay> Deployment::makeRelay(const Member &target) const
{
    if (!options_.hasRelays) {
        return nullptr;
    }
    return std::make_unique<standins::Relay>(loop.get(), standins::Relay::Options{.target = target.work.address()});
}

Deployment::MemberPtr Deployment::makeMember(const std::string &name, const std::string &program) const
{
    auto member = std::make_unique<Member>();
    member->name = name;
    member->command = {.program = program, .arguments = {}, .logFile = (folder_ / (name + ".log")).string()};
    return member;
}

Deployment::MemberPtr Deployment::makeStandIn(const std::string &name, const std::string &program, const std::vector<std::string> &arguments) const
{
    auto member = makeMember(name, program);
    member->command.arguments = arguments;
    member->command.arguments.insert(member->command.arguments.end(), {"--address", member->work.address()});
    return member;
}

Deployment::MemberPtr Deployment::makeEngine(const std::string &name) const
{
    std::vector<std::string> arguments = {"--tokens", std::to_string(options_.pieces), "--token-interval-ms", std::to_string(options_.pieceInterval.count())};
    arguments.insert(arguments.end(), options_.engineArguments.begin(), options_.engineArguments.end());
    auto member = makeStandIn(name, MAGNOLIA_STANDIN_ENGINE, arguments);
    member->relay = makeRelay(*member);
    return member;
}

Deployment::MemberPtr Deployment::makeEntry(const std::string &name) const
{
    auto member = makeMember(name, MAGNOLIA_ENTRY);
    member->platformRelay = makeRelay(*platform_);
    const std::string settings = fmt::format(R"([instance]
name = "{}"
data_centre = "north"
[callers]
address = "{}"
max_body_bytes = {}
[operators]
address = "{}"
key = "{}"
[links]
keys = [{{ id = "test", secret = "{}" }}]
{}
[stop]
lag_ms = {}
)",
                                             name,
                                             member->work.address(),
                                             options_.maxBodyBytes,
                                             member->operators.address(),
                                             OperatorsKey,
                                             LinkSecret,
                                             platformSection(member->platformRelay ? member->platformRelay->address() : platform_->work.address()),
                                             options_.stopLag.count());
    member->command.arguments = {"--settings", writeFile(name + ".toml", settings)};
    return member;
}

Deployment::MemberPtr Deployment::makeAgent(const std::string &name, const std::string &endpoint, const Member &backEnd) const
{
    auto member = makeMember(name, MAGNOLIA_AGENT);
    member->relay = makeRelay(*member);
    member->platformRelay = makeRelay(*platform_);
    const std::string settings = fmt::format(R"([instance]
name = "{}"
data_centre = "north"
[endpoint]
name = "{}"
address = "{}"
[operators]
address = "{}"
key = "{}"
[links]
address = "{}"
keys = [{{ id = "test", secret = "{}" }}]
{}
[stop]
lag_ms = 0
)",
                                             name,
                                             endpoint,
                                             backEnd.reachedAt(),
                                             member->operators.address(),
                                             OperatorsKey,
                                             member->work.address(),
                                             LinkSecret,
                                             platformSection(member->platformRelay ? member->platformRelay->address() : platform_->work.address()));
    member->command.arguments = {"--settings", writeFile(name + ".toml", settings)};
    return member;
}

void Deployment::registerInstance(const Member &member, const std::string &role, const std::string &endpoint)
{
    CallerRequest request;
    request.method = "PUT";
    request.path = "/instances/" + member.name;
    request.body = Json{
        {"role", role},
        {"endpoint", endpoint},
        {"address", member.reachedAt()},
        {"operators", member.operators.address()},
        {"data_centre", "north"},
        {"leaving",
         false}}.dump();
    require(caller.call(platform_->work.address(), request).status == 200, "the platform does not take " + member.name);
}

void Deployment::waitForAnswer(const Member &member)
{
    const MonoTime end = MonoClock::now() + StartLimit;
    while (caller.get(member.work.address(), "/test/counts").status != 200) {
        require(MonoClock::now() < end, member.name + " does not answer");
        loop.runFor(PollPause);
    }
}

void Deployment::waitForService(const Member &entry)
{
    // Engines may be set to long answers; one piece is enough to see that it serves.
    CallerRequest probe = chatRequest(PayingKey, "guide", "probe", true);
    Json body = Json::parse(probe.body);
    body["max_tokens"] = 1;
    probe.body = body.dump();
    CallerRequest booking;
    booking.method = "GET";
    booking.path = "/services/bookings/probe";
    booking.key = PayingKey;
    const MonoTime end = MonoClock::now() + StartLimit;
    const auto isServed = [&] {
        const bool hasModel = caller.call(entry.work.address(), probe).status == 200;
        return hasModel && (!booking_ || caller.call(entry.work.address(), booking).status == 200);
    };
    while (!isServed()) {
        require(MonoClock::now() < end, entry.name + " does not serve");
        loop.runFor(PollPause);
    }
}

std::string Deployment::platformSection(const std::string &address) const
{
    return fmt::format("[platform]\ntable = \"{0}\"\nobjects = \"{0}\"\ninstances = \"{0}\"\npoll_interval_ms = {1}", address, options_.pollInterval.count());
}

std::string Deployment::writeFile(const std::string &name, const std::string &text) const
{
    std::string file = (folder_ / name).string();
    std::ofstream(file, std::ios::binary) << text;
    return file;
}

std::string Deployment::writeCtlSettings() const
{
    std::string addresses;
    for (const auto *members : {&entries_, &agents_}) {
        for (const MemberPtr &member : *members) {
            addresses += fmt::format("\"{}\", ", member->operators.address());
        }
    }
    return writeFile("magnoliactl.toml",
                     fmt::format("[operators]\naddresses = [{}]\nkey = \"{}\"\n{}\n", addresses, OperatorsKey, platformSection(platform_->work.address())));
}

void Deployment::printLogs() const
{
    for (const auto &file : boost::filesystem::directory_iterator(folder_)) {
        if (file.path().extension() != ".log") {
            continue;
        }
        const std::string text = readFile(file.path());
        const std::size_t from = text.size() > TailBytes ? text.size() - TailBytes : 0;
        std::cerr << "---- " << file.path().filename().string() << '\n' << text.substr(from) << '\n';
    }
}

} // namespace magnolia::path
