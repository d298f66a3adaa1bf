#include "agentcrowd.h"

#include "http/httpclient.h"
#include "ticker.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <vector>

namespace magnolia::capacity
{

namespace
{

/** One agent of the crowd, with the links that it has accepted. */
class CrowdAgent
{
public:
    CrowdAgent(event_base *loop, std::uint32_t index, const AgentCrowd::Options &options) : endpoint_(fmt::format("crowd-{}", index)), chunks_(options.chunks)
    {
        wire::LinkOptions linkOptions;
        linkOptions.self = {.role = wire::Role::Agent, .instance = endpoint_, .dataCentre = "north", .endpoint = endpoint_, .incarnation = 1};
        linkOptions.keys = {options.key};
        auto listener =
            wire::LinkListener::listen(loop, "127.0.0.1:0", linkOptions, [this](std::unique_ptr<wire::Link> link) { return adopt(std::move(link)); });
        if (!listener) {
            std::fprintf(stderr, "capacity-crowd: %s\n", listener.error().detail.c_str());
            std::abort();
        }
        listener_ = std::move(*listener);
    }

    const std::string &endpoint() const
    {
        return endpoint_;
    }

    std::string address() const
    {
        return listener_->address();
    }

    void reportLoad()
    {
        wire::LoadReport report;
        report.endpoint = endpoint_;
        report.incarnation = 1;
        report.limit = Limit;
        report.serving = true;
        report.loaded = {"assistant@1", "assistant/fitter@1"};
        report.manifestVersion = head_.version;
        for (const auto &[number, link] : links_) {
            link->send(report);
        }
    }

private:
    static constexpr std::uint32_t Limit = 64;

    wire::Link::Callbacks adopt(std::unique_ptr<wire::Link> link)
    {
        const std::uint64_t number = nextLink_++;
        links_.emplace(number, std::move(link));
        return {
            .onReady = {},
            .onMessage = [this, number](wire::Message &&message) { receive(number, message); },
            .onClosed = [this, number](const Failure & /*failure*/) { links_.erase(number); },
        };
    }

    void receive(std::uint64_t number, const wire::Message &message)
    {
        if (const auto *dispatch = std::get_if<wire::Dispatch>(&message)) {
            answer(*links_.at(number), *dispatch);
        }
        if (const auto *head = std::get_if<wire::ManifestHead>(&message)) {
            head_ = *head;
        }
        if (const auto *request = std::get_if<wire::ChunkRequest>(&message)) {
            links_.at(number)->send(wire::ChunkData{.hash = request->hash, .data = {}});
        }
    }

    void answer(wire::Link &link, const wire::Dispatch &dispatch)
    {
        for (std::uint32_t index = dispatch.resumeAfter; index < chunks_; ++index) {
            link.send(wire::Chunk{.id = dispatch.id, .index = index, .data = R"({"choices":[{"index":0,"delta":{"content":"word "}}]})"});
        }
        wire::Finish finish;
        finish.id = dispatch.id;
        finish.verdict = Verdict::Ran;
        finish.status = 200;
        finish.contentType = "text/event-stream";
        finish.chunks = chunks_;
        link.send(finish);
    }

    std::string endpoint_;
    std::uint32_t chunks_;
    std::unique_ptr<wire::LinkListener> listener_;
    std::map<std::uint64_t, std::unique_ptr<wire::Link>> links_;
    std::uint64_t nextLink_ = 0;
    wire::ManifestHead head_;
};

} // namespace

class AgentCrowd::Impl
{
public:
    Impl(event_base *loop, const Options &options)
        : platform_(loop, {.address = options.platform})
        // The reports of the crowd are spread over the second, as those of real agents are.
        , ticker_(loop, std::chrono::microseconds(MicrosecondsPerSecond / std::max(1U, options.count)), [this] { reportNext(); })
    {
        for (std::uint32_t index = 0; index < options.count; ++index) {
            agents_.push_back(std::make_unique<CrowdAgent>(loop, index, options));
            registerAgent(*agents_.back());
        }
    }

private:
    static constexpr std::uint32_t MicrosecondsPerSecond = 1'000'000;

    void registerAgent(const CrowdAgent &agent)
    {
        const nlohmann::json entry = {
            {"name", agent.endpoint()},
            {"role", "agent"},
            {"endpoint", agent.endpoint()},
            {"address", agent.address()},
            {"data_centre", "north"},
            {"leaving", false},
        };
        platform_.send({.method = "PUT", .path = "/instances/" + agent.endpoint(), .body = entry.dump()}, [this](const Result<http::Response> &response) {
            if (!response || response->status != Ok) {
                std::fprintf(stderr, "capacity-crowd: the platform refused a registration\n");
                std::abort();
            }
            if (++registered_ == agents_.size()) {
                std::printf("ready\n");
                std::fflush(stdout);
            }
        });
    }

    void reportNext()
    {
        if (agents_.empty()) {
            return;
        }
        agents_[next_ % agents_.size()]->reportLoad();
        ++next_;
    }

    static constexpr int Ok = 200;

    http::HttpClient platform_;
    std::vector<std::unique_ptr<CrowdAgent>> agents_;
    std::size_t registered_ = 0;
    std::size_t next_ = 0;
    Ticker ticker_;
};

AgentCrowd::AgentCrowd(event_base *loop, const Options &options) : impl_(std::make_unique<Impl>(loop, options)) {}

AgentCrowd::~AgentCrowd() = default;

} // namespace magnolia::capacity
