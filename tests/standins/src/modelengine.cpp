#include "modelengine.h"

#include <xxhash.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace magnolia::standins
{

namespace
{

constexpr Duration StallCheckInterval{20};

std::string hashOf(const std::string &text)
{
    constexpr int Hexadecimal = 16;
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), XXH64(text.data(), text.size(), 0), Hexadecimal);
    return {digits.data(), end.ptr};
}

std::string contentOf(const Json &message)
{
    const Json &content = message.at("content");
    return content.is_string() ? content.get<std::string>() : content.dump();
}

std::string eventOf(const std::string &content, bool isLast)
{
    const Json choice = {{"index", 0}, {"delta", {{"content", content}}}, {"finish_reason", isLast ? Json("stop") : Json(nullptr)}};
    const Json event = {{"object", "chat.completion.chunk"}, {"choices", Json::array({choice})}};
    return "data: " + event.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n\n";
}

} // namespace

ModelEngine::ModelEngine(event_base *loop, Options options)
    : options_(std::move(options)), scheduler_(loop), cache_(options_.cache), expertRank_(options_.expertRank)
{
    if (!options_.weightStore.empty()) {
        weightStore_ = std::make_unique<http::HttpClient>(loop, http::HttpClient::Options{.address = options_.weightStore});
    }
    restart();
    for (const std::string &model : options_.models) {
        const std::size_t at = model.find('@');
        const std::string version = at == std::string::npos ? "" : model.substr(at + 1);
        models_.beginLoad(model.substr(0, at), version);
        models_.endLoad(model.substr(0, at), version);
    }
    server_ = http::HttpServer::listen(loop, {.address = options_.address}, [this](const ExchangePtr &exchange) { receive(exchange); }).value();
    scheduleStep();
}

void ModelEngine::receive(const ExchangePtr &exchange)
{
    if (exchange->path().starts_with("/test/")) {
        answerTest(exchange);
        return;
    }
    if (faults_.delay_ms == 0) {
        route(exchange);
        return;
    }
    scheduler_.after(Duration(faults_.delay_ms), [this, exchange] { route(exchange); });
}

void ModelEngine::route(const ExchangePtr &exchange)
{
    const std::string_view path = exchange->path();
    if (path == "/health") {
        exchange->reply(200, {}, "");
    } else if (path == "/v1/chat/completions" && exchange->method() == "POST") {
        answerChat(exchange);
    } else if (path == "/control/state") {
        answerState(exchange);
    } else if (path == "/control/orders" && exchange->method() == "POST") {
        answerOrder(exchange);
    } else if (path == "/control/cache-events") {
        const std::string after = queryOf(*exchange, "after");
        std::uint64_t sequence = 0;
        std::from_chars(after.data(), after.data() + after.size(), sequence);
        replyJson(*exchange, 200, cache_.eventsAfter(sequence, MonoClock::now()));
    } else if (path.starts_with("/control/experts")) {
        answerExperts(exchange);
    } else {
        replyError(*exchange, 404, "no such path");
    }
}

void ModelEngine::answerTest(const ExchangePtr &exchange)
{
    if (exchange->path() == "/test/counts") {
        replyJson(*exchange, 200, {{"runs", counts_.toJson()}, {"maps", expertRank_.history()}, {"stale_orders_taken", staleOrdersTaken_}});
        return;
    }
    if (exchange->path() != "/test/faults") {
        replyError(*exchange, 404, "no such path");
        return;
    }
    staleLoad_ = load();
    updateFaults(*exchange, faults_);
    expertRank_.shiftPopularity(static_cast<std::size_t>(std::max(faults_.popularity_shift, 0)));
    if (std::exchange(faults_.restart, false)) {
        restart();
    }
}

void ModelEngine::answerChat(const ExchangePtr &exchange)
{
    if (faults_.fail_status != 0) {
        replyError(*exchange, faults_.fail_status, "fault");
        return;
    }
    const auto request = readJson(*exchange);
    if (!request) {
        return;
    }
    auto stream = std::make_shared<Stream>();
    stream->exchange = exchange;
    std::string model;
    try {
        const Json &messages = request->at("messages");
        stream->marker = contentOf(messages.at(messages.size() - 1));
        stream->prefix = hashOf(contentOf(messages.at(0)));
        stream->priority = request->value("priority", 0);
        stream->next = request->value("resume_after", 0U);
        stream->end = std::min(options_.pieces, request->value("max_tokens", options_.pieces));
        model = request->at("model").get<std::string>();
    } catch (const Json::exception &error) {
        replyError(*exchange, 400, error.what());
        return;
    }
    if (!request->value("stream", false)) {
        replyError(*exchange, 400, "this engine only streams");
        return;
    }
    if (!models_.isServing(model)) {
        replyError(*exchange, 404, "model not serving: " + model);
        return;
    }
    exchange->onHangup([this, weak = std::weak_ptr<Stream>(stream)] {
        if (const auto gone = weak.lock()) {
            hungUp(gone);
        }
    });
    const auto behind = std::find_if(waiting_.begin(), waiting_.end(), [&stream](const auto &other) { return other->priority > stream->priority; });
    waiting_.insert(behind, stream);
    runWaiting();
}

