#include "platformservice.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace magnolia::standins
{

namespace
{

constexpr std::string_view RowsPath = "/table/rows/";
constexpr std::string_view ObjectsPath = "/objects/";
constexpr std::string_view InstancesPath = "/instances/";
constexpr std::uint64_t NoRow = 0; ///< Condition on a revision: there is no row.
constexpr std::size_t MaxBodyBytes = 32U << 20U;

// A request that is never answered is kept open for so long; its caller's own timeout is far shorter.
constexpr Duration SilentFor{600000};

} // namespace

PlatformService::PlatformService(event_base *loop, Options options) : options_(std::move(options)), scheduler_(loop), loadTokens_(options_.loadBurst)
{
    server_ = http::HttpServer::listen(loop, {.address = options_.address, .maxBodyBytes = MaxBodyBytes}, [this](const ExchangePtr &exchange) {
                  receive(exchange);
              }).value();
}

std::string PlatformService::address() const
{
    return server_->address();
}

void PlatformService::receive(const ExchangePtr &exchange)
{
    if (exchange->path().starts_with("/test/")) {
        answerTest(exchange);
        return;
    }
    if (faults_.slow_ms == 0) {
        route(exchange);
        return;
    }
    scheduler_.after(Duration(faults_.slow_ms), [this, exchange] { route(exchange); });
}

void PlatformService::route(const ExchangePtr &exchange)
{
    const std::string_view path = exchange->path();
    const bool isTable = path.starts_with("/table/");
    const bool isObject = path.starts_with(ObjectsPath);
    const bool isInstances = path.starts_with("/instances");
    if ((isTable && faults_.table_silent) || (isObject && faults_.objects_silent)) {
        scheduler_.after(SilentFor, [exchange] { exchange->abort(); });
    } else if ((isTable && faults_.table_down) || (isObject && faults_.objects_down) || (isInstances && faults_.instances_down)) {
        replyError(*exchange, 503, "outage");
    } else if (isTable) {
        answerTable(exchange);
    } else if (isObject) {
        answerObject(exchange);
    } else if (isInstances) {
        answerInstances(exchange);
    } else if (path == "/weights/loads") {
        answerWeights(exchange);
    } else {
        replyError(*exchange, 404, "no such path");
    }
}

void PlatformService::answerTest(const ExchangePtr &exchange)
{
    if (exchange->path() == "/test/faults" && exchange->method() == "POST") {
        updateFaults(*exchange, faults_);
    } else if (exchange->path() == "/test/counts") {
        replyJson(*exchange, 200, {{"writes", writes_}, {"reads", reads_}, {"rows", rows_.size()}, {"objects", objects_.size()}});
    } else {
        replyError(*exchange, 404, "no such path");
    }
}

void PlatformService::answerTable(const ExchangePtr &exchange)
{
    const std::string_view path = exchange->path();
    if (path.starts_with(RowsPath)) {
        answerRow(exchange, percentDecoded(path.substr(RowsPath.size())));
    } else if (path == "/table/rows" && exchange->method() == "GET") {
        ++reads_;
        replyJson(*exchange, 200, {{"rows", listRows(queryOf(*exchange, "prefix"))}});
    } else if (path == "/table/transactions" && exchange->method() == "POST") {
        answerTransaction(exchange);
    } else {
        replyError(*exchange, 404, "no such path");
    }
}

void PlatformService::answerRow(const ExchangePtr &exchange, const std::string &key)
{
    if (exchange->method() != "GET") {
        answerWrite(exchange, key);
        return;
    }
    ++reads_;
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        replyError(*exchange, 404, "no such row");
        return;
    }
    replyJson(*exchange, 200, {{"value", found->second.value}, {"revision", found->second.revision}});
}

void PlatformService::answerWrite(const ExchangePtr &exchange, const std::string &key)
{
    const bool isRemoval = exchange->method() == "DELETE";
    const bool isInsert = exchange->method() == "PUT" && headerOf(*exchange, "if-none-match") == "*";
    const std::string match = headerOf(*exchange, "if-match");
    std::uint64_t revision = NoRow;
    const bool hasRevision = std::from_chars(match.data(), match.data() + match.size(), revision).ec == std::errc() && revision != NoRow;
    if ((exchange->method() != "PUT" && !isRemoval) || isInsert == hasRevision) {
        replyError(*exchange, 400, "a write is PUT or DELETE with a condition");
        return;
    }
    if (!beginWrite(exchange)) {
        return;
    }
    const std::string value(exchange->body());
    const WriteResult result = write(key, revision, isRemoval ? nullptr : &value);
    Json body = Json::object();
    if (result.current != nullptr) {
        body["revision"] = result.current->revision;
    }
    if (!result.isApplied && result.current != nullptr) {
        body["value"] = result.current->value;
    }
    endWrite(exchange, result.isApplied ? 200 : 412, body);
}

