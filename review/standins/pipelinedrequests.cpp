// A client sends many short requests on one channel without waiting for the answers, as HTTP/1.1 allows. Other clients send one request after the other.
#include "smalldeployment.h"

#include "http/connection.h"
#include "http/socketaddress.h"

#include <fmt/format.h>

#include <set>

namespace magnolia::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t KeeperCount = 8;
constexpr int Pipelined = 4000;
constexpr std::string_view ShortRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"; ///< No route leads there: 404.
constexpr int LostAllowed = 3;
constexpr Duration StartTime = 2000ms;
constexpr Duration SteadyTime = 4000ms;
constexpr Duration Work = 300ms;
constexpr Duration TimeUntilPipelining = 150ms; ///< The channel's first request is at work then.
constexpr Duration AnswerTime = 10s;
constexpr Duration RestartDelay = 500ms;

struct Deployment {
    explicit Deployment(const CaseArguments &caseArguments) : arguments(caseArguments), record(arguments.record), store(loop.loop.get()), later(loop.loop.get())
    {
        store.put(adapters::ConfigTable, "config", configuration(false));
        for (const char *id : {"i-1", "i-2", "i-3"}) {
            Server::Options options{.id = id, .work = Work};
            options.onArrival = [this](const std::string &requestId, const std::string &) { passedOn.insert(requestId); };
            options.onRun = [this](const std::string &requestId) { run.insert(requestId); };
            servers.push_back(std::make_unique<Server>(loop.loop.get(), std::move(options)));
            store.put(adapters::EndpointTable, id, servers.back()->row("ready", 1));
        }
        entry = std::make_unique<Entry>(Entry::Options{.program = arguments.program, .folder = arguments.folder, .name = "entry-a", .store = store.address()});
        loop.runFor(StartTime);
        for (std::size_t index = 0; index < KeeperCount; ++index) {
            keepers.push_back(std::make_unique<Client>(loop.loop.get(), entry->address()));
            keep(index);
        }
    }

    /** One request on a kept channel, and so on. */
    void keep(std::size_t index)
    {
        const std::string id = fmt::format("k{}-{}", index, ++sent);
        record.line("sent id=" + id);
        keepers[index]->send(id, "book " + id, [this, index, id](int status) {
            record.line(fmt::format("answered id={} status={} passed_on={} run={}", id, status, passedOn.contains(id), run.contains(id)));
            answered += status == 200 ? 1 : 0;
            lost += status == 0 && passedOn.contains(id) ? 1 : 0;
            lostRun += status == 0 && run.contains(id) ? 1 : 0;
            later.after(Duration(1), [this, index] {
                if (!isOver) {
                    keep(index);
                }
            });
        });
    }

    void onPipelineData(std::string_view data)
    {
        for (const char letter : data) {
            matched = letter == StatusLine[matched] ? matched + 1 : (letter == StatusLine[0] ? 1 : 0);
            if (matched == StatusLine.size()) {
                ++pipelineAnswers;
                matched = 0;
            }
        }
    }

    /** The client of short requests: a request to a server first, and then the short ones, all at once or one after the other. */
    void sendShortRequests()
    {
        const forward::Protocol protocol = adapters::platformProtocol();
        pipeline = http::Connection::dial(loop.loop.get(), http::SocketAddress::parse(entry->address()).value());
        pipeline->setCallbacks({.onData = [this](std::string_view data) { onPipelineData(data); },
                                .onEnd = [this](http::ConnectionEnd) { record.line("the channel of the short requests ended"); }});
        loop.runFor(Duration(50));
        record.line("sent id=first");
        pipeline->send(fmt::format(
            "POST /a/x HTTP/1.1\r\nHost: h.example\r\n{}: first\r\n{}: 3000\r\nContent-Length: 4\r\n\r\nbook", protocol.requestId, protocol.deadline));
        loop.runFor(TimeUntilPipelining);
        if (arguments.hasTrouble) {
            record.line(fmt::format("sent short requests={} bytes={} at once", Pipelined, Pipelined * ShortRequest.size()));
            std::string all;
            for (int number = 0; number < Pipelined; ++number) {
                all.append(ShortRequest);
            }
            pipeline->send(all);
            loop.runUntil([this] { return pipelineAnswers == Pipelined + 1 || !pipeline->isOpen(); }, AnswerTime);
            return;
        }
        record.line(fmt::format("sent short requests={} one after the other", Pipelined));
        for (int number = 0; number < Pipelined && pipeline->isOpen(); ++number) {
            loop.runUntil([this, number] { return pipelineAnswers > number; }, AnswerTime);
            pipeline->send(ShortRequest);
        }
        loop.runUntil([this] { return pipelineAnswers == Pipelined + 1; }, AnswerTime);
    }

    static constexpr std::string_view StatusLine = "HTTP/1.1 ";

    CaseArguments arguments;
    http::LoopFixture loop;
    Record record;
    adapters::StoreStandIn store;
    Later later;
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<Entry> entry;
    std::vector<std::unique_ptr<Client>> keepers;
    std::shared_ptr<http::Connection> pipeline;
    std::size_t matched = 0; ///< Bytes of a status line that were received last.
    int pipelineAnswers = 0;
    std::set<std::string> passedOn;
    std::set<std::string> run;
    bool isOver = false;
    int sent = 0;
    int answered = 0;
    int lost = 0; ///< On kept channels: passed on, and the channel closed without an answer.
    int lostRun = 0;
};

Verdict play(const CaseArguments &arguments)
{
    Deployment deployment(arguments);
    deployment.loop.runFor(SteadyTime);
    if (deployment.answered == 0 || deployment.lost > 0) {
        return Verdict::NotRun;
    }
    deployment.sendShortRequests();
    deployment.loop.runFor(Work);
    const bool isRunning = deployment.entry->process().isRunning();
    if (!isRunning) {
        deployment.record.line("the entry has ended by itself; it is started again");
        deployment.loop.runFor(RestartDelay);
        deployment.entry->start();
    }
    deployment.isOver = true;
    deployment.loop.runFor(StartTime);
    deployment.record.line(
        fmt::format("end: sent={} answered={} answers on the channel of the short requests={} the entry went on={} lost on kept channels={} of "
                    "them run={}",
                    deployment.sent,
                    deployment.answered,
                    deployment.pipelineAnswers,
                    isRunning,
                    deployment.lost,
                    deployment.lostRun));
    return deployment.lost > LostAllowed ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace magnolia::review

int main(int argc, char **argv)
{
    return magnolia::review::runCase(argc, argv, &magnolia::review::play);
}
