// Clients that open a channel for each request say so ("Connection: close") and fetch documents over links with small windows.
// Others keep their channels and send small requests. The platform kills a process that exceeds its memory.
#include "slowchannel.h"
#include "smalldeployment.h"

#include <fmt/format.h>

#include <map>
#include <set>

namespace magnolia::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t DocumentBytes = 80000;
constexpr std::size_t ReaderCount = 60; ///< Clients that fetch documents.
constexpr std::size_t KeeperCount = 24; ///< Clients that keep their channels.
constexpr std::size_t MemoryLimitKb = 260000000 / 1024;
constexpr int LostAllowed = 3;

constexpr Duration StartTime = 2000ms;
constexpr Duration Work = 60ms;
constexpr Duration WatchInterval = 10ms;
constexpr Duration RestartDelay = 500ms;
constexpr Duration ReadInterval = 10ms; ///< Of a client that fetches documents: about 1.8 Mbit/s.
constexpr Duration Pause = 100ms; ///< Of a client, between two requests.
constexpr Duration PlayTime = 90s;
constexpr Duration TimeAfterKill = 2000ms;

struct Deployment {
    explicit Deployment(const CaseArguments &caseArguments) : arguments(caseArguments), record(arguments.record), store(loop.loop.get()), later(loop.loop.get())
    {
        store.put(adapters::ConfigTable, "config", configuration(false));
        for (const char *id : {"i-1", "i-2", "i-3"}) {
            Server::Options options{.id = id, .work = Work};
            options.onArrival = [this](const std::string &requestId, const std::string &) { passedOn.insert(requestId); };
            options.onRun = [this](const std::string &requestId) { run.insert(requestId); };
            options.answerBytes = [](const std::string &body) { return body.starts_with("document") ? DocumentBytes : std::size_t(0); };
            servers.push_back(std::make_unique<Server>(loop.loop.get(), std::move(options)));
            store.put(adapters::EndpointTable, id, servers.back()->row("ready", 1));
        }
        entry = std::make_unique<Entry>(Entry::Options{.program = arguments.program, .folder = arguments.folder, .name = "entry-a", .store = store.address()});
        loop.runFor(StartTime);
        for (std::size_t index = 0; index < KeeperCount; ++index) {
            keepers.push_back(std::make_unique<Client>(loop.loop.get(), entry->address()));
            keep(index);
        }
        for (std::size_t index = 0; index < ReaderCount; ++index) {
            fetch(index);
        }
        watch();
    }

    /** As the platform does: a process over its memory is killed, and started again after a short delay. Only its anonymous memory is counted. */
    void watch()
    {
        later.after(WatchInterval, [this] { watch(); });
        const std::size_t used = entry->process().isRunning() ? entry->process().anonymousKb() : 0;
        peakKb = std::max(peakKb, used);
        if (used > MemoryLimitKb && kills == 0) {
            ++kills;
            record.line(fmt::format("the entry has {} kB of memory, its limit is {}: killed", used, MemoryLimitKb));
            entry->process().kill();
            later.after(RestartDelay, [this] { entry->start(); });
        }
    }

    /** One small request on a kept channel, and so on. */
    void keep(std::size_t index)
    {
        const std::string id = fmt::format("k{}-{}", index, ++sent);
        record.line("sent id=" + id);
        keepers[index]->send(id, "book " + id, [this, index, id](int status) {
            record.line(fmt::format("answered id={} status={} passed_on={} run={}", id, status, passedOn.contains(id), run.contains(id)));
            answered += status == 200 ? 1 : 0;
            lost += status == 0 && passedOn.contains(id) ? 1 : 0;
            lostRun += status == 0 && run.contains(id) ? 1 : 0;
            later.after(Pause, [this, index] { keep(index); });
        });
    }

    /** One document, on a channel of its own, which the client closes when it has the answer. It says so beforehand, or doesn't (without trouble). */
    void fetch(std::size_t index)
    {
        const forward::Protocol protocol = adapters::platformProtocol();
        const std::string id = fmt::format("d{}-{}", index, ++sent);
        const std::string body = "document " + id;
        const std::string message = fmt::format("POST /a/x HTTP/1.1\r\nHost: h.example\r\n{}: {}\r\n{}: 3000\r\n{}Content-Length: {}\r\n\r\n{}",
                                                protocol.requestId,
                                                id,
                                                protocol.deadline,
                                                arguments.hasTrouble ? "Connection: close\r\n" : "",
                                                body.size(),
                                                body);
        auto onEnd = [this, index, id](const SlowChannel &channel) {
            record.line(fmt::format("fetched id={} status={} bytes={} complete={}", id, channel.status(), channel.received(), channel.isComplete()));
            fetched += channel.isComplete() ? 1 : 0;
            later.after(Pause, [this, index] { fetch(index); });
        };
        record.line("sent id=" + id);
        readers[index] = std::make_unique<SlowChannel>(
            loop.loop.get(), SlowChannel::Options{.entry = entry->address(), .message = message, .readInterval = ReadInterval, .onEnd = std::move(onEnd)});
        if (!readers[index]->isOpen()) {
            later.after(Pause, [this, index] { fetch(index); });
        }
    }

    CaseArguments arguments;
    http::LoopFixture loop;
    Record record;
    adapters::StoreStandIn store;
    Later later;
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<Entry> entry;
    std::vector<std::unique_ptr<Client>> keepers;
    std::map<std::size_t, std::unique_ptr<SlowChannel>> readers; ///< By client.
    std::set<std::string> passedOn;
    std::set<std::string> run;
    std::size_t peakKb = 0;
    int sent = 0;
    int answered = 0;
    int fetched = 0;
    int kills = 0;
    int lost = 0; ///< On kept channels: passed on, and the channel closed without an answer.
    int lostRun = 0;
};

Verdict play(const CaseArguments &arguments)
{
    Deployment deployment(arguments);
    deployment.loop.runUntil([&] { return deployment.kills > 0; }, PlayTime);
    deployment.loop.runFor(TimeAfterKill);
    deployment.record.line(fmt::format("end: sent={} answered={} documents fetched={} kills={} peak_kb={} lost on kept channels={} of them run={}",
                                       deployment.sent,
                                       deployment.answered,
                                       deployment.fetched,
                                       deployment.kills,
                                       deployment.peakKb,
                                       deployment.lost,
                                       deployment.lostRun));
    if (deployment.answered == 0 || deployment.fetched == 0) {
        return Verdict::NotRun;
    }
    return deployment.lost > LostAllowed ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace magnolia::review

int main(int argc, char **argv)
{
    return magnolia::review::runCase(argc, argv, &magnolia::review::play);
}
