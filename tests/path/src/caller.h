#ifndef MAGNOLIA_PATH_CALLER_H
#define MAGNOLIA_PATH_CALLER_H

#include "http/httpclient.h"
#include "testloop.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::path
{

using Json = nlohmann::json;

/** What a caller sends. */
struct CallerRequest {
    std::string method = "POST";
    std::string path = "/v1/chat/completions";
    std::string key; ///< Bearer key; empty: no Authorization header.
    http::Headers headers;
    std::string body;
    Duration timeout{20000};
};

/** A call under way, and what has come of it so far. */
struct Call {
    int status = 0; ///< 0 until the answer's headers are there.
    http::Headers headers;
    std::string body;
    bool isEnded = false;
    bool isWhole = false; ///< Set with isEnded: the answer came to its proper end.
    std::string failure; ///< Why it is not whole.
    http::HttpClient::CallId id = 0;

    std::string header(const std::string &name) const;

    /** @return the answer's text: of a chat completion, streamed or whole. */
    std::string content() const;

    /** @return whether a stream's last event was `[DONE]`. */
    bool isDone() const;

    /** @return the error object's member, e.g. "code" or "verdict"; empty if there is none. */
    std::string error(const std::string &member) const;
};

using CallPtr = std::shared_ptr<Call>;

/** A chat request whose answer can be told from all others by its marker. */
CallerRequest chatRequest(std::string_view key, std::string_view model, std::string_view marker, bool stream);

/** @return the whole text of the stand-in engine's answer to a marker. @param pieces as the engine was started with. */
std::string expectedContent(std::string_view marker, int pieces);

/** Concurrent HTTP callers on one loop. */
class Caller
{
public:
    explicit Caller(TestLoop &loop);
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /** Starts a call; it goes on whenever the loop turns. */
    CallPtr start(const std::string &address, const CallerRequest &request);

    /** Makes a call and runs the loop until it has ended. */
    Call call(const std::string &address, const CallerRequest &request);

    /** Closes the connection under a call, as a caller who hangs up does. */
    void hangUp(const std::string &address, const CallPtr &call);

    Call get(const std::string &address, const std::string &path);
    Call post(const std::string &address, const std::string &path, const Json &body);

private:
    http::HttpClient &client(const std::string &address);

    TestLoop &loop_;
    std::map<std::string, std::unique_ptr<http::HttpClient>> clients_;
};

} // namespace magnolia::path

#endif
