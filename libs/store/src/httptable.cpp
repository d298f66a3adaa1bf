#include "store/httptable.h"

#include "http/eventhandles.h"
#include "http/httpclient.h"
#include "replyreader.h"

#include <optional>
#include <utility>
#include <vector>

namespace magnolia::store
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusPreconditionFailed = 412;

std::string rowPath(const std::string &key)
{
    return "/table/rows/" + percentEncoded(key);
}

tl::unexpected<Failure> unexpected(Failure failure)
{
    return tl::unexpected<Failure>(std::move(failure));
}

Result<std::optional<Row>> parseReadResponse(const Result<http::Response> &response)
{
    if (!response) {
        return unexpected(response.error());
    }
    if (response->status == StatusNotFound) {
        return std::nullopt;
    }
    if (response->status != StatusOk) {
        return unexpected(unexpectedStatus(*response));
    }
    const auto fields = readObject(response->body);
    if (!fields) {
        return unexpected(fields.error());
    }
    auto row = readRow(*fields);
    if (!row) {
        return unexpected(malformedBody());
    }
    return row;
}

/** @param written the row's value if the write is applied; nullopt for a removal. */
Result<WriteOutcome> parseWriteResponse(const Result<http::Response> &response, const std::optional<std::string> &written)
{
    if (!response) {
        return unexpected(response.error());
    }
    const bool isApplied = response->status == StatusOk;
    if (!isApplied && response->status != StatusPreconditionFailed) {
        return unexpected(unexpectedStatus(*response));
    }
    auto fields = readObject(response->body);
    if (!fields) {
        return unexpected(fields.error());
    }
    if (isApplied && !written) {
        return WriteOutcome{.applied = true, .current = std::nullopt};
    }
    if (!isApplied && fields->empty()) {
        return WriteOutcome{.applied = false, .current = std::nullopt};
    }
    if (isApplied) {
        (*fields)["value"] = *written;
    }
    auto row = readRow(*fields);
    if (!row) {
        return unexpected(malformedBody());
    }
    return WriteOutcome{.applied = isApplied, .current = std::move(row)};
}

Result<std::map<std::string, Row>> parseListResponse(const Result<http::Response> &response)
{
    if (!response) {
        return unexpected(response.error());
    }
    if (response->status != StatusOk) {
        return unexpected(unexpectedStatus(*response));
    }
    const auto fields = readObject(response->body);
    if (!fields) {
        return unexpected(fields.error());
    }
    const auto found = fields->find("rows");
    if (found == fields->end() || !found->is_object()) {
        return unexpected(malformedBody());
    }
    std::map<std::string, Row> rows;
    for (const auto &[key, value] : found->items()) {
        auto row = readRow(value);
        if (!row) {
            return unexpected(malformedBody());
        }
        rows.emplace(key, std::move(*row));
    }
    return rows;
}

/** Parses the result of one write of a transaction. */
Result<WriteOutcome> parseTransactionResult(const Json &result)
{
    const auto applied = result.is_object() ? result.find("applied") : result.end();
    if (!result.is_object() || applied == result.end() || !applied->is_boolean()) {
        return unexpected(malformedBody());
    }
    const bool isApplied = applied->get<bool>();
    auto row = readRow(result);
    const bool isRowGone = !isApplied && !result.contains("value") && !result.contains("revision");
    if (!row && !isRowGone) {
        return unexpected(malformedBody());
    }
    return WriteOutcome{.applied = isApplied, .current = std::move(row)};
}

} // namespace

class HttpTable::Impl
{
public:
    Impl(event_base *loop, Options options)
        : options_(std::move(options)), client_(loop, {.address = options_.address}), batchTimer_(evtimer_new(loop, &Impl::onBatchTimer, this))
    {
    }

    void read(const std::string &key, ReadCallback done);
    void insert(const std::string &key, std::string value, WriteCallback done);
    void write(std::string method, const std::string &key, std::uint64_t revision, std::optional<std::string> value, WriteCallback done);
    void list(const std::string &prefix, RowsCallback done);

private:
    struct Insert {
        std::string key;
        std::string value;
        std::optional<std::string> transactionEntry; ///< Its JSON element of a transaction; nullopt if the value can't be encoded.
        WriteCallback done;
    };

    using Batch = std::vector<Insert>;

    void flush();
    void sendSingle(Insert insert);
    void sendTransaction(Batch batch);
    static std::vector<Result<WriteOutcome>> parseTransactionResponse(const Result<http::Response> &response, std::size_t count);
    static void onBatchTimer(evutil_socket_t fd, short what, void *self);

    Options options_;
    http::HttpClient client_;
    http::EventPtr batchTimer_;
    Batch pendingInserts_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Expires when a callback destroys the table.
};

void HttpTable::Impl::read(const std::string &key, ReadCallback done)
{
    client_.send({.method = "GET", .path = rowPath(key), .timeout = options_.timeout},
                 [done = std::move(done)](const Result<http::Response> &response) { done(parseReadResponse(response)); });
}

