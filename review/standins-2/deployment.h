#ifndef MAGNOLIA_REVIEW_DEPLOYMENT_H
#define MAGNOLIA_REVIEW_DEPLOYMENT_H

#include "httpstandin.h"
#include "loopfixture.h"
#include "platformtables.h"
#include "process.h"
#include "protocolnames.h"
#include "reservedport.h"
#include "storestandin.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::review
{

/** What a case writes down: lines with the time since its start. */
class Record
{
public:
    template<typename... Parts>
    void write(const Parts &...parts)
    {
        const std::lock_guard lock(mutex_);
        const auto since = std::chrono::duration_cast<Duration>(MonoClock::now() - start_).count();
        ((std::cout << since << " ms ") << ... << parts) << std::endl;
    }

private:
    std::mutex mutex_;
    MonoTime start_ = MonoClock::now();
};

/** @return a setting of the run script. */
inline std::string fromEnvironment(const char *name)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): nobody sets it
    if (value == nullptr) {
        throw std::runtime_error(std::string(name) + " is not set");
    }
    return value;
}

inline bool hasTrouble()
{
    return fromEnvironment("TROUBLE") != "0";
}

/**
 * One entry as a process of its own, with the settings of a small deployment, beside a stand-in of the platform's store.
 *
 * The operators' configuration is the sample of the decoder's tests: streams that may be resumed under /x/ of a.example with the key k1, and requests
 * without a key that may run once under /y/, both on the service s2, the streams mostly on s1.
 */
struct Deployment : http::LoopFixture {
    Deployment()
    {
        store.put(adapters::ConfigTable, "config", sampleConfig());
        writeSettings();
        entry = std::make_unique<path::Process>(path::Process::Options{
            .program = fromEnvironment("ROOT") + "/target/magnolia-forward-entry", .arguments = {"--settings", settings}, .logFile = folder + "/entry.log"});
    }

    void putEndpoint(const std::string &id, const std::string &service, const std::string &address, int sequence = 1)
    {
        store.put(adapters::EndpointTable, id, registration(service, address, sequence));
    }

    static std::string registration(const std::string &service, const std::string &address, int sequence)
    {
        return R"({"service":")" + service + R"(","address":")" + address
            + R"(","zone":"north","version":1,"slots":12,"state":"ready","cold_remaining_ms":0,"sequence":)" + std::to_string(sequence) + "}";
    }

    /** Runs the loop, on which the store is, until the entry says that it is ready. @return false if it does not. */
    bool isReadyInTime()
    {
        return runUntil([this] {
            Message answer;
            std::thread asking([&] {
                try {
                    Connection connection(Connection::dial(readiness.address(), 1));
                    connection.send("GET " + protocol.healthPath + " HTTP/1.1\r\nHost: entry\r\n\r\n");
                    connection.readHead(answer);
                } catch (const std::runtime_error &) {
                    // It does not listen yet.
                }
            });
            runFor(Duration(150));
            asking.join();
            constexpr int Ok = 200;
            return answer.status() == Ok;
        });
    }

    /** @return the bytes of a request with the headers that all clients send. */
    std::string request(const std::string &firstLine, const std::string &id, const std::string &body, int timeoutMs) const
    {
        return firstLine + "\r\nHost: a.example\r\n" + protocol.requestId + ": " + id + "\r\n" + protocol.apiKey + ": k1\r\n" + protocol.deadline + ": "
            + std::to_string(timeoutMs) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /** Sends a request on a connection of its own. @return the answer as far as it came. */
    Message call(const std::string &bytes) const
    {
        constexpr int PatienceSeconds = 12;
        Connection connection(Connection::dial(callers.address(), PatienceSeconds));
        connection.send(bytes);
        Message answer;
        if (connection.readHead(answer)) {
            connection.readAnswerBody(answer);
        }
        return answer;
    }

    forward::Protocol protocol = adapters::platformProtocol();
    adapters::StoreStandIn store{loop.get()};
    path::ReservedPort callers;
    path::ReservedPort readiness;
    path::ReservedPort links;
    path::ReservedPort metrics;
    std::string folder = fromEnvironment("WORK");
    std::string settings = folder + "/entry.toml";
    std::unique_ptr<path::Process> entry;
    Record record;

private:
    static std::string sampleConfig()
    {
        std::ifstream file(fromEnvironment("ROOT") + "/platform/tests/decodertest.cpp");
        const std::string source{std::istreambuf_iterator<char>(file), {}};
        const std::string begin = "Config = R\"(";
        const std::size_t at = source.find(begin) + begin.size();
        return source.substr(at, source.find(")\"", at) - at);
    }

    void writeSettings() const
    {
        std::ofstream file(settings);
        file << "[instance]\nname = \"edge-north-1\"\ndata_centre = \"north\"\n"
             << "[callers]\naddress = \"" << callers.address() << "\"\n"
             << "[readiness]\naddress = \"" << readiness.address() << "\"\n"
             << "[links]\naddress = \"" << links.address() << "\"\nkeys = [{ id = \"platform\", secret = \"entries-of-one-installation\" }]\n"
             << "[store]\naddress = \"" << store.address() << "\"\n"
             << "[endpoints]\nrenewal_interval_ms = 1200\n"
             << "[keys]\nrevocation_bound_ms = 5000\nfail_closed = true\n"
             << "[retries]\nshare = 0.2\nconstant = 90\nwindow_s = 10\n"
             << "[memory]\nlimit_mb = 260\n"
             << "[grace]\ntime_s = 8\n"
             << "[metrics]\naddress = \"" << metrics.address() << "\"\n"
             << "[log]\nlevel = \"info\"\nformat = \"json\"\n";
    }
};

} // namespace magnolia::review

#endif
