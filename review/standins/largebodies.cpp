// Clients send bodies of the largest size that the configuration allows, at the same time. The platform kills a process that exceeds its memory.
#include "smalldeployment.h"

#include <fmt/format.h>

#include <set>
#include <sstream>

namespace magnolia::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t MaxBodyBytes = 4194304; ///< As the configuration states.
constexpr std::size_t SmallBodyBytes = 600;
constexpr std::size_t Clients = 50;
constexpr std::size_t KeeperCount = 12; ///< Other clients, which send one small request after the other.
constexpr std::size_t MemoryLimitKb = 260000000 / 1024;
constexpr int LostAllowed = 3;
constexpr Duration SteadyTime = 5000ms;
constexpr Duration Work = 100ms;
constexpr Duration KeeperPause = 20ms;
constexpr Duration WatchInterval = 10ms;
constexpr Duration RestartDelay = 500ms;
constexpr Duration AnswerTime = 6000ms;

struct Deployment {
    explicit Deployment(const CaseArguments &caseArguments) : arguments(caseArguments), record(arguments.record), store(loop.loop.get()), later(loop.loop.get())
    {
        store.put(adapters::ConfigTable, "config", configuration(false));
        for (const char *id : {"i-1", "i-2", "i-3"}) {
            auto onArrival = [this, name = std::string(id)](const std::string &requestId, const std::string &body) {
                passedOn.insert(requestId);
                record.line(fmt::format("arrived id={} server={} body_bytes={}", requestId, name, body.size()));
            };
            auto onRun = [this](const std::string &requestId) {
                run.insert(requestId);
                record.line(fmt::format("run id={}", requestId));
            };
            servers.push_back(std::make_unique<Server>(loop.loop.get(),
                                                       Server::Options{.id = id, .work = Work, .onArrival = std::move(onArrival), .onRun = std::move(onRun)}));
            store.put(adapters::EndpointTable, id, servers.back()->row("ready", 1));
        }
        entry = std::make_unique<Entry>(Entry::Options{.program = arguments.program, .folder = arguments.folder, .name = "entry-a", .store = store.address()});
        loop.runFor(SteadyTime);
        for (std::size_t index = 0; index < Clients; ++index) {
            clients.push_back(std::make_unique<Client>(loop.loop.get(), entry->address()));
        }
        for (std::size_t index = 0; index < KeeperCount; ++index) {
            keepers.push_back(std::make_unique<Client>(loop.loop.get(), entry->address()));
            keep(index);
        }
        watch();
    }

    /** One small request on a kept channel, and so on. */
    void keep(std::size_t index)
    {
        const std::string id = fmt::format("k{}-{}", index, ++sent);
        record.line("sent id=" + id);
        keepers[index]->send(id, "book " + id, [this, index, id](int status) {
            record.line(fmt::format("answered id={} status={} passed_on={} run={}", id, status, passedOn.contains(id), run.contains(id)));
            lost += status == 0 && passedOn.contains(id) ? 1 : 0;
            lostRun += status == 0 && run.contains(id) ? 1 : 0;
            later.after(KeeperPause, [this, index] { keep(index); });
        });
    }

    /** As the platform does: a process over its memory is killed, and started again after a short delay. Only its anonymous memory is counted. */
    void watch()
    {
        later.after(WatchInterval, [this] { watch(); });
        const std::size_t used = entry->process().isRunning() ? entry->process().anonymousKb() : 0;
        peakKb = std::max(peakKb, used);
        if (used > MemoryLimitKb) {
            ++kills;
            record.line(fmt::format("the entry has {} kB of memory, its limit is {}: killed", used, MemoryLimitKb));
            entry->process().kill();
            later.after(RestartDelay, [this] { entry->start(); });
        }
    }

    /** Each client sends one request on its kept channel. @return how many were answered. */
    int round(const std::string &name, std::size_t bodyBytes)
    {
        int answered = 0;
        std::size_t ended = 0;
        for (std::size_t index = 0; index < Clients; ++index) {
            const std::string id = name + "-" + std::to_string(index);
            record.line(fmt::format("sent id={} body_bytes={}", id, bodyBytes));
            clients[index]->send(id, std::string(bodyBytes, 'b'), [&, id](int status) {
                record.line(fmt::format("answered id={} status={}", id, status));
                answered += status == 200 ? 1 : 0;
                lost += status == 0 && passedOn.contains(id) ? 1 : 0;
                lostRun += status == 0 && run.contains(id) ? 1 : 0;
                unanswered += status == 0 ? 1 : 0;
                ++ended;
            });
        }
        loop.runUntil([&] { return ended == Clients; }, AnswerTime);
        loop.runFor(Work);
        return answered;
    }

    CaseArguments arguments;
    http::LoopFixture loop;
    Record record;
    adapters::StoreStandIn store;
    Later later;
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<Entry> entry;
    std::vector<std::unique_ptr<Client>> clients;
    std::vector<std::unique_ptr<Client>> keepers;
    std::set<std::string> passedOn;
    std::set<std::string> run;
    std::size_t peakKb = 0;
    int kills = 0;
    int sent = 0;
    int lost = 0;
    int lostRun = 0;
    int unanswered = 0;
};

Verdict play(const CaseArguments &arguments)
{
    Deployment deployment(arguments);
    if (deployment.round("small", SmallBodyBytes) < static_cast<int>(Clients)) {
        return Verdict::NotRun;
    }
    deployment.lost = 0;
    deployment.lostRun = 0;
    deployment.unanswered = 0;
    const int answered = deployment.round("large", arguments.hasTrouble ? MaxBodyBytes : SmallBodyBytes);
    deployment.record.line(fmt::format("end: sent={} answered={} unanswered={} lost on kept channels={} of them run={} kills={} peak_kb={}",
                                       Clients,
                                       answered,
                                       deployment.unanswered,
                                       deployment.lost,
                                       deployment.lostRun,
                                       deployment.kills,
                                       deployment.peakKb));
    return deployment.lost > LostAllowed ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace magnolia::review

int main(int argc, char **argv)
{
    return magnolia::review::runCase(argc, argv, &magnolia::review::play);
}
