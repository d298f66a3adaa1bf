// Clients send bodies in small chunks. Whether such a request is accepted depends on how many of its bytes the entry reads at once.
#include "rawpeer.h"
#include "smalldeployment.h"

#include <fmt/format.h>

namespace magnolia::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t BodyBytes = 14000;
constexpr std::size_t ChunkBytes = 4;
constexpr int Requests = 80;
constexpr Duration CallInterval = 50ms;
constexpr Duration SteadyTime = 5000ms;
constexpr int Denials = 5; ///< Allowed, and one in 500 besides.

struct Deployment {
    explicit Deployment(const CaseArguments &caseArguments) : arguments(caseArguments), record(arguments.record), store(loop.loop.get())
    {
        store.put(adapters::ConfigTable, "config", configuration(true));
        for (const char *id : {"i-1", "i-2", "i-3"}) {
            auto onArrival = [this, name = std::string(id)](const std::string &requestId, const std::string &body) {
                record.line(fmt::format("arrived id={} server={} body_bytes={}", requestId, name, body.size()));
            };
            auto onRun = [this](const std::string &requestId) {
                ++runs;
                record.line(fmt::format("run id={}", requestId));
            };
            servers.push_back(
                std::make_unique<Server>(loop.loop.get(), Server::Options{.id = id, .onArrival = std::move(onArrival), .onRun = std::move(onRun)}));
            store.put(adapters::EndpointTable, id, servers.back()->row("ready", 1));
        }
        entry = std::make_unique<Entry>(Entry::Options{.program = arguments.program, .folder = arguments.folder, .name = "entry-a", .store = store.address()});
        loop.runFor(SteadyTime);
    }

    std::string request(const std::string &id, std::size_t chunkBytes) const
    {
        const forward::Protocol protocol = adapters::platformProtocol();
        std::string message = fmt::format(
            "POST /a/x HTTP/1.1\r\nHost: h.example\r\n{}: {}\r\n{}: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", protocol.requestId, id, protocol.deadline);
        for (std::size_t sent = 0; sent < BodyBytes; sent += chunkBytes) {
            const std::size_t bytes = std::min(chunkBytes, BodyBytes - sent);
            message += fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'b'));
        }
        return message + "0\r\n\r\n";
    }

    /** @return the status, 0 if there was none. */
    int ask(const std::string &id, std::size_t chunkBytes)
    {
        http::RawCaller caller(loop.loop.get(), entry->address());
        record.line(fmt::format("sent id={} body_bytes={} chunk_bytes={}", id, BodyBytes, chunkBytes));
        caller.send(request(id, chunkBytes));
        loop.runUntil([&] { return caller.isClosed() || caller.received().find("\r\n\r\n") != std::string::npos; }, 3000ms);
        constexpr std::size_t StatusAt = 9; // After "HTTP/1.1 ".
        const int status = caller.received().size() > StatusAt ? std::stoi(caller.received().substr(StatusAt)) : 0;
        record.line(fmt::format("answered id={} status={}", id, status));
        return status;
    }

    CaseArguments arguments;
    http::LoopFixture loop;
    Record record;
    adapters::StoreStandIn store;
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<Entry> entry;
    int runs = 0;
};

Verdict play(const CaseArguments &arguments)
{
    Deployment deployment(arguments);
    constexpr int Ok = 200;
    constexpr int FirstClientError = 400;
    constexpr int FirstServerError = 500;
    if (deployment.ask("q0", BodyBytes) != Ok) {
        return Verdict::NotRun;
    }
    int denied = 0;
    for (int number = 1; number <= Requests; ++number) {
        const int status = deployment.ask("q" + std::to_string(number), arguments.hasTrouble ? ChunkBytes : BodyBytes);
        denied += status >= FirstClientError && status < FirstServerError ? 1 : 0;
        deployment.loop.runFor(CallInterval);
    }
    deployment.record.line(fmt::format("end: sent={} denied={} run={}", Requests, denied, deployment.runs - 1));
    return denied > Denials + Requests / 500 ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace magnolia::review

int main(int argc, char **argv)
{
    return magnolia::review::runCase(argc, argv, &magnolia::review::play);
}
