#include "caller.h"

#include <sstream>

namespace magnolia::path
{

namespace
{

constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view DoneEvent = "[DONE]";

// @return the texts of all "data:" lines.
std::vector<std::string> eventsOf(const std::string &body)
{
    std::vector<std::string> events;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(DataPrefix)) {
            events.push_back(line.substr(DataPrefix.size()));
        }
    }
    return events;
}

std::string textOf(const Json &message)
{
    const auto content = message.find("content");
    return content != message.end() && content->is_string() ? content->get<std::string>() : std::string();
}

std::string contentOfChunk(const Json &chunk)
{
    if (!chunk.is_object() || !chunk.contains("choices") || chunk["choices"].empty()) {
        return {};
    }
    const Json &choice = chunk["choices"][0];
    return textOf(choice.value(choice.contains("delta") ? "delta" : "message", Json::object()));
}

} // namespace

std::string Call::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string Call::content() const
{
    if (!header("content-type").starts_with("text/event-stream")) {
        return contentOfChunk(Json::parse(body, nullptr, false));
    }
    std::string text;
    for (const std::string &event : eventsOf(body)) {
        text += contentOfChunk(Json::parse(event, nullptr, false));
    }
    return text;
}

bool Call::isDone() const
{
    const auto events = eventsOf(body);
    return !events.empty() && events.back() == DoneEvent;
}

std::string Call::error(const std::string &member) const
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json["error"].contains(member)) {
        return {};
    }
    const Json &value = json["error"][member];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

CallerRequest chatRequest(std::string_view key, std::string_view model, std::string_view marker, bool stream)
{
    CallerRequest request;
    request.key = key;
    request.headers["content-type"] = "application/json";
    request.body = Json{{"model", model}, {"stream", stream}, {"messages", Json::array({{{"role", "user"}, {"content", marker}}})}}.dump();
    return request;
}

std::string expectedContent(std::string_view marker, int pieces)
{
    std::string text;
    for (int piece = 0; piece < pieces; ++piece) {
        text += std::string(marker) + ":" + std::to_string(piece) + " ";
    }
    return text;
}

Caller::Caller(TestLoop &loop) : loop_(loop) {}

Caller::~Caller() = default;

CallPtr Caller::start(const std::string &address, const CallerRequest &request)
{
    auto call = std::make_shared<Call>();
    http::HttpClient::Request sent{.method = request.method,
                                   .path = request.path,
                                   .headers = request.headers,
                                   .body = request.body,
                                   .timeout = request.timeout,
                                   .silenceTimeout = Duration{0}};
    if (!request.key.empty()) {
        sent.headers["authorization"] = "Bearer " + request.key;
    }
    const auto onHeaders = [call](int status, const http::Headers &headers) {
        call->status = status;
        call->headers = headers;
    };
    const auto onData = [call](std::string_view data) { call->body += data; };
    const auto onEnd = [call](const Result<void> &result) {
        call->isEnded = true;
        call->isWhole = result.has_value();
        call->failure = result ? std::string() : result.error().code.message() + " " + result.error().detail;
    };
    call->id = client(address).stream(std::move(sent), {.onHeaders = onHeaders, .onData = onData, .onEnd = onEnd});
    return call;
}

Call Caller::call(const std::string &address, const CallerRequest &request)
{
    const CallPtr call = start(address, request);
    loop_.runUntil([&call] { return call->isEnded; }, request.timeout + Duration{1000});
    return *call;
}

void Caller::hangUp(const std::string &address, const CallPtr &call)
{
    client(address).cancel(call->id);
}

Call Caller::get(const std::string &address, const std::string &path)
{
    CallerRequest request;
    request.method = "GET";
    request.path = path;
    request.timeout = Duration{2000};
    return call(address, request);
}

Call Caller::post(const std::string &address, const std::string &path, const Json &body)
{
    CallerRequest request;
    request.path = path;
    request.body = body.dump();
    request.timeout = Duration{2000};
    return call(address, request);
}

http::HttpClient &Caller::client(const std::string &address)
{
    auto &known = clients_[address];
    if (!known) {
        known = std::make_unique<http::HttpClient>(loop_.get(), http::HttpClient::Options{.address = address});
    }
    return *known;
}

} // namespace magnolia::path
