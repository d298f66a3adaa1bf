#include "store/httpobjectstore.h"

#include "http/httpclient.h"
#include "replyreader.h"

#include <optional>
#include <utility>

namespace magnolia::store
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

std::string objectPath(const std::string &name)
{
    return "/objects/" + percentEncoded(name);
}

Result<std::optional<std::string>> parseGetResponse(Result<http::Response> response)
{
    if (!response) {
        return tl::unexpected<Failure>(response.error());
    }
    if (response->status == StatusNotFound) {
        return std::nullopt;
    }
    if (response->status != StatusOk) {
        return tl::unexpected<Failure>(unexpectedStatus(*response));
    }
    return std::move(response->body);
}

Result<void> parsePutResponse(const Result<http::Response> &response)
{
    if (!response) {
        return tl::unexpected<Failure>(response.error());
    }
    if (response->status != StatusOk) {
        return tl::unexpected<Failure>(unexpectedStatus(*response));
    }
    return {};
}

} // namespace

class HttpObjectStore::Impl
{
public:
    Impl(event_base *loop, const Options &options)
        : timeout(options.timeout), client(loop, {.address = options.address, .maxBodyBytes = options.maxObjectBytes})
    {
    }

    Duration timeout;
    http::HttpClient client;
};

HttpObjectStore::HttpObjectStore(event_base *loop, const Options &options) : impl_(std::make_unique<Impl>(loop, options)) {}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::put(const std::string &name, std::string data, PutCallback done)
{
    http::HttpClient::Request request{.method = "PUT", .path = objectPath(name), .body = std::move(data), .timeout = impl_->timeout};
    impl_->client.send(std::move(request), [done = std::move(done)](const Result<http::Response> &response) { done(parsePutResponse(response)); });
}

void HttpObjectStore::get(const std::string &name, GetCallback done)
{
    impl_->client.send({.method = "GET", .path = objectPath(name), .timeout = impl_->timeout},
                       [done = std::move(done)](Result<http::Response> response) { done(parseGetResponse(std::move(response))); });
}

} // namespace magnolia::store
