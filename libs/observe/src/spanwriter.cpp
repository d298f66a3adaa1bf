#include "spanwriter.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <fcntl.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace magnolia::observe
{

namespace
{

using Json = nlohmann::ordered_json;
using SpanList = std::deque<std::unique_ptr<SpanData>>;

constexpr std::chrono::seconds LongestFinalWrite{1};
constexpr mode_t FileMode = 0640;
constexpr int OtlpStatusError = 2;

Json attribute(std::string_view key, const std::variant<std::string, std::int64_t> &value)
{
    Json typed;
    if (const auto *text = std::get_if<std::string>(&value)) {
        typed["stringValue"] = *text;
    } else {
        // OTLP writes 64-bit integers as strings.
        typed["intValue"] = std::to_string(std::get<std::int64_t>(value));
    }
    return {{"key", key}, {"value", typed}};
}

std::string nanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

Json toJson(const SpanData &span)
{
    Json json;
    json["traceId"] = fmt::format("{:016x}{:016x}", span.context.traceHigh, span.context.traceLow);
    json["spanId"] = fmt::format("{:016x}", span.context.span);
    if (span.parentSpan != 0) {
        json["parentSpanId"] = fmt::format("{:016x}", span.parentSpan);
    }
    json["name"] = span.name;
    json["kind"] = static_cast<int>(span.kind);
    json["startTimeUnixNano"] = nanoseconds(span.start);
    json["endTimeUnixNano"] = nanoseconds(span.start + std::chrono::duration_cast<std::chrono::system_clock::duration>(span.duration));
    json["attributes"] = Json::array();
    for (const auto &[key, value] : span.attributes) {
        json["attributes"].push_back(attribute(key, value));
    }
    if (!span.failure.empty()) {
        json["status"] = {{"code", OtlpStatusError}, {"message", span.failure}};
    }
    return json;
}

std::string toLine(const Json &resource, const SpanList &spans)
{
    Json scope;
    scope["scope"] = {{"name", "magnoliarack"}};
    scope["spans"] = Json::array();
    for (const auto &span : spans) {
        scope["spans"].push_back(toJson(*span));
    }
    Json resourceSpans;
    resourceSpans["resource"] = resource;
    resourceSpans["scopeSpans"] = Json::array({scope});
    Json line;
    line["resourceSpans"] = Json::array({resourceSpans});
    return line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json resourceOf(const std::string &service, const std::string &instance, const std::string &dataCentre)
{
    Json resource;
    resource["attributes"] =
        Json::array({attribute("service.name", service), attribute("service.instance.id", instance), attribute("cloud.availability_zone", dataCentre)});
    return resource;
}

// @return a descriptor, or -1.
int openForAppend(const std::string &file)
{
    // Not to hang on a pipe that nobody reads.
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC | O_NONBLOCK, FileMode);
    if (descriptor >= 0) {
        ::fcntl(descriptor, F_SETFL, O_APPEND);
    }
    return descriptor;
}

void writeAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t written = ::write(descriptor, text.data(), text.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return;
        }
        text.remove_prefix(static_cast<std::size_t>(written));
    }
}

} // namespace

// Shared with the thread, which may outlive the SpanWriter if its file blocks for good.
struct SpanWriter::Queue {
    std::mutex mutex;
    std::condition_variable changed;
    SpanList spans;
    std::size_t maxSpans = 0;
    std::size_t dropped = 0;
    bool isClosing = false;
    bool isDone = false;

    void run(int descriptor, const Json &resource)
    {
        std::unique_lock lock(mutex);
        while (!isClosing || !spans.empty()) {
            changed.wait(lock, [this] { return isClosing || !spans.empty(); });
            const SpanList taken = std::exchange(spans, {});
            lock.unlock();
            if (!taken.empty()) {
                writeAll(descriptor, toLine(resource, taken));
            }
            lock.lock();
        }
        ::close(descriptor);
        isDone = true;
        changed.notify_all();
    }
};

SpanWriter::SpanWriter(const Tracer::Options &options) : queue_(std::make_shared<Queue>())
{
    queue_->maxSpans = options.maxQueuedSpans;
    const int descriptor = openForAppend(options.file);
    isWritable_ = descriptor >= 0;
    if (isWritable_) {
        std::thread([queue = queue_, descriptor, resource = resourceOf(options.service, options.instance, options.dataCentre)] {
            queue->run(descriptor, resource);
        }).detach();
    }
}

SpanWriter::~SpanWriter()
{
    std::unique_lock lock(queue_->mutex);
    queue_->isClosing = true;
    queue_->changed.notify_all();
    // A file that blocks for good must not keep the process from ending; what is queued is lost then.
    if (isWritable_) {
        queue_->changed.wait_for(lock, LongestFinalWrite, [this] { return queue_->isDone; });
    }
}

void SpanWriter::push(std::unique_ptr<SpanData> span)
{
    const std::lock_guard lock(queue_->mutex);
    if (!isWritable_ || queue_->spans.size() >= queue_->maxSpans) {
        ++queue_->dropped;
        return;
    }
    queue_->spans.push_back(std::move(span));
    queue_->changed.notify_all();
}

std::size_t SpanWriter::dropped() const
{
    const std::lock_guard lock(queue_->mutex);
    return queue_->dropped;
}

bool SpanWriter::isWritable() const
{
    return isWritable_;
}

} // namespace magnolia::observe
