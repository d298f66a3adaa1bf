// Clients that open a channel for each request say so ("Connection: close") and fetch documents that don't fit into the send buffer of a socket at once.
// Others keep their channels and send small requests. The platform kills a process that exceeds its memory.
#include "smalldeployment.h"

#include "http/connection.h"
#include "http/socketaddress.h"

#include <fmt/format.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <map>
#include <set>

namespace magnolia::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t DocumentBytes = 600000;
constexpr std::size_t ReaderCount = 12; ///< Clients that fetch documents.
constexpr std::size_t KeeperCount = 24; ///< Clients that keep their channels.
constexpr std::size_t MemoryLimitKb = 260000000 / 1024;
constexpr int LostAllowed = 3;

// The links have small windows. A segment holds what it holds on a usual network; on the loopback interface it would be 64 KB.
constexpr int SegmentBytes = 1460;
constexpr int WindowBytes = 16384;
constexpr Duration StartTime = 2000ms;
constexpr Duration Work = 60ms;
constexpr Duration WatchInterval = 10ms;
constexpr Duration RestartDelay = 500ms;
constexpr Duration Pause = 100ms; ///< Of a client, between two requests.
constexpr Duration PlayTime = 90s;
constexpr Duration TimeAfterKill = 2000ms;

/** A client's channel for one request. It reads the answer as it comes. */
class OneRequestChannel
{
public:
    OneRequestChannel(event_base *loop, const std::string &entry, const std::string &message, std::function<void(std::size_t bytes)> onEnd)
        : onEnd_(std::move(onEnd))
    {
        const auto address = http::SocketAddress::parse(entry).value();
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof(SegmentBytes));
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &WindowBytes, sizeof(WindowBytes));
        if (::connect(fd, address.get(), address.length) != 0) {
            ::close(fd);
            return;
        }
        evutil_make_socket_nonblocking(fd);
        connection_ = http::Connection::adopt(loop, fd);
        connection_->setCallbacks(
            {.onData = [this](std::string_view data) { received_ += data.size(); }, .onEnd = [this](http::ConnectionEnd) { onEnd_(received_); }});
        connection_->send(message);
    }
    ~OneRequestChannel()
    {
        if (connection_ != nullptr) {
            connection_->setCallbacks({});
            connection_->close();
        }
    }
    OneRequestChannel(const OneRequestChannel &) = delete;
    OneRequestChannel &operator=(const OneRequestChannel &) = delete;

    bool isOpen() const
    {
        return connection_ != nullptr;
    }

private:
    std::shared_ptr<http::Connection> connection_;
    std::function<void(std::size_t)> onEnd_;
    std::size_t received_ = 0;
};

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

    /** One document, on a channel of its own or, without trouble, on one that the client keeps open until it has the whole answer. */
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
        auto onEnd = [this, index, id](std::size_t bytes) {
            record.line(fmt::format("fetched id={} bytes={}", id, bytes));
            fetched += bytes > DocumentBytes ? 1 : 0;
            later.after(Pause, [this, index] { fetch(index); });
        };
        record.line("sent id=" + id);
        readers[index] = std::make_unique<OneRequestChannel>(loop.loop.get(), entry->address(), message, std::move(onEnd));
        if (!readers[index]->isOpen()) {
            later.after(Pause, [this, index] { fetch(index); });
        } else if (!arguments.hasTrouble) {
            later.after(4 * Pause, [this, index, id] {
                readers[index].reset(); // The client has the answer and closes its channel.
                ++fetched;
                record.line("fetched and closed id=" + id);
                fetch(index);
            });
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
    std::map<std::size_t, std::unique_ptr<OneRequestChannel>> readers;
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
