#include "store/httpinstancelist.h"

#include "http/httpclient.h"
#include "replyreader.h"

#include <optional>
#include <utility>

namespace magnolia::store
{

namespace
{

constexpr int StatusOk = 200;

std::optional<Instance> parseInstance(const Json &fields)
{
    try {
        return Instance{
            .name = fields.at("name").get<std::string>(),
            .role = fields.at("role").get<std::string>(),
            .endpoint = fields.value("endpoint", ""),
            .address = fields.at("address").get<std::string>(),
            .dataCentre = fields.value("data_centre", ""),
            .leaving = fields.value("leaving", false),
            .operatorsAddress = fields.value("operators", ""),
        };
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

Result<std::vector<Instance>> parseInstancesResponse(const Result<http::Response> &response)
{
    if (!response) {
        return tl::unexpected<Failure>(response.error());
    }
    if (response->status != StatusOk) {
        return tl::unexpected<Failure>(unexpectedStatus(*response));
    }
    const auto fields = readObject(response->body);
    if (!fields) {
        return tl::unexpected<Failure>(fields.error());
    }
    const auto found = fields->find("instances");
    if (found == fields->end() || !found->is_array()) {
        return tl::unexpected<Failure>(malformedBody());
    }
    std::vector<Instance> instances;
    for (const Json &entry : *found) {
        if (auto instance = parseInstance(entry)) {
            instances.push_back(std::move(*instance));
        }
    }
    return instances;
}

} // namespace

class HttpInstanceList::Impl
{
public:
    Impl(event_base *loop, const Options &options) : timeout(options.timeout), client(loop, {.address = options.address}) {}

    Duration timeout;
    http::HttpClient client;
};

HttpInstanceList::HttpInstanceList(event_base *loop, const Options &options) : impl_(std::make_unique<Impl>(loop, options)) {}

HttpInstanceList::~HttpInstanceList() = default;

void HttpInstanceList::fetch(InstancesCallback done)
{
    impl_->client.send({.method = "GET", .path = "/instances", .timeout = impl_->timeout},
                       [done = std::move(done)](const Result<http::Response> &response) { done(parseInstancesResponse(response)); });
}

} // namespace magnolia::store
