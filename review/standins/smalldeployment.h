#ifndef MAGNOLIA_REVIEW_SMALLDEPLOYMENT_H
#define MAGNOLIA_REVIEW_SMALLDEPLOYMENT_H

#include "base64.h"
#include "childprocess.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "http/timer.h"
#include "loopfixture.h"
#include "platformtables.h"
#include "protocolnames.h"
#include "reservedport.h"
#include "storestandin.h"

#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** Stand-ins of a small deployment: entries as processes of their own, servers, clients and the platform's store in this process. */
namespace magnolia::review
{

/** What the exit code of a case says. */
enum class Verdict : int {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/** Names of the platform's fields, put together from their words. */
inline std::string fieldName(std::string_view first, std::string_view second)
{
    return std::string(first) + "_" + std::string(second);
}

/** Writes what was sent, answered and run, with the time since the start. */
class Record
{
public:
    explicit Record(const std::string &file) : file_(file) {}

    void line(const std::string &text)
    {
        file_ << sinceStart().count() << " ms " << text << "\n" << std::flush;
    }
    Duration sinceStart() const
    {
        return std::chrono::duration_cast<Duration>(MonoClock::now() - start_);
    }

private:
    std::ofstream file_;
    MonoTime start_ = MonoClock::now();
};

/** Calls functions later on the loop. */
class Later
{
public:
    explicit Later(event_base *loop) : loop_(loop) {}

    void after(Duration delay, std::function<void()> action)
    {
        timers_.push_back(std::make_unique<http::Timer>(loop_, std::move(action)));
        timers_.back()->start(delay);
    }

private:
    event_base *loop_;
    std::list<std::unique_ptr<http::Timer>> timers_;
};

/** An entry as a process of its own, with the settings that the deploy file's template gives it. */
class Entry
{
public:
    struct Options {
        std::string program{};
        std::string folder{};
        std::string name{};
        std::string store{};
    };

    explicit Entry(const Options &options) : settings_(options.folder + "/" + options.name + ".toml"), log_(options.folder + "/" + options.name + ".log")
    {
        std::ofstream file(settings_);
        file << "[instance]\nname = \"" << options.name << "\"\ndata_centre = \"hall-a\"\n"
             << "[callers]\naddress = \"" << callers_.address() << "\"\n"
             << "[readiness]\naddress = \"" << readiness_.address() << "\"\n"
             << "[links]\naddress = \"" << links_.address() << "\"\nkeys = [{ id = \"platform\", secret = \"entries-of-one-installation\" }]\n"
             << "[store]\naddress = \"" << options.store << "\"\n"
             << "[endpoints]\nrenewal_interval_ms = 1200\n"
             << "[keys]\nrevocation_bound_ms = 5000\nfail_closed = true\n"
             << "[retries]\nshare = 0.2\nconstant = 90\nwindow_s = 10\n"
             << "[grace]\ntime_s = 8\n"
             << "[metrics]\naddress = \"" << metrics_.address() << "\"\n"
             << "[log]\nlevel = \"info\"\nformat = \"json\"\n";
        file.close();
        program_ = options.program;
        start();
    }

    void start()
    {
        process_ = std::make_unique<ChildProcess>(program_, std::vector<std::string>{"--settings", settings_}, log_);
    }
    ChildProcess &process()
    {
        return *process_;
    }
    std::string address() const
    {
        return callers_.address();
    }
    std::string readyAddress() const
    {
        return readiness_.address();
    }

private:
    path::ReservedPort callers_;
    path::ReservedPort readiness_;
    path::ReservedPort links_;
    path::ReservedPort metrics_;
    std::string settings_;
    std::string log_;
    std::string program_;
    std::unique_ptr<ChildProcess> process_;
};

/** A sound server of the platform: runs what names it, states its load, answers others with "misdirected". */
class Server
{
public:
    struct Options {
        std::string id{};
        Duration work{20};
        std::function<void(const std::string &requestId, const std::string &body)> onArrival{}; ///< A whole request has reached it.
        std::function<void(const std::string &requestId)> onRun{}; ///< It begins to work on the request.
        std::function<std::size_t(const std::string &body)> answerBytes = [](const std::string &) { return std::size_t(0); }; ///< Added to the answer.
        std::size_t maxBodyBytes = 4U << 20U;
    };

    Server(event_base *loop, Options options) : options_(std::move(options)), later_(loop)
    {
        server_ = http::HttpServer::listen(loop,
                                           {.address = "127.0.0.1:0", .maxBodyBytes = options_.maxBodyBytes},
                                           [this](const std::shared_ptr<http::Exchange> &exchange) { handle(exchange); })
                      .value();
    }

    std::string address() const
    {
        return server_ == nullptr ? lastAddress_ : server_->address();
    }
    const std::string &id() const
    {
        return options_.id;
    }

