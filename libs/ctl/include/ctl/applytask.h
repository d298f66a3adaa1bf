#ifndef MAGNOLIA_CTL_APPLYTASK_H
#define MAGNOLIA_CTL_APPLYTASK_H

#include "ctl/await.h"
#include "http/eventhandles.h"
#include "manifest/assembly.h"
#include "manifest/manifestapplier.h"
#include "store/tablestore.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace magnolia::ctl
{

/** Runs a ManifestApplier against the platform's stores, on the caller's loop until it ends. One thread. */
template<store::TableStore Table, store::ObjectStore Objects, ClockSource Clock = SystemClock>
class ApplyTask
{
public:
    ApplyTask(event_base *loop, Table &table, Objects &objects, Clock clock = {}) : loop_(loop), table_(table), objects_(objects), clock_(clock) {}

    manifest::ApplyOutcome run(manifest::Manifest manifest, manifest::ManifestApplier::Options options, Random random)
    {
        applier_ = std::make_shared<manifest::ManifestApplier>(std::move(manifest), std::move(options), random);
        const http::EventPtr timer(event_new(
            loop_, -1, 0, [](evutil_socket_t, short, void *) {}, nullptr));
        applier_->start(clock_.now());
        while (!applier_->outcome()) {
            for (const manifest::ApplyAction &action : applier_->takeActions()) {
                std::visit([this](const auto &wanted) { carryOut(wanted); }, action);
            }
            // Wakes the loop when the applier wants to be called, or when a reply has come.
            http::startTimer(timer.get(), std::max(std::chrono::ceil<Duration>(applier_->nextTime() - clock_.now()), Duration(1)));
            event_base_loop(loop_, EVLOOP_ONCE);
            applier_->onTime(clock_.now());
        }
        manifest::ApplyOutcome outcome = *applier_->outcome();
        applier_.reset();
        return outcome;
    }

private:
    using Applier = manifest::ManifestApplier;

    // Replies may come after the end; the weak pointer lets them find out.
    template<typename Take>
    auto whileRunning(Take take)
    {
        return [applier = std::weak_ptr(applier_), take = std::move(take)](const auto &reply) {
            if (const auto running = applier.lock()) {
                take(*running, reply);
            }
        };
    }

    static std::optional<Applier::StoredRow> toStored(const std::optional<store::Row> &row)
    {
        return row ? std::optional(Applier::StoredRow{.value = row->value, .revision = row->revision}) : std::nullopt;
    }

    void carryOut(const manifest::ApplyReadHead &)
    {
        table_.read(std::string(manifest::HeadRowKey), whileRunning([this](Applier &applier, const Result<std::optional<store::Row>> &row) {
                        applier.onHeadRow(clock_.now(), row.map(toStored));
                    }));
    }

    void carryOut(const manifest::ApplyReadObject &read)
    {
        objects_.get(manifest::objectName(read.hash), whileRunning([this, hash = read.hash](Applier &applier, const Result<std::optional<std::string>> &data) {
                         applier.onObject(clock_.now(), hash, data);
                     }));
    }

    void carryOut(const manifest::ApplyWriteObject &write)
    {
        objects_.put(manifest::objectName(write.hash), write.data, whileRunning([this, hash = write.hash](Applier &applier, const Result<void> &result) {
                         applier.onObjectWritten(clock_.now(), hash, result);
                     }));
    }

    void carryOut(const manifest::ApplyWriteHead &write)
    {
        auto done = whileRunning([this](Applier &applier, const Result<store::WriteOutcome> &result) {
            applier.onHeadWritten(clock_.now(), result.map([](const store::WriteOutcome &outcome) {
                return Applier::HeadWrite{.applied = outcome.applied, .current = toStored(outcome.current)};
            }));
        });
        if (write.revision) {
            table_.replace(std::string(manifest::HeadRowKey), *write.revision, write.value, std::move(done));
        } else {
            table_.insert(std::string(manifest::HeadRowKey), write.value, std::move(done));
        }
    }

    event_base *loop_;
    Table &table_;
    Objects &objects_;
    Clock clock_;
    std::shared_ptr<Applier> applier_;
};

/** Reads the manifest in force from the platform's stores. @return null if there is none. */
template<store::TableStore Table, store::ObjectStore Objects>
Result<manifest::ManifestIndex::Pointer> readManifestInForce(event_base *loop, Table &table, Objects &objects)
{
    const auto row = await<Result<std::optional<store::Row>>>(loop, [&table](auto done) { table.read(std::string(manifest::HeadRowKey), std::move(done)); });
    if (!row) {
        return tl::unexpected(row.error());
    }
    if (!*row) {
        return manifest::ManifestIndex::Pointer();
    }
    const auto head = manifest::HeadRow::decode((*row)->value);
    if (!head) {
        return tl::unexpected(head.error());
    }
    manifest::Assembly assembly({.version = head->head.version, .root = head->head.root});
    while (!assembly.isComplete()) {
        for (const manifest::Digest &hash : assembly.takeDiscovered()) {
            const auto data =
                await<Result<std::optional<std::string>>>(loop, [&objects, &hash](auto done) { objects.get(manifest::objectName(hash), std::move(done)); });
            if (!data) {
                return tl::unexpected(data.error());
            }
            if (!*data) {
                return fail(ErrorCode::NotFound, Verdict::NotRun, "the object store lacks " + manifest::objectName(hash));
            }
            if (const auto added = assembly.add(hash, **data); !added) {
                return tl::unexpected(added.error());
            }
        }
    }
    return assembly.finish();
}

} // namespace magnolia::ctl

#endif
