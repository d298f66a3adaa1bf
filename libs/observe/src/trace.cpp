#include "observe/trace.h"

#include "spandata.h"
#include "spanwriter.h"

#include <spdlog/fmt/fmt.h>

#include <charconv>
#include <limits>

namespace magnolia::observe
{

namespace
{

// "00-" 32 digits "-" 16 digits "-" 2 digits
constexpr std::size_t TraceOffset = 3;
constexpr std::size_t HalfDigits = 16;
constexpr std::size_t SpanOffset = 36;
constexpr std::size_t FlagsOffset = 53;
constexpr std::size_t HeaderLength = 55;
constexpr std::uint64_t SampledFlag = 1;
constexpr std::uint64_t InvalidVersion = 0xff;

std::optional<std::uint64_t> hexadecimal(std::string_view digits)
{
    if (digits.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

bool hasValidShape(std::string_view text, std::uint64_t version)
{
    if (text[2] != '-' || text[SpanOffset - 1] != '-' || text[FlagsOffset - 1] != '-') {
        return false;
    }
    // A later version may add fields after another dash; version 00 may not.
    const bool hasMore = text.size() > HeaderLength;
    return !hasMore || (version != 0 && text[HeaderLength] == '-');
}

std::uint64_t nonZero(Random &random)
{
    std::uint64_t value = random();
    while (value == 0) {
        value = random();
    }
    return value;
}

bool isChosen(std::uint64_t traceLow, double ratio)
{
    // By the trace's own bits, so that all processes with the same ratio choose the same traces.
    return static_cast<double>(traceLow) < ratio * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view traceparent)
{
    if (traceparent.size() < HeaderLength) {
        return std::nullopt;
    }
    const auto version = hexadecimal(traceparent.substr(0, 2));
    const auto high = hexadecimal(traceparent.substr(TraceOffset, HalfDigits));
    const auto low = hexadecimal(traceparent.substr(TraceOffset + HalfDigits, HalfDigits));
    const auto span = hexadecimal(traceparent.substr(SpanOffset, HalfDigits));
    const auto flags = hexadecimal(traceparent.substr(FlagsOffset, 2));
    if (!version || !high || !low || !span || !flags || *version == InvalidVersion || !hasValidShape(traceparent, *version)) {
        return std::nullopt;
    }
    if ((*high == 0 && *low == 0) || *span == 0) {
        return std::nullopt;
    }
    return TraceContext{.traceHigh = *high, .traceLow = *low, .span = *span, .sampled = (*flags & SampledFlag) != 0};
}

std::string TraceContext::toString() const
{
    return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", traceHigh, traceLow, span, sampled ? 1 : 0);
}

Span::Span(Span &&) noexcept = default;

Span &Span::operator=(Span &&other) noexcept
{
    if (this != &other) {
        end();
        data_ = std::move(other.data_);
        context_ = other.context_;
        tracer_ = other.tracer_;
    }
    return *this;
}

Span::Span() = default;

Span::~Span()
{
    end();
}

void Span::set(std::string_view key, std::string_view value)
{
    if (data_) {
        data_->attributes.emplace_back(std::string(key), std::string(value));
    }
}

void Span::set(std::string_view key, std::int64_t value)
{
    if (data_) {
        data_->attributes.emplace_back(std::string(key), value);
    }
}

void Span::fail(std::string_view code)
{
    if (data_) {
        data_->failure = code;
    }
}

void Span::end()
{
    if (!data_) {
        return;
    }
    data_->duration = std::chrono::steady_clock::now() - data_->startMono;
    tracer_->finish(std::move(data_));
}

const TraceContext &Span::context() const
{
    return context_;
}

std::string Span::traceparent() const
{
    return context_.span == 0 ? std::string() : context_.toString();
}

Tracer::Tracer(Options options, Random random) : options_(std::move(options)), random_(random)
{
    if (!options_.file.empty()) {
        writer_ = std::make_unique<SpanWriter>(options_);
    }
}

Tracer::~Tracer() = default;

Span Tracer::start(std::string_view name, const std::optional<TraceContext> &parent, SpanKind kind)
{
    Span span;
    span.tracer_ = this;
    if (parent) {
        span.context_ = *parent;
    } else {
        span.context_.traceHigh = random_();
        span.context_.traceLow = nonZero(random_);
        span.context_.sampled = isChosen(span.context_.traceLow, options_.samplingRatio);
    }
    span.context_.span = nonZero(random_);
    if (!span.context_.sampled || !writer_) {
        return span;
    }
    span.data_ = std::make_unique<SpanData>();
    span.data_->name = name;
    span.data_->kind = kind;
    span.data_->context = span.context_;
    span.data_->parentSpan = parent ? parent->span : 0;
    span.data_->start = std::chrono::system_clock::now();
    span.data_->startMono = std::chrono::steady_clock::now();
    return span;
}

std::size_t Tracer::dropped() const
{
    return writer_ ? writer_->dropped() : 0;
}

bool Tracer::isWritable() const
{
    return !writer_ || writer_->isWritable();
}

void Tracer::finish(std::unique_ptr<SpanData> data)
{
    writer_->push(std::move(data));
}

} // namespace magnolia::observe