void HttpTable::Impl::insert(const std::string &key, std::string value, WriteCallback done)
{
    Insert insert{.key = key, .value = std::move(value), .transactionEntry = std::nullopt, .done = std::move(done)};
    try {
        insert.transactionEntry = Json{{"key", insert.key}, {"value", insert.value}, {"if_revision", nullptr}}.dump();
    } catch (const Json::exception &) {
        // The value is not UTF-8. flush() fails this insert alone, without failing the others of its batch.
    }
    pendingInserts_.push_back(std::move(insert));
    const bool isFull = pendingInserts_.size() >= options_.maxBatch;
    if (isFull || pendingInserts_.size() == 1) {
        http::startTimer(batchTimer_.get(), isFull ? Duration{0} : options_.batchDelay);
    }
}

void HttpTable::Impl::write(std::string method, const std::string &key, std::uint64_t revision, std::optional<std::string> value, WriteCallback done)
{
    http::HttpClient::Request request{
        .method = std::move(method),
        .path = rowPath(key),
        .headers = {{"if-match", std::to_string(revision)}},
        .body = value.value_or(""),
        .timeout = options_.timeout,
    };
    client_.send(std::move(request),
                 [value = std::move(value), done = std::move(done)](const Result<http::Response> &response) { done(parseWriteResponse(response, value)); });
}

void HttpTable::Impl::list(const std::string &prefix, RowsCallback done)
{
    const std::string path = "/table/rows?prefix=" + percentEncoded(prefix);
    client_.send({.method = "GET", .path = path, .timeout = options_.timeout},
                 [done = std::move(done)](const Result<http::Response> &response) { done(parseListResponse(response)); });
}

void HttpTable::Impl::flush()
{
    Batch sendable;
    Batch rejected;
    for (Insert &insert : std::exchange(pendingInserts_, {})) {
        (insert.transactionEntry ? sendable : rejected).push_back(std::move(insert));
    }
    if (sendable.size() == 1) {
        sendSingle(std::move(sendable.front()));
    } else if (!sendable.empty()) {
        sendTransaction(std::move(sendable));
    }
    const std::weak_ptr alive = alive_;
    for (const Insert &insert : rejected) {
        if (alive.expired()) {
            return;
        }
        insert.done(fail(ErrorCode::BadInput, Verdict::NotRun, "the value is not UTF-8"));
    }
}

void HttpTable::Impl::sendSingle(Insert insert)
{
    http::HttpClient::Request request{
        .method = "PUT",
        .path = rowPath(insert.key),
        .headers = {{"if-none-match", "*"}},
        .body = insert.value,
        .timeout = options_.timeout,
    };
    client_.send(std::move(request),
                 [insert = std::move(insert)](const Result<http::Response> &response) { insert.done(parseWriteResponse(response, insert.value)); });
}

void HttpTable::Impl::sendTransaction(Batch batch)
{
    std::string body = R"({"writes":[)";
    for (const Insert &insert : batch) {
        body.append(body.back() == '[' ? "" : ",").append(*insert.transactionEntry);
    }
    body.append("]}");
    http::HttpClient::Request request{.method = "POST", .path = "/table/transactions", .body = std::move(body), .timeout = options_.timeout};
    client_.send(std::move(request), [batch = std::move(batch), alive = std::weak_ptr(alive_)](const Result<http::Response> &response) {
        const auto outcomes = parseTransactionResponse(response, batch.size());
        for (std::size_t i = 0; i < batch.size() && !alive.expired(); ++i) {
            batch[i].done(outcomes[i]);
        }
    });
}

std::vector<Result<WriteOutcome>> HttpTable::Impl::parseTransactionResponse(const Result<http::Response> &response, std::size_t count)
{
    const auto allFailed = [count](const Failure &failure) { return std::vector<Result<WriteOutcome>>(count, unexpected(failure)); };
    if (!response) {
        return allFailed(response.error());
    }
    if (response->status != StatusOk) {
        return allFailed(unexpectedStatus(*response));
    }
    const auto fields = readObject(response->body);
    if (!fields) {
        return allFailed(fields.error());
    }
    const auto results = fields->find("results");
    const bool isComplete = results != fields->end() && results->is_array() && results->size() == count;
    if (!isComplete) {
        // The results can't be matched to the writes.
        return allFailed(malformedBody());
    }
    std::vector<Result<WriteOutcome>> outcomes;
    outcomes.reserve(count);
    for (const Json &result : *results) {
        outcomes.push_back(parseTransactionResult(result));
    }
    return outcomes;
}

void HttpTable::Impl::onBatchTimer(evutil_socket_t /*fd*/, short /*what*/, void *self)
{
    static_cast<Impl *>(self)->flush();
}

HttpTable::HttpTable(event_base *loop, Options options) : impl_(std::make_unique<Impl>(loop, std::move(options))) {}

HttpTable::~HttpTable() = default;

void HttpTable::read(const std::string &key, ReadCallback done)
{
    impl_->read(key, std::move(done));
}

void HttpTable::insert(const std::string &key, std::string value, WriteCallback done)
{
    impl_->insert(key, std::move(value), std::move(done));
}

void HttpTable::replace(const std::string &key, std::uint64_t revision, std::string value, WriteCallback done)
{
    impl_->write("PUT", key, revision, std::move(value), std::move(done));
}

void HttpTable::remove(const std::string &key, std::uint64_t revision, WriteCallback done)
{
    impl_->write("DELETE", key, revision, std::nullopt, std::move(done));
}

void HttpTable::list(const std::string &prefix, RowsCallback done)
{
    impl_->list(prefix, std::move(done));
}

} // namespace magnolia::store
