#ifndef MAGNOLIA_MANIFEST_MANIFESTAPPLIER_H
#define MAGNOLIA_MANIFEST_MANIFESTAPPLIER_H

#include "base/clock.h"
#include "base/failure.h"
#include "base/random.h"
#include "manifest/chunks.h"
#include "manifest/diff.h"
#include "manifest/headrow.h"
#include "manifest/manifest.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnolia::manifest
{

/** Read the row HeadRowKey and answer by onHeadRow. */
struct ApplyReadHead {
};

/** Read an object and answer by onObject. */
struct ApplyReadObject {
    Digest hash;
};

/** Write an object and answer by onObjectWritten. */
struct ApplyWriteObject {
    Digest hash;
    std::string data;
};

/** Write the head row if it is still at this revision (none: if it is absent) and answer by onHeadWritten. */
struct ApplyWriteHead {
    std::optional<std::uint64_t> revision;
    std::string value;
};

using ApplyAction = std::variant<ApplyReadHead, ApplyReadObject, ApplyWriteObject, ApplyWriteHead>;

enum class ApplyResult : std::uint8_t {
    Applied, ///< The version is in force.
    Unchanged, ///< The version in force has the same content already; nothing was written.
    Conflict, ///< A rival moved the head first; nothing of ours is in force.
    Unavailable, ///< The platform did not answer; see ApplyOutcome::verdict.
    Broken, ///< The platform holds something that is no manifest.
};

struct ApplyOutcome {
    ApplyResult result = ApplyResult::Unavailable;
    Verdict verdict = Verdict::NotRun; ///< Whether our version may have come, or may yet come, in force.
    std::uint64_t version = 0; ///< Ours if applied, else the head's as far as known.
    Digest root;
    bool superseded = false; ///< Ours was applied, and a rival has put a later one in force since.
    std::vector<Change> rivalChanges; ///< On a conflict: what the rival changed since the version that we began from.
    std::string detail;
    std::size_t chunksWritten = 0;
    std::size_t bytesWritten = 0;
};

/**
 * Decides how one manifest is put in force.
 *
 * Reads the head, uploads the chunks that the version in force lacks, then moves the head from n to n + 1 by one
 * conditional write. A lost reply to that write is settled by writing again under the same condition and apply id: at most
 * one of the writes can take effect, and the apply id in the head or its history tells whose it was. Pure; lives for one
 * apply; calls come from one thread. After each call take the actions, until outcome() is there.
 */
class ManifestApplier
{
public:
    struct Options {
        std::string applyId; ///< Random; names this run.
        std::optional<std::uint64_t> base; ///< Only if this version is in force: the one that the new manifest was made from.
        std::size_t maxRequests = 16; ///< Requests at once.
        Duration replyTimeout{5000};
        Duration retryInterval{500}; ///< After a failure, with jitter.
        Duration giveUpAfter{30000}; ///< Without any progress for so long the outcome is Unavailable.
    };

    ManifestApplier(Manifest manifest, Options options, Random random);
    ~ManifestApplier();
    ManifestApplier(const ManifestApplier &) = delete;
    ManifestApplier &operator=(const ManifestApplier &) = delete;

    void start(MonoTime now);
    void onTime(MonoTime now);
    MonoTime nextTime() const;

    /** A row as the table gave it. */
    struct StoredRow {
        std::string value;
        std::uint64_t revision = 0;
    };
    void onHeadRow(MonoTime now, const Result<std::optional<StoredRow>> &row);
    void onObject(MonoTime now, const Digest &hash, const Result<std::optional<std::string>> &data);
    void onObjectWritten(MonoTime now, const Digest &hash, const Result<void> &result);
    /** @param result on success: whether it was applied, and what stands there if not. */
    struct HeadWrite {
        bool applied = false;
        std::optional<StoredRow> current;
    };
    void onHeadWritten(MonoTime now, const Result<HeadWrite> &result);

    std::vector<ApplyAction> takeActions();
    /** @return nothing while it goes on. */
    const std::optional<ApplyOutcome> &outcome() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::manifest

#endif
