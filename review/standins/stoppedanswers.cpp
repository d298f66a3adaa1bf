// An entry gets SIGTERM while clients read answers that take them some tenths of a second.
#include "smalldeployment.h"

#include "http/connection.h"
#include "http/socketaddress.h"

#include <fmt/format.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <map>
#include <set>

namespace magnolia::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t DocumentBytes = 600000;
constexpr std::size_t ClientCount = 16;
constexpr int SegmentBytes = 1460; ///< What a segment holds on a usual network; on the loopback interface it would be 64 KB.
constexpr int WindowBytes = 32768;
constexpr Duration ReadInterval = 25ms; ///< A client reads 32 KB at a time, about 10 Mbit/s: an answer takes it half a second.
constexpr Duration StartInterval = 115ms; ///< Between the clients.
constexpr Duration StartTime = 2000ms;
constexpr Duration SteadyTime = 5000ms;
constexpr Duration Work = 1300ms;
constexpr Duration Deadline = 3000ms;
constexpr Duration SendsAfterStop = 2000ms; ///< Then the platform has missed the readiness twice and sends no new channels.
constexpr Duration TimeAfterStop = 9000ms;

/** A client's channel for one request. It reads at the rate of its link. */
class SlowChannel
{
public:
    SlowChannel(event_base *loop, const std::string &entry, const std::string &message, std::function<void(const SlowChannel &)> onEnd)
        : onEnd_(std::move(onEnd)), readTimer_(loop, [this] { connection_->setReading(true); })
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
        connection_->setCallbacks({.onData = [this](std::string_view data) { onData(data); }, .onEnd = [this](http::ConnectionEnd) { end(); }});
        connection_->send(message);
    }
    ~SlowChannel()
    {
        if (connection_ != nullptr) {
            connection_->setCallbacks({});
            connection_->close();
        }
    }
    SlowChannel(const SlowChannel &) = delete;
    SlowChannel &operator=(const SlowChannel &) = delete;

    bool isOpen() const
    {
        return connection_ != nullptr;
    }
    bool hasBegun() const
    {
        return received_ > 0;
    }
    bool isComplete() const
    {
        return headBytes_ > 0 && received_ == headBytes_ + bodyBytes_;
    }
    std::size_t received() const
    {
        return received_;
    }
    int status() const
    {
        return status_;
    }

private:
    void onData(std::string_view data)
    {
        received_ += data.size();
        if (headBytes_ == 0) {
            head_.append(data);
            readHead();
        }
        if (isComplete()) {
            end();
            return;
        }
        connection_->setReading(false);
        readTimer_.start(ReadInterval);
    }

    void readHead()
    {
        constexpr std::string_view LengthField = "Content-Length: ";
        constexpr std::size_t StatusAt = 9; // After "HTTP/1.1 ".
        const std::size_t end = head_.find("\r\n\r\n");
        const std::size_t length = head_.find(LengthField);
        if (end == std::string::npos || length == std::string::npos) {
            return;
        }
        headBytes_ = end + 4;
        std::from_chars(head_.data() + StatusAt, head_.data() + head_.size(), status_);
        std::from_chars(head_.data() + length + LengthField.size(), head_.data() + head_.size(), bodyBytes_);
    }

    void end()
    {
        readTimer_.stop();
        if (const auto onEnd = std::exchange(onEnd_, nullptr)) {
            onEnd(*this);
        }
    }

    std::shared_ptr<http::Connection> connection_;
    std::function<void(const SlowChannel &)> onEnd_;
    http::Timer readTimer_;
    std::string head_;
    std::size_t headBytes_ = 0;
    std::size_t bodyBytes_ = 0;
    std::size_t received_ = 0;
    int status_ = 0;
};

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
        channels[index] = std::make_unique<SlowChannel>(loop.loop.get(), entries.front()->address(), message, std::move(onEnd));
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