void ModelEngine::runWaiting()
{
    while (!waiting_.empty() && running_.size() < options_.concurrency) {
        const std::shared_ptr<Stream> stream = waiting_.front();
        waiting_.pop_front();
        running_.push_back(stream);
        begin(stream);
    }
}

void ModelEngine::begin(const std::shared_ptr<Stream> &stream)
{
    stream->isRunning = true;
    counts_.begun(stream->marker);
    const bool isCached = cache_.use(stream->prefix, MonoClock::now());
    stream->exchange->beginStream(200, {{"content-type", "text/event-stream"}});
    scheduler_.after(isCached ? options_.pieceInterval : options_.pieceInterval + options_.prefillTime, [this, stream] { sendPiece(stream); });
}

void ModelEngine::sendPiece(const std::shared_ptr<Stream> &stream)
{
    if (stream->isGone) {
        return;
    }
    if (faults_.stall_streams) {
        scheduler_.after(StallCheckInterval, [this, stream] { sendPiece(stream); });
        return;
    }
    if (faults_.close_after_pieces > 0 && stream->sent >= faults_.close_after_pieces) {
        stream->exchange->abort();
        hungUp(stream);
        return;
    }
    if (stream->next >= stream->end) {
        end(stream);
        return;
    }
    const std::uint32_t index = stream->next++;
    ++stream->sent;
    stream->exchange->sendPiece(eventOf(stream->marker + ":" + std::to_string(index) + " ", stream->next == stream->end));
    scheduler_.after(options_.pieceInterval, [this, stream] { sendPiece(stream); });
}

void ModelEngine::end(const std::shared_ptr<Stream> &stream)
{
    counts_.ended(stream->marker);
    running_.remove(stream);
    stream->exchange->sendPiece("data: [DONE]\n\n");
    stream->exchange->endStream();
    runWaiting();
}

void ModelEngine::hungUp(const std::shared_ptr<Stream> &stream)
{
    if (std::exchange(stream->isGone, true)) {
        return;
    }
    if (stream->isRunning) {
        counts_.cancelled(stream->marker);
    }
    waiting_.remove(stream);
    running_.remove(stream);
    runWaiting();
}

Json ModelEngine::load() const
{
    return {{"running", running_.size()}, {"waiting", waiting_.size()}};
}

void ModelEngine::answerState(const ExchangePtr &exchange)
{
    replyJson(*exchange,
              200,
              {{"boot", boot_}, {"role", role_}, {"fence", fence_}, {"models", models_.toJson()}, {"load", faults_.stale_load ? staleLoad_ : load()}});
}

bool ModelEngine::admitOrder(const ExchangePtr &exchange, std::uint64_t fence)
{
    if (faults_.refuse_orders) {
        replyError(*exchange, 503, "orders refused");
        return false;
    }
    const bool isStale = fence < fence_;
    if (isStale && options_.checksFencing) {
        replyJson(*exchange, 409, {{"fence", fence_}});
        return false;
    }
    staleOrdersTaken_ += isStale ? 1 : 0;
    fence_ = std::max(fence, fence_);
    if (faults_.ignore_orders) {
        replyJson(*exchange, 200, Json::object());
        return false;
    }
    return true;
}

void ModelEngine::answerOrder(const ExchangePtr &exchange)
{
    const auto request = readJson(*exchange);
    if (!request) {
        return;
    }
    Order order;
    try {
        order.fence = request->at("fence").get<std::uint64_t>();
        order.order = request->at("order").get<std::string>();
        order.model = request->value("model", "");
        order.version = request->value("version", "");
        order.adapter = request->value("adapter", "");
        order.role = request->value("role", "");
    } catch (const Json::exception &error) {
        replyError(*exchange, 400, error.what());
        return;
    }
    if (admitOrder(exchange, order.fence)) {
        carryOut(exchange, order);
    }
}

void ModelEngine::carryOut(const ExchangePtr &exchange, const Order &order)
{
    bool isKnown = true;
    if (order.order == "load_model") {
        loadWeights(exchange, [this, order, boot = boot_] {
            models_.beginLoad(order.model, order.version);
            scheduler_.after(options_.loadTime, [this, order, boot] {
                if (boot == boot_) {
                    models_.endLoad(order.model, order.version);
                }
            });
        });
        return;
    }
    if (order.order == "unload_model") {
        models_.unload(order.model);
    } else if (order.order == "load_adapter") {
        isKnown = models_.loadAdapter(order.model, order.adapter, order.version);
    } else if (order.order == "unload_adapter") {
        isKnown = models_.unloadAdapter(order.model, order.adapter);
    } else if (order.order == "set_role") {
        role_ = order.role;
    } else {
        replyError(*exchange, 400, "no such order");
        return;
    }
    replyJson(*exchange, isKnown ? 200 : 404, Json::object());
}

