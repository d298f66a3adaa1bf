#ifndef MAGNOLIA_PATH_DEPLOYMENT_H
#define MAGNOLIA_PATH_DEPLOYMENT_H

#include "caller.h"
#include "manifestdocument.h"
#include "process.h"
#include "relay.h"
#include "reservedport.h"
#include "testloop.h"

#include <boost/filesystem/path.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::path
{

struct DeploymentOptions {
    std::size_t entries = 2;
    std::size_t engines = 2;
    bool hasBooking = true;
    int pieces = 8; ///< Of each engine's answer.
    Duration pieceInterval{2};
    std::vector<std::string> engineArguments{}; ///< Further arguments of each standin-engine.
    std::vector<std::string> platformArguments{}; ///< Further arguments of the standin-platform.
    bool hasRelays = false; ///< Every connection between two processes goes through a relay, which can fail it.
    Duration stopLag{500}; ///< How long a stopping entry still takes work, for the balancer.
    Duration pollInterval{300}; ///< Of the manifest's head and of the list of instances.
    std::size_t maxBodyBytes = 64U << 10U; ///< Of a caller.
};

/** One process of a deployment, with the ports that stay its own when it is restarted. */
struct Member {
    std::string name;
    Process::Options command;
    ReservedPort work; ///< An entry's callers, an agent's links, a stand-in's only address.
    ReservedPort operators;
    std::unique_ptr<Process> process;
    std::unique_ptr<standins::Relay> relay; ///< Between an agent and its entries, or an endpoint and its agent.
    std::unique_ptr<standins::Relay> platformRelay; ///< Between a daemon and the platform.

    /** @return where the other processes reach it: its relay, or itself. */
    std::string reachedAt() const
    {
        return relay ? relay->address() : work.address();
    }
};

/** What a run of magnoliactl gave. */
struct CtlResult {
    int exitCode = -1;
    std::string output;
};

/**
 * A small deployment as separate processes on 127.0.0.1: platform, engines, booking service, agents, entries.
 *
 * Settings and logs are in a temporary folder of its own. When it ends, every process that it started is ended; if the
 * test has failed, the tails of the logs are printed first.
 *
 * @code
 * Deployment deployment({.entries = 1});
 * deployment.start();
 * const Call call = deployment.caller.call(deployment.entry(0).work.address(), chatRequest(PayingKey, "guide", "m1", true));
 * @endcode
 */
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Starts everything, applies standardManifest() and waits until each entry serves the model and the booking service. */
    void start();

    /** Applies a manifest by magnoliactl and waits until all live daemons report it. */
    CtlResult apply(const Json &manifest);
    CtlResult runCtl(const std::vector<std::string> &arguments);

    /** Runs several magnoliactl at once, as rival operators do. @return their results in the same order. */
    std::vector<CtlResult> runCtlAtOnce(const std::vector<std::vector<std::string>> &arguments);

    /** Writes a manifest into the deployment's folder. @return the file's name. */
    std::string writeManifest(const Json &document, const std::string &name = "manifest") const;

    /** Asks every entry and agent for its manifest version. @return by name; 0: none yet; no value for one that is silent. */
    std::map<std::string, std::uint64_t> versions();

    void startMember(Member &member);

    /** Waits until it has ended. @return the exit code; nothing if it still runs at the limit. */
    std::optional<int> waitForEnd(Member &member, Duration limit = Duration{20000});

    /** @return whether its /readyz said 200 within the limit. */
    bool waitForReady(const Member &member, Duration limit = Duration{20000});

    /** Adds a further engine with its agent to the running deployment; the manifest has to name it. */
    void addEngine();

    /**
     * Starts another agent for the same endpoint, on another instance, and takes the old one off the list.
     *
     * @return the old one, which goes on as it was.
     */
    std::unique_ptr<Member> replaceAgent(std::size_t index);

    Member &entry(std::size_t index)
    {
        return *entries_.at(index);
    }
    Member &agent(std::size_t index)
    {
        return *agents_.at(index);
    }
    Member &engine(std::size_t index)
    {
        return *engines_.at(index);
    }
    Member &booking()
    {
        return *booking_;
    }
    Member &platform()
    {
        return *platform_;
    }
    std::size_t entryCount() const
    {
        return entries_.size();
    }
    std::size_t agentCount() const
    {
        return agents_.size();
    }
    std::size_t engineCount() const
    {
        return engines_.size();
    }

    /** @return the agent beside the booking service. */
    Member &bookingAgent()
    {
        return *agents_.back();
    }

    /** Switches faults of a stand-in. @param faults as its `POST /test/faults` takes them. */
    void setFaults(const Member &standIn, const Json &faults);

    /** @return how often each marker's request has begun at all engines and the booking service. */
    std::map<std::string, int> timesBegun();

    /** @return how often a marker's request began, ended or was cancelled at all engines and the booking service. */
    int runs(const std::string &marker, const std::string &what);

    Json manifest;
    TestLoop loop;
    Caller caller{loop};

private:
    using MemberPtr = std::unique_ptr<Member>;

    std::unique_ptr<standins::Relay> makeRelay(const Member &target) const;
    MemberPtr makeMember(const std::string &name, const std::string &program) const;
    MemberPtr makeStandIn(const std::string &name, const std::string &program, const std::vector<std::string> &arguments) const;
    MemberPtr makeEngine(const std::string &name) const;
    MemberPtr makeEntry(const std::string &name) const;
    MemberPtr makeAgent(const std::string &name, const std::string &endpoint, const Member &backEnd) const;
    void registerInstance(const Member &member, const std::string &role, const std::string &endpoint);
    void waitForAnswer(const Member &member);
    void waitForService(const Member &entry);
    std::string platformSection(const std::string &address) const;
    std::string writeFile(const std::string &name, const std::string &text) const;
    std::string writeCtlSettings() const;
    void printLogs() const;

    DeploymentOptions options_;
    boost::filesystem::path folder_;
    MemberPtr platform_;
    MemberPtr booking_;
    std::vector<MemberPtr> engines_;
    std::vector<MemberPtr> agents_; ///< Those of the engines first, then that of the booking service.
    std::vector<MemberPtr> entries_;
    int ctlRuns_ = 0;
};

} // namespace magnolia::path

#endif