    /** Ends as a process does: what is at work breaks off, and nobody listens any more. */
    void end()
    {
        queue_.clear();
        for (const auto &exchange : std::exchange(open_, {})) {
            exchange->abort();
        }
        if (server_ != nullptr) {
            lastAddress_ = server_->address();
        }
        server_.reset();
    }

    /** The row by which it registers. */
    std::string row(const std::string &state, int sequence) const
    {
        return R"({"service":"s","address":")" + address() + R"(","zone":"hall-a","version":1,"slots":6,"state":")" + state
            + R"(","cold_remaining_ms":0,"sequence":)" + std::to_string(sequence) + "}";
    }

private:
    static constexpr int Ok = 200;
    static constexpr int Misdirected = 421;
    static constexpr std::size_t Slots = 6;

    struct Work {
        std::shared_ptr<http::Exchange> exchange;
        std::string requestId;
    };

    static std::string lowerCase(std::string text)
    {
        for (char &letter : text) {
            letter = letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
        }
        return text;
    }

    static std::string headerOf(const http::Exchange &exchange, const std::string &name)
    {
        const auto found = exchange.headers().find(lowerCase(name));
        return found == exchange.headers().end() ? std::string() : found->second;
    }

    void handle(const std::shared_ptr<http::Exchange> &exchange)
    {
        if (exchange->path() == protocol_.livenessPath) {
            exchange->reply(Ok, {}, "{}");
            return;
        }
        const std::string requestId = headerOf(*exchange, protocol_.requestId);
        if (headerOf(*exchange, protocol_.expectedInstance) != options_.id) {
            exchange->reply(Misdirected, {{lowerCase(protocol_.requestId), requestId}, {lowerCase(protocol_.notRun), "1"}}, "");
            return;
        }
        open_.insert(exchange);
        options_.onArrival(requestId, std::string(exchange->body()));
        queue_.push_back({.exchange = exchange, .requestId = requestId});
        runNext();
    }

    /** Works on as many requests as it has slots; the others wait. */
    void runNext()
    {
        if (running_ >= Slots || queue_.empty()) {
            return;
        }
        const Work next = queue_.front();
        queue_.pop_front();
        ++running_;
        options_.onRun(next.requestId);
        later_.after(options_.work, [this, next] {
            --running_;
            if (open_.erase(next.exchange) == 0) {
                return; // The server has ended.
            }
            next.exchange->reply(Ok,
                                 {{lowerCase(protocol_.requestId), next.requestId},
                                  {lowerCase(protocol_.answerProof), "proof-" + options_.id},
                                  {lowerCase(protocol_.load), std::to_string(running_) + "," + std::to_string(queue_.size()) + "," + std::to_string(Slots)}},
                                 "done by " + options_.id + std::string(options_.answerBytes(std::string(next.exchange->body())), '.'));
            runNext();
        });
    }

    Options options_;
    forward::Protocol protocol_ = adapters::platformProtocol();
    Later later_;
    std::set<std::shared_ptr<http::Exchange>> open_; ///< Not answered.
    std::deque<Work> queue_;
    std::size_t running_ = 0;
    std::string lastAddress_;
    std::unique_ptr<http::HttpServer> server_;
};

/** A configuration with one route, to service "s", whose requests may run once at most, or be repeated. */
inline std::string configuration(bool isRepeatable, int version = 1)
{
    const std::string kind = isRepeatable ? "idempotent" : "non" + fieldName("", "idempotent");
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r","host":"h.example",")" + fieldName("path", "prefix") + R"(":"/a/","kind":")"
        + kind + R"(","timeout_ms":3000,"priority":2,"service":"s","max_attempts":2,"public":true}],)"
        + R"("services":[{"name":"s","health_path":"/healthz","max_connections":100}],)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

/** A client of one entry that keeps its channels. */
class Client
{
public:
    Client(event_base *loop, const std::string &entry) : client_(loop, {.address = entry, .maxConnections = 64}) {}

    void send(const std::string &requestId, const std::string &body, std::function<void(int status)> done)
    {
        const forward::Protocol protocol = adapters::platformProtocol();
        http::HttpClient::Request request{.method = "POST", .path = "/a/x", .body = body, .timeout = Duration(3000)};
        request.headers["host"] = "h.example";
        request.headers[protocol.requestId] = requestId;
        request.headers[protocol.deadline] = "3000";
        client_.send(std::move(request), [done = std::move(done)](const Result<http::Response> &response) { done(response ? response->status : 0); });
    }

private:
    http::HttpClient client_;
};

/** What run.sh hands to a case. */
struct CaseArguments {
    std::string program{}; ///< The entry's program.
    std::string folder{}; ///< For settings and logs.
    std::string record{};
    bool hasTrouble = true;
};

/** Runs a case. The fixtures of the project's tests have to be used within a test case of Boost.Test. */
int runCase(int argc, char **argv, Verdict (*play)(const CaseArguments &));

} // namespace magnolia::review

#endif
