#ifndef MAGNOLIA_OBSERVE_TRACE_H
#define MAGNOLIA_OBSERVE_TRACE_H

#include "base/random.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::observe
{

/** Where a span stands in a trace, as a W3C traceparent header carries it. A value type. */
struct TraceContext {
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    bool sampled = false;

    /** @param traceparent "00-TRACE-SPAN-FLAGS", or a later version's longer form. @return nothing if it is malformed. */
    static std::optional<TraceContext> parse(std::string_view traceparent);

    /** @return the header's value, version 00. */
    std::string toString() const;

    bool operator==(const TraceContext &) const = default;
};

enum class SpanKind : std::uint8_t {
    Internal = 1, ///< Numbers as in OTLP.
    Server = 2,
    Client = 3,
};

class SpanWriter;
class Tracer;
struct SpanData;

/**
 * One hop's part of a request: from start() to end(), or to its destruction.
 *
 * Movable, not copyable; used on the thread that owns the request. A span that is not sampled costs next to nothing but
 * still has a context to hand on. The Tracer must outlive it.
 */
class Span
{
public:
    Span(); ///< Records nothing.
    Span(Span &&) noexcept;
    Span &operator=(Span &&) noexcept;
    ~Span();

    /** Adds an attribute. Never a secret, a prompt or an answer. */
    void set(std::string_view key, std::string_view value);
    void set(std::string_view key, std::int64_t value);

    /** Marks the span as failed. @param code name of an ErrorCode. */
    void fail(std::string_view code);

    /** Hands the span to the writer; later calls do nothing. */
    void end();

    const TraceContext &context() const;

    /** @return the header's value for the next hop; empty for a default-constructed span. */
    std::string traceparent() const;

private:
    friend class Tracer;
    std::unique_ptr<SpanData> data_;
    TraceContext context_;
    Tracer *tracer_ = nullptr;
};

/**
 * Starts spans and writes those that are sampled as OTLP JSON lines.
 *
 * One per process; start() and spans are used on the loop's thread. A task of its own does the writing, so that a slow or
 * blocked file never stalls the loop; when its queue is full spans are dropped and counted. Destroying the Tracer writes
 * what is queued.
 *
 * @code
 * Tracer tracer({.file = "/var/log/traces.jsonl", .service = "magnolia-entry"}, seededRandom());
 * Span span = tracer.start("entry.request", TraceContext::parse(header), SpanKind::Server);
 * dispatch.traceparent = span.traceparent();
 * @endcode
 */
class Tracer
{
public:
    struct Options {
        std::string file; ///< Lines are appended here; empty: nothing is written.
        std::string service; ///< OTLP service.name
        std::string instance; ///< OTLP service.instance.id
        std::string dataCentre; ///< OTLP cloud.availability_zone
        double samplingRatio = 1; ///< Share of new traces that are sampled, 0 to 1; a parent's choice is kept.
        std::size_t maxQueuedSpans = 10000;
    };

    Tracer(Options options, Random random);
    ~Tracer();
    Tracer(const Tracer &) = delete;
    Tracer &operator=(const Tracer &) = delete;

    /** @param parent context of the hop before; nothing begins a new trace. */
    Span start(std::string_view name, const std::optional<TraceContext> &parent = {}, SpanKind kind = SpanKind::Internal);

    /** @return how many spans were dropped because the writer could not keep up. */
    std::size_t dropped() const;

    /** @return false if the file could not be opened; spans are dropped then. */
    bool isWritable() const;

private:
    friend class Span;
    void finish(std::unique_ptr<SpanData> data);

    Options options_;
    Random random_;
    std::unique_ptr<SpanWriter> writer_;
};

} // namespace magnolia::observe

#endif