void PlatformService::answerTransaction(const ExchangePtr &exchange)
{
    const auto request = readJson(*exchange);
    if (!request) {
        return;
    }
    if (!beginWrite(exchange)) {
        return;
    }
    Json results = Json::array();
    try {
        for (const Json &entry : request->at("writes")) {
            const Json &condition = entry.at("if_revision");
            const std::uint64_t revision = condition.is_null() ? NoRow : condition.get<std::uint64_t>();
            const auto value = entry.at("value").get<std::string>();
            const WriteResult result = write(entry.at("key").get<std::string>(), revision, &value);
            Json outcome = {{"applied", result.isApplied}};
            if (result.current != nullptr) {
                outcome["value"] = result.current->value;
                outcome["revision"] = result.current->revision;
            }
            results.push_back(std::move(outcome));
        }
    } catch (const Json::exception &error) {
        replyError(*exchange, 400, error.what());
        return;
    }
    endWrite(exchange, 200, {{"results", results}});
}

void PlatformService::answerObject(const ExchangePtr &exchange)
{
    const std::string name = percentDecoded(exchange->path().substr(ObjectsPath.size()));
    if (exchange->method() == "PUT") {
        if (beginWrite(exchange)) {
            objects_[name] = exchange->body();
            endWrite(exchange, 200, Json::object());
        }
        return;
    }
    ++reads_;
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        replyError(*exchange, 404, "no such object");
        return;
    }
    exchange->reply(200, {{"content-type", "application/octet-stream"}}, found->second);
}

void PlatformService::answerInstances(const ExchangePtr &exchange)
{
    if (exchange->method() == "GET" && exchange->path() == "/instances") {
        ++reads_;
        Json all = Json::array();
        for (const Json &instance : shownInstances_) {
            all.push_back(instance);
        }
        replyJson(*exchange, 200, {{"instances", all}});
        return;
    }
    if (!exchange->path().starts_with(InstancesPath)) {
        replyError(*exchange, 404, "no such path");
        return;
    }
    const std::string name = percentDecoded(exchange->path().substr(InstancesPath.size()));
    if (exchange->method() == "DELETE") {
        instances_.erase(name);
    } else {
        auto instance = readJson(*exchange);
        if (!instance) {
            return;
        }
        (*instance)["name"] = name;
        instances_[name] = std::move(*instance);
    }
    scheduler_.after(options_.listLag, [this, snapshot = instances_] {
        if (!faults_.list_frozen) {
            shownInstances_ = snapshot;
        }
    });
    replyJson(*exchange, 200, Json::object());
}

void PlatformService::answerWeights(const ExchangePtr &exchange)
{
    if (options_.loadsPerSecond <= 0) {
        replyJson(*exchange, 200, Json::object());
        return;
    }
    const MonoTime now = MonoClock::now();
    const std::chrono::duration<double> passed = now - loadTokensAt_;
    loadTokensAt_ = now;
    loadTokens_ = std::min(options_.loadBurst, loadTokens_ + passed.count() * options_.loadsPerSecond);
    if (loadTokens_ < 1) {
        replyJson(*exchange, 429, {{"error", {{"message", "over the load budget"}}}}, {{"retry-after", "1"}});
        return;
    }
    loadTokens_ -= 1;
    replyJson(*exchange, 200, Json::object());
}

bool PlatformService::beginWrite(const ExchangePtr &exchange)
{
    ++writes_;
    if (faults_.drop_writes > 0) {
        --faults_.drop_writes;
        exchange->abort();
        return false;
    }
    losesReply_ = faults_.lose_replies > 0;
    if (losesReply_) {
        --faults_.lose_replies;
    } else if (faults_.lose_table_replies > 0 && exchange->path().starts_with("/table/")) {
        --faults_.lose_table_replies;
        losesReply_ = true;
    }
    return true;
}

void PlatformService::endWrite(const ExchangePtr &exchange, int status, const Json &body)
{
    if (losesReply_) {
        exchange->abort();
        return;
    }
    replyJson(*exchange, status, body);
}

PlatformService::WriteResult PlatformService::write(const std::string &key, std::uint64_t ifRevision, const std::string *value)
{
    const auto found = rows_.find(key);
    const std::uint64_t present = found == rows_.end() ? NoRow : found->second.revision;
    if (present != ifRevision) {
        return {.isApplied = false, .current = found == rows_.end() ? nullptr : &found->second};
    }
    if (value == nullptr) {
        rows_.erase(key);
        return {.isApplied = true, .current = nullptr};
    }
    Row &row = rows_[key];
    row = {.value = *value, .revision = ++lastRevision_};
    return {.isApplied = true, .current = &row};
}

Json PlatformService::listRows(const std::string &prefix) const
{
    Json rows = Json::object();
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix); ++row) {
        rows[row->first] = {{"value", row->second.value}, {"revision", row->second.revision}};
    }
    return rows;
}

} // namespace magnolia::standins
