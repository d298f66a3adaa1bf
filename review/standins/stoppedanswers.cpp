// An entry gets SIGTERM while clients read answers that take them some tenths of a second.
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
constexpr std::size_t ClientCount = 16;
constexpr Duration ReadInterval = 25ms; ///< Of a client: about 0.7 Mbit/s, so that an answer takes it a second.
constexpr Duration StartInterval = 115ms; ///< Between the clients.
constexpr Duration StartTime = 2000ms;
constexpr Duration SteadyTime = 5000ms;
constexpr Duration Work = 1300ms;
constexpr Duration Deadline = 3000ms;
constexpr Duration SendsAfterStop = 2000ms; ///< Then the platform has missed the readiness twice and sends no new channels.
constexpr Duration TimeAfterStop = 9000ms;

struct Deployment {
    explicit Deployment(const CaseArguments &caseArguments) : arguments(caseArguments), record(arguments.record), store(loop.loop.get()), later(loop.loop.get())
    {
        store.put(adapters::ConfigTable, "config", configuration(false));
        for (const char *id : {"i-1", "i-2", "i-3"}) {
            Server::Options options{.id = id, .work = Work};
            options.onArrival = [this](const std::string &requestId, const std::string &) { passedOn.insert(requestId); };
            options.onRun = [this](const std::string &requestId) { run.insert(requestId); };
            options.answerBytes = [](const std::string &) { return DocumentBytes; };
            servers.push_back(std::make_unique<Server>(loop.loop.get(), std::move(options)));
            store.put(adapters::EndpointTable, id, servers.back()->row("ready", 1));
        }
        for (const char *name : {"entry-a", "entry-b"}) {
            entries.push_back(
                std::make_unique<Entry>(Entry::Options{.program = arguments.program, .folder = arguments.folder, .name = name, .store = store.address()}));
        }
        loop.runFor(StartTime);
        for (std::size_t index = 0; index < ClientCount; ++index) {
            fetch(index);
            loop.runFor(StartInterval);
        }
    }

    bool maySend() const
    {
        return !stoppedAt || MonoClock::now() < *stoppedAt + SendsAfterStop;
    }

    void fetch(std::size_t index)
    {
        if (!maySend()) {
            return;
        }
        const forward::Protocol protocol = adapters::platformProtocol();
        const std::string id = fmt::format("q{}-{}", index, ++sent);
        const std::string body = "book " + id;
        const std::string message = fmt::format("POST /a/x HTTP/1.1\r\nHost: h.example\r\n{}: {}\r\n{}: {}\r\nContent-Length: {}\r\n\r\n{}",
                                                protocol.requestId,
                                                id,
                                                protocol.deadline,
                                                Deadline.count(),
                                                body.size(),
                                                body);
        record.line("sent id=" + id);
        auto onEnd = [this, index, id, begin = MonoClock::now()](const SlowChannel &channel) {
            const auto took = std::chrono::duration_cast<Duration>(MonoClock::now() - begin);
            const bool isCut = !channel.isComplete() && passedOn.contains(id) && took < Deadline;
            cut += isCut ? 1 : 0;
            complete += channel.isComplete() && channel.status() == 200 ? 1 : 0;
            record.line(fmt::format("ended id={} status={} bytes={} complete={} after_ms={} run={}{}",
                                    id,
                                    channel.status(),
                                    channel.received(),
                                    channel.isComplete(),
                                    took.count(),
                                    run.contains(id),
                                    isCut ? " CUT" : ""));
            later.after(Duration(1), [this, index] { fetch(index); });
        };
        channels[index] = std::make_unique<SlowChannel>(
            loop.loop.get(),
            SlowChannel::Options{.entry = entries.front()->address(), .message = message, .readInterval = ReadInterval, .onEnd = std::move(onEnd)});
        if (!channels[index]->isOpen()) {
            record.line("not connected id=" + id);
            later.after(ReadInterval, [this, index] { fetch(index); });
        }
    }

    CaseArguments arguments;
    http::LoopFixture loop;
    Record record;
    adapters::StoreStandIn store;
    Later later;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Entry>> entries;
    std::map<std::size_t, std::unique_ptr<SlowChannel>> channels; ///< By client.
    std::set<std::string> passedOn;
    std::set<std::string> run;
    std::optional<MonoTime> stoppedAt;
    int sent = 0;
    int complete = 0;
    int cut = 0;
};

Verdict play(const CaseArguments &arguments)
{
    Deployment deployment(arguments);
    deployment.loop.runFor(SteadyTime);
    if (deployment.complete == 0 || deployment.cut > 0) {
        return Verdict::NotRun;
    }
    deployment.stoppedAt = MonoClock::now();
    if (arguments.hasTrouble) {
        deployment.record.line("SIGTERM to the entry");
        deployment.entries.front()->process().signal(SIGTERM);
    }
    deployment.loop.runFor(TimeAfterStop);
    const bool isRunning = deployment.entries.front()->process().isRunning();
    deployment.record.line(
        fmt::format("end: sent={} complete={} cut off={} the entry still runs={}", deployment.sent, deployment.complete, deployment.cut, isRunning));
    return deployment.cut > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace magnolia::review

int main(int argc, char **argv)
{
    return magnolia::review::runCase(argc, argv, &magnolia::review::play);
}