void ModelEngine::loadWeights(const ExchangePtr &exchange, std::function<void()> begin)
{
    if (faults_.refuse_loads) {
        replyJson(*exchange, 429, Json::object(), {{"retry-after", "1"}});
        return;
    }
    if (!weightStore_) {
        begin();
        replyJson(*exchange, 200, Json::object());
        return;
    }
    weightStore_->send({.method = "POST", .path = "/weights/loads"}, [exchange, begin = std::move(begin)](const Result<http::Response> &answer) {
        if (answer && answer->status == 200) {
            begin();
            replyJson(*exchange, 200, Json::object());
        } else {
            replyJson(*exchange, 429, Json::object(), {{"retry-after", "1"}});
        }
    });
}

void ModelEngine::answerExperts(const ExchangePtr &exchange)
{
    if (options_.expertRank.group.empty()) {
        replyError(*exchange, 404, "this engine is in no group");
        return;
    }
    if (exchange->method() == "GET") {
        replyJson(*exchange, 200, expertRank_.toJson());
        return;
    }
    const auto request = readJson(*exchange);
    if (!request) {
        return;
    }
    try {
        changeExperts(exchange, *request);
    } catch (const Json::exception &error) {
        replyError(*exchange, 400, error.what());
    }
}

void ModelEngine::changeExperts(const ExchangePtr &exchange, const Json &request)
{
    const std::string action(exchange->path().substr(exchange->path().rfind('/') + 1));
    const auto map = request.at("map").get<std::uint64_t>();
    const auto epoch = request.at("epoch").get<std::uint64_t>();
    const std::uint64_t holdStep = action == "prepare" ? request.at("hold_step").get<std::uint64_t>() : 0;
    const std::uint64_t firstStep = action == "join" ? request.at("step").get<std::uint64_t>() : 0;
    const bool hasMap = action == "load" || action == "join";
    if (hasMap && !request.at("layers").is_array()) {
        replyError(*exchange, 400, "layers is no array");
        return;
    }
    // Also for an abort of map 0, which is given for nothing but the fencing number that it raises.
    if (!admitOrder(exchange, request.at("fence").get<std::uint64_t>())) {
        return;
    }
    if (action == "load") {
        loadMap(exchange, map);
        return;
    }
    if (action == "join") {
        joinEpoch(exchange, map, epoch, firstStep);
        return;
    }
    std::optional<std::string> refused;
    if (action == "prepare") {
        refused = expertRank_.prepare(map, epoch, holdStep);
    } else if (action == "commit") {
        expertRank_.commit(map, epoch);
    } else if (action == "abort") {
        expertRank_.abort(map, epoch);
    } else {
        replyError(*exchange, 404, "no such order");
        return;
    }
    if (refused) {
        replyError(*exchange, 409, *refused);
    } else {
        replyJson(*exchange, 200, Json::object());
    }
}

// An order that is repeated while the map is on its way costs the weight store nothing.
void ModelEngine::loadMap(const ExchangePtr &exchange, std::uint64_t map)
{
    if (expertRank_.isLoaded(map) || loadingMaps_.contains(map)) {
        replyJson(*exchange, 200, Json::object());
        return;
    }
    loadWeights(exchange, [this, map, boot = boot_] {
        loadingMaps_.insert(map);
        scheduler_.after(options_.loadTime, [this, map, boot] {
            if (boot == boot_) {
                loadingMaps_.erase(map);
                expertRank_.mapLoaded(map);
            }
        });
    });
}

void ModelEngine::joinEpoch(const ExchangePtr &exchange, std::uint64_t map, std::uint64_t epoch, std::uint64_t step)
{
    if (epoch <= expertRank_.epoch()) {
        replyError(*exchange, 409, "the epoch is not higher than the engine's");
        return;
    }
    if (expertRank_.isLoaded(map)) {
        expertRank_.join(map, epoch, step);
        replyJson(*exchange, 200, Json::object());
        return;
    }
    loadWeights(exchange, [this, map, epoch, step, boot = boot_] {
        scheduler_.after(options_.loadTime, [this, map, epoch, step, boot] {
            if (boot == boot_) {
                expertRank_.join(map, epoch, step);
            }
        });
    });
}

void ModelEngine::restart()
{
    boot_ = std::to_string(getpid()) + "-" + std::to_string(++boots_);
    models_.clear();
    cache_.clear();
    expertRank_ = ExpertRank(options_.expertRank);
    loadingMaps_.clear();
    role_ = "any";
    fence_ = 0;
    const std::list<std::shared_ptr<Stream>> open = [this] {
        std::list<std::shared_ptr<Stream>> all = std::exchange(waiting_, {});
        all.splice(all.end(), running_);
        return all;
    }();
    for (const auto &stream : open) {
        stream->exchange->abort();
        hungUp(stream);
    }
}

void ModelEngine::scheduleStep()
{
    if (options_.expertRank.group.empty()) {
        return;
    }
    scheduler_.after(options_.stepInterval, [this] {
        expertRank_.step();
        scheduleStep();
    });
}

} // namespace magnolia::standins
