#ifndef MAGNOLIA_OBSERVE_SPANWRITER_H
#define MAGNOLIA_OBSERVE_SPANWRITER_H

#include "spandata.h"

#include <memory>

namespace magnolia::observe
{

/** The task that turns spans into OTLP JSON lines and writes them to the file that it owns. */
class SpanWriter
{
public:
    explicit SpanWriter(const Tracer::Options &options);
    ~SpanWriter();
    SpanWriter(const SpanWriter &) = delete;
    SpanWriter &operator=(const SpanWriter &) = delete;

    /** Queues a span; never blocks on the file. */
    void push(std::unique_ptr<SpanData> span);
    std::size_t dropped() const;
    bool isWritable() const;

private:
    struct Queue;
    std::shared_ptr<Queue> queue_;
    bool isWritable_ = false;
};

} // namespace magnolia::observe

#endif
