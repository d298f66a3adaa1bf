// A server reports that it drains. A heartbeat that it sent before, while it was cut off from the store, reaches the store seconds later.
#include "relay.h"
#include "smalldeployment.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>

namespace magnolia::review
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration HeartbeatInterval = 1200ms;
constexpr Duration HeartbeatTimeout = 900ms;
constexpr Duration DrainBound = 2000ms;
constexpr Duration CallInterval = 10ms;
constexpr Duration StartTime = 2000ms;
constexpr Duration SteadyTime = 5000ms;

// The server is cut off from the store for so long. What TCP holds of the heartbeat is sent again after 0.2, 0.6, 1.4, 3 and 6.2 s.
constexpr Duration CutTime = 3100ms;
constexpr Duration RetransmissionTime = 6200ms;
constexpr Duration EndAfterDraining = 3500ms; ///< The server goes on for the bound "and a little longer (at times many seconds)", and then exits.
constexpr Duration TimeAfterEnd = 2500ms;
constexpr Duration Work = 60ms;

/**
 * The part of the platform's store that takes the servers' heartbeats. A call that got no response is performed when it arrives. The row changes when more
 * than the sequence number changes.
 */
class Registrations
{
public:
    Registrations(event_base *loop, adapters::StoreStandIn &store, Record &record) : store_(store), record_(record)
    {
        server_ =
            http::HttpServer::listen(loop, {.address = "127.0.0.1:0"}, [this](const std::shared_ptr<http::Exchange> &exchange) { take(*exchange); }).value();
    }

    std::string address() const
    {
        return server_->address();
    }

private:
    void take(http::Exchange &exchange)
    {
        const nlohmann::json heartbeat = nlohmann::json::parse(exchange.body());
        const auto id = heartbeat.at("id").get<std::string>();
        const auto state = heartbeat.at("state").get<std::string>();
        const bool isChange = states_[id] != state;
        record_.line("heartbeat performed server=" + id + " state=" + state + " sequence=" + heartbeat.at("sequence").dump()
                     + (isChange ? " THE ROW CHANGES" : ""));
        if (isChange) {
            states_[id] = state;
            store_.put(adapters::EndpointTable, id, heartbeat.at("row").get<std::string>());
        }
        exchange.reply(200, {}, "");
    }

    adapters::StoreStandIn &store_;
    Record &record_;
    std::map<std::string, std::string> states_; ///< By server.
    std::unique_ptr<http::HttpServer> server_;
};

struct Deployment {
    explicit Deployment(const CaseArguments &caseArguments)
        : arguments(caseArguments)
        , record(arguments.record)
        , store(loop.loop.get())
        , later(loop.loop.get())
        , registrations(loop.loop.get(), store, record)
        , relay(loop.loop.get(), {.target = registrations.address()})
    {
        store.put(adapters::ConfigTable, "config", configuration(false));
        for (const char *id : {"i-stays-1", "i-stays-2", "i-leaves"}) {
            auto onArrival = [this, name = std::string(id)](const std::string &requestId, const std::string &) { onRequestArrived(name, requestId); };
            auto onRun = [this, name = std::string(id)](const std::string &requestId) { onRequestRun(name, requestId); };
            servers.push_back(std::make_unique<Server>(loop.loop.get(),
                                                       Server::Options{.id = id, .work = Work, .onArrival = std::move(onArrival), .onRun = std::move(onRun)}));
            straight.push_back(std::make_unique<http::HttpClient>(loop.loop.get(), http::HttpClient::Options{.address = registrations.address()}));
            beat(servers.size() - 1);
        }
        held = std::make_unique<http::HttpClient>(loop.loop.get(), http::HttpClient::Options{.address = relay.address()});
        for (const char *name : {"entry-a", "entry-b"}) {
            entries.push_back(
                std::make_unique<Entry>(Entry::Options{.program = arguments.program, .folder = arguments.folder, .name = name, .store = store.address()}));
            clients.push_back(std::make_unique<Client>(loop.loop.get(), entries.back()->address()));
        }
    }

    bool isLeaver(std::size_t server) const
    {
        return server + 1 == servers.size();
    }

    /** Each server writes its row with a sequence number that rises. While it is cut off, new connections don't come about. */
    void beat(std::size_t server)
    {
        later.after(HeartbeatInterval, [this, server] { beat(server); });
        if (isLeaver(server) && (isCutOff || hasEnded)) {
            return;
        }
        write(server, *straight[server]);
    }

    void write(std::size_t server, http::HttpClient &connection)
    {
        const std::string state = isLeaver(server) && isDraining ? "draining" : "ready";
        const int sequence = ++sequences[server];
        const std::string what = "server=" + servers[server]->id() + " state=" + state + " sequence=" + std::to_string(sequence);
        const nlohmann::json heartbeat{{"id", servers[server]->id()}, {"state", state}, {"sequence", sequence}, {"row", servers[server]->row(state, sequence)}};
        record.line("heartbeat sent " + what);
        connection.send({.method = "POST", .path = "/heartbeat", .body = heartbeat.dump(), .timeout = HeartbeatTimeout},
                        [this, state, what](const Result<http::Response> &done) {
                            record.line("heartbeat " + std::string(done ? "acknowledged " : "unanswered ") + what);
                            if (done && state == "draining" && !drainingSince) {
                                drainingSince = MonoClock::now();
                            }
                        });
    }

    void onRequestArrived(const std::string &server, const std::string &requestId)
    {
        const bool isLate = server == "i-leaves" && drainingSince && MonoClock::now() > *drainingSince + DrainBound;
        late += isLate ? 1 : 0;
        record.line("arrived id=" + requestId + " server=" + server + (isLate ? " LATER THAN THE BOUND" : ""));
    }

    void onRequestRun(const std::string &server, const std::string &requestId)
    {
        ++runs;
        record.line("run id=" + requestId + " server=" + server);
    }

    void sendRequests(Duration time)
    {
        const MonoTime end = MonoClock::now() + time;
        while (MonoClock::now() < end) {
            const std::string id = "q" + std::to_string(++sent);
            record.line("sent id=" + id);
            clients[sent % clients.size()]->send(id, "book " + id, [this, id](int status) {
                record.line("answered id=" + id + " status=" + std::to_string(status));
                answered += status == 200 ? 1 : 0;
                lost += status == 200 ? 0 : 1;
            });
            loop.runFor(CallInterval);
        }
    }

    CaseArguments arguments;
    http::LoopFixture loop;
    Record record;
    adapters::StoreStandIn store;
    Later later;
    Registrations registrations;
    standins::Relay relay;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<http::HttpClient>> straight; ///< By server.
    std::unique_ptr<http::HttpClient> held; ///< The leaving server's connection at the beginning of the cut.
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::unique_ptr<Client>> clients;
    int sequences[3] = {};
    bool isCutOff = false;
    bool isDraining = false;
    bool hasEnded = false;
    std::optional<MonoTime> drainingSince; ///< When the store acknowledged that it drains.
    std::size_t sent = 0;
    int answered = 0;
    int lost = 0; ///< Requests without the answer of a server.
    int runs = 0;
    int late = 0;
};

Verdict play(const CaseArguments &arguments)
{
    Deployment deployment(arguments);
    deployment.loop.runFor(StartTime);
    deployment.sendRequests(SteadyTime);
    if (deployment.answered == 0) {
        return Verdict::NotRun;
    }
    const std::size_t leaver = deployment.servers.size() - 1;
    if (arguments.hasTrouble) {
        deployment.record.line("the leaving server is cut off from the store");
        deployment.relay.faults().delay_ms = static_cast<int>(RetransmissionTime.count());
        deployment.write(leaver, *deployment.held);
        deployment.isCutOff = true;
    }
    deployment.sendRequests(CutTime);
    deployment.isCutOff = false;
    deployment.record.line("the cut has ended, if there was one; the server is told to stop");
    deployment.isDraining = true;
    deployment.write(leaver, *deployment.straight[leaver]);
    deployment.sendRequests(EndAfterDraining);
    deployment.record.line("the leaving server exits");
    deployment.hasEnded = true;
    deployment.servers[leaver]->end();
    deployment.store.remove(adapters::EndpointTable, "i-leaves");
    deployment.sendRequests(TimeAfterEnd);
    deployment.record.line("end: sent=" + std::to_string(deployment.sent) + " answered=" + std::to_string(deployment.answered)
                           + " run=" + std::to_string(deployment.runs) + " not answered by a server=" + std::to_string(deployment.lost)
                           + " at the draining server later than the bound=" + std::to_string(deployment.late));
    if (!deployment.drainingSince) {
        return Verdict::NotRun;
    }
    return deployment.late > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace magnolia::review

int main(int argc, char **argv)
{
    return magnolia::review::runCase(argc, argv, &magnolia::review::play);
}
