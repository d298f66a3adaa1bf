#include "manifest/manifestapplier.h"

#include "chunkcodec.h"
#include "manifest/assembly.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace magnolia::manifest
{

namespace
{

/** What one apply is doing. */
enum class Phase : std::uint8_t {
    ReadHead,
    ReadKnown, ///< Which chunks the version in force has stored already.
    Upload,
    WriteHead,
    ReadBase, ///< After a conflict: the version that we began from...
    ReadRival, ///< ...and the rival's.
    Ended,
};

/** A read or write of one object. */
struct ObjectRequest {
    bool isOut = false;
    MonoTime until; ///< When it has failed, or may be sent again.
};

} // namespace

class ManifestApplier::Impl
{
public:
    Impl(Manifest manifest, Options options, Random random) : manifest_(std::move(manifest)), options_(std::move(options)), random_(random) {}

    void start(MonoTime now)
    {
        lastProgress_ = now;
        sendSingle(now);
    }

    void onTime(MonoTime now)
    {
        if (phase_ == Phase::Ended) {
            return;
        }
        if (now - lastProgress_ >= options_.giveUpAfter) {
            giveUp();
            return;
        }
        if (isSinglePhase() && now >= single_.until) {
            if (single_.isOut) {
                onSingleLost(now);
            } else {
                sendSingle(now);
            }
        }
        pumpObjects(now);
    }

    MonoTime nextTime() const
    {
        MonoTime next = lastProgress_ + options_.giveUpAfter;
        if (isSinglePhase()) {
            return std::min(next, single_.until);
        }
        for (const auto &[hash, request] : objects_) {
            next = std::min(next, request.until);
        }
        return next;
    }

    void onHeadRow(MonoTime now, const Result<std::optional<StoredRow>> &row)
    {
        if (phase_ != Phase::ReadHead) {
            return; // Late or doubled.
        }
        if (!row) {
            lastFailure_ = row.error().detail;
            retrySingle(now);
            return;
        }
        lastProgress_ = now;
        if (*row && !takeHead(**row)) {
            return;
        }
        begin(now);
    }

    void onObject(MonoTime now, const Digest &hash, const Result<std::optional<std::string>> &data)
    {
        const auto request = objects_.find(hash);
        const bool isReading = phase_ == Phase::ReadKnown || phase_ == Phase::ReadBase || phase_ == Phase::ReadRival;
        if (request == objects_.end() || !isReading) {
            return;
        }
        if (!data) {
            lastFailure_ = data.error().detail;
            retryObject(request->second, now);
            return;
        }
        lastProgress_ = now;
        objects_.erase(request);
        if (phase_ == Phase::ReadKnown) {
            noteKnown(hash, *data);
        } else if (!*data || !assembly_->add(hash, **data)) {
            endConflict(); // The rival's manifest cannot be read; the conflict stands all the same.
            return;
        } else {
            wantObjects(assembly_->takeDiscovered(), now);
        }
        pumpObjects(now);
        if (objects_.empty()) {
            advance(now);
        }
    }

    void onObjectWritten(MonoTime now, const Digest &hash, const Result<void> &result)
    {
        const auto request = objects_.find(hash);
        if (request == objects_.end() || phase_ != Phase::Upload) {
            return;
        }
        if (!result) {
            lastFailure_ = result.error().detail;
            retryObject(request->second, now);
            return;
        }
        lastProgress_ = now;
        ++draft_.chunksWritten;
        draft_.bytesWritten += chunks_.chunks.at(hash).size();
        objects_.erase(request);
        pumpObjects(now);
        if (objects_.empty()) {
            advance(now);
        }
    }

    void onHeadWritten(MonoTime now, const Result<HeadWrite> &result)
    {
        if (phase_ != Phase::WriteHead) {
            return;
        }
        if (!result) {
            lastFailure_ = result.error().detail;
            mayHaveRun_ = mayHaveRun_ || result.error().verdict != Verdict::NotRun;
            retrySingle(now);
            return;
        }
        lastProgress_ = now;
        if (result->applied) {
            endApplied(false);
        } else {
            settleRefusedWrite(now, result->current);
        }
    }

    std::vector<ApplyAction> takeActions()
    {
        return std::exchange(actions_, {});
    }

    const std::optional<ApplyOutcome> &outcome() const
    {
        return outcome_;
    }

private:
    // ---- Reading the head ---------------------------------------------------------------------------------------

    // @return false if the apply has ended.
    bool takeHead(const StoredRow &row)
    {
        auto head = HeadRow::decode(row.value);
        if (!head) {
            end(ApplyResult::Broken, Verdict::NotRun, head.error().detail);
            return false;
        }
        base_ = std::move(*head);
        revision_ = row.revision;
        return true;
    }

    void begin(MonoTime now)
    {
        if (options_.base && *options_.base != base_.head.version) {
            rival_ = base_;
            const HeadEntry *entry = base_.find(*options_.base);
            beginConflict(now, entry != nullptr ? *entry : HeadEntry{});
            return;
        }
        if (base_.head.version != 0) {
            manifest_.version = base_.head.version;
            if (split(manifest_).root == base_.head.root) {
                draft_.version = base_.head.version;
                draft_.root = base_.head.root;
                end(ApplyResult::Unchanged, Verdict::NotRun, "the version in force has the same content");
                return;
            }
        }
        manifest_.version = base_.head.version + 1;
        chunks_ = split(manifest_);
        phase_ = Phase::ReadKnown;
        if (base_.head.version != 0) {
            wantObjects({base_.head.root}, now);
            pumpObjects(now);
        } else {
            advance(now);
        }
    }

    // What the version in force refers to has been stored, so only the rest is uploaded. An object that is gone or
    // unreadable just means that more is uploaded.
    void noteKnown(const Digest &hash, const std::optional<std::string> &data)
    {
        const auto chunk = data && Digest::of(*data) == hash ? decodeChunk(*data) : fail(ErrorCode::NotFound, Verdict::NotRun);
        if (!chunk) {
            return;
        }
        known_.insert(hash);
        if (const auto *root = std::get_if<RootChunk>(&(*chunk)->body)) {
            known_.insert({root->models, root->endpoints, root->groups, root->services});
            wantObjects(root->branches, lastProgress_);
        } else if (const auto *branch = std::get_if<BranchChunk>(&(*chunk)->body)) {
            known_.insert(branch->shards.begin(), branch->shards.end());
        }
    }

    // ---- Objects ------------------------------------------------------------------------------------------------

    void wantObjects(const std::vector<Digest> &hashes, MonoTime now)
    {
        for (const Digest &hash : hashes) {
            objects_.emplace(hash, ObjectRequest{.isOut = false, .until = now});
        }
    }

    void pumpObjects(MonoTime now)
    {
        std::size_t out = 0;
        for (auto &[hash, request] : objects_) {
            if (request.isOut && now >= request.until) {
                request.isOut = false; // Lost; objects may be read and written any number of times.
            }
            out += request.isOut ? 1 : 0;
        }
        for (auto &[hash, request] : objects_) {
            if (out >= options_.maxRequests) {
                return;
            }
            if (request.isOut || now < request.until) {
                continue;
            }
            request = {.isOut = true, .until = now + options_.replyTimeout};
            ++out;
            if (phase_ == Phase::Upload) {
                actions_.emplace_back(ApplyWriteObject{.hash = hash, .data = chunks_.chunks.at(hash)});
            } else {
                actions_.emplace_back(ApplyReadObject{.hash = hash});
            }
        }
    }

    void retryObject(ObjectRequest &request, MonoTime now)
    {
        request = {.isOut = false, .until = now + jittered(options_.retryInterval)};
    }

    // All objects of a phase are done.
    void advance(MonoTime now)
    {
        switch (phase_) {
        case Phase::ReadKnown:
            phase_ = Phase::Upload;
            for (const auto &[hash, data] : chunks_.chunks) {
                if (!known_.contains(hash)) {
                    wantObjects({hash}, now);
                }
            }
            pumpObjects(now);
            return;
        case Phase::Upload:
            phase_ = Phase::WriteHead;
            sendSingle(now);
            return;
        case Phase::ReadBase:
            readRival(now);
            return;
        case Phase::ReadRival:
            compareWithRival();
            return;
        case Phase::ReadHead:
        case Phase::WriteHead:
        case Phase::Ended:
            return;
        }
    }

    // ---- The head row: one request at a time --------------------------------------------------------------------

    bool isSinglePhase() const
    {
        return phase_ == Phase::ReadHead || phase_ == Phase::WriteHead;
    }

    void sendSingle(MonoTime now)
    {
        single_ = {.isOut = true, .until = now + options_.replyTimeout};
        if (phase_ == Phase::ReadHead) {
            actions_.emplace_back(ApplyReadHead{});
            return;
        }
        // Each retry is the same write under the same condition, so at most one of them takes effect, and none once a
        // rival has moved the row. That is what makes a lost reply harmless.
        actions_.emplace_back(ApplyWriteHead{.revision = revision_, .value = base_.next(chunks_.root, options_.applyId).encode()});
    }

    void onSingleLost(MonoTime now)
    {
        mayHaveRun_ = mayHaveRun_ || phase_ == Phase::WriteHead;
        lastFailure_ = "no reply";
        retrySingle(now);
    }

    void retrySingle(MonoTime now)
    {
        single_ = {.isOut = false, .until = now + jittered(options_.retryInterval)};
    }

    // The condition did not hold: either an earlier write of ours took effect, or a rival was first.
    void settleRefusedWrite(MonoTime now, const std::optional<StoredRow> &current)
    {
        if (!current) {
            end(ApplyResult::Broken, mayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun, "the manifest's head row is gone");
            return;
        }
        auto row = HeadRow::decode(current->value);
        if (!row) {
            end(ApplyResult::Broken, mayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun, row.error().detail);
            return;
        }
        rival_ = std::move(*row);
        if (rival_.find(options_.applyId) != nullptr) {
            endApplied(rival_.head.applyId != options_.applyId);
            return;
        }
        // The history would show our write unless so many others followed that it has dropped out.
        const bool isHistoryWhole = rival_.head.version <= base_.head.version + HeadRow::MaxHistory;
        conflictVerdict_ = mayHaveRun_ && !isHistoryWhole ? Verdict::MayHaveRun : Verdict::NotRun;
        beginConflict(now, base_.head);
    }

    // ---- A conflict: what did the rival change? -----------------------------------------------------------------

    void beginConflict(MonoTime now, const HeadEntry &from)
    {
        draft_.version = rival_.head.version;
        draft_.root = rival_.head.root;
        if (from.version == 0) {
            endConflict();
            return;
        }
        phase_ = Phase::ReadBase;
        readVersion(now, from, nullptr);
    }

    void readVersion(MonoTime now, const HeadEntry &entry, const ManifestIndex::Pointer &earlier)
    {
        objects_.clear();
        assembly_.emplace(Assembly::Target{.version = entry.version, .root = entry.root}, earlier);
        wantObjects(assembly_->takeDiscovered(), now);
        pumpObjects(now);
    }

    void readRival(MonoTime now)
    {
        auto index = assembly_->finish();
        if (!index) {
            endConflict();
            return;
        }
        baseIndex_ = std::move(*index);
        phase_ = Phase::ReadRival;
        readVersion(now, rival_.head, baseIndex_);
    }

    void compareWithRival()
    {
        const auto index = assembly_->finish();
        if (index) {
            draft_.rivalChanges = diffManifests(baseIndex_->toManifest(), (*index)->toManifest());
        }
        endConflict();
    }

    void endConflict()
    {
        end(ApplyResult::Conflict, conflictVerdict_, fmt::format("version {} is in force, put there by apply {}", rival_.head.version, rival_.head.applyId));
    }

    // ---- The end ------------------------------------------------------------------------------------------------

    void endApplied(bool isSuperseded)
    {
        draft_.version = manifest_.version;
        draft_.root = chunks_.root;
        draft_.superseded = isSuperseded;
        end(ApplyResult::Applied, Verdict::Ran, "in force");
    }

    void giveUp()
    {
        if (phase_ == Phase::ReadBase || phase_ == Phase::ReadRival) {
            endConflict();
            return;
        }
        end(ApplyResult::Unavailable, mayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun, "the platform does not answer: " + lastFailure_);
    }

    void end(ApplyResult result, Verdict verdict, std::string detail)
    {
        phase_ = Phase::Ended;
        objects_.clear();
        draft_.result = result;
        draft_.verdict = verdict;
        draft_.detail = std::move(detail);
        outcome_ = std::move(draft_);
    }

    Duration jittered(Duration mean)
    {
        std::uniform_int_distribution<Duration::rep> spread(mean.count() / 2, mean.count() + mean.count() / 2);
        return Duration(spread(random_));
    }

    Manifest manifest_;
    Options options_;
    Random random_;
    std::vector<ApplyAction> actions_;
    std::optional<ApplyOutcome> outcome_;
    ApplyOutcome draft_;

    Phase phase_ = Phase::ReadHead;
    MonoTime lastProgress_;
    std::string lastFailure_ = "no reply";
    ObjectRequest single_;
    std::map<Digest, ObjectRequest> objects_;

    HeadRow base_; ///< As read at the beginning; version 0 if there was none.
    std::optional<std::uint64_t> revision_;
    ChunkSet chunks_;
    std::set<Digest> known_;
    bool mayHaveRun_ = false; ///< A write of the head row went without a reply.

    HeadRow rival_;
    Verdict conflictVerdict_ = Verdict::NotRun;
    std::optional<Assembly> assembly_;
    ManifestIndex::Pointer baseIndex_;
};

ManifestApplier::ManifestApplier(Manifest manifest, Options options, Random random)
    : impl_(std::make_unique<Impl>(std::move(manifest), std::move(options), random))
{
}

ManifestApplier::~ManifestApplier() = default;

void ManifestApplier::start(MonoTime now)
{
    impl_->start(now);
}

void ManifestApplier::onTime(MonoTime now)
{
    impl_->onTime(now);
}

MonoTime ManifestApplier::nextTime() const
{
    return impl_->nextTime();
}

void ManifestApplier::onHeadRow(MonoTime now, const Result<std::optional<StoredRow>> &row)
{
    impl_->onHeadRow(now, row);
}

void ManifestApplier::onObject(MonoTime now, const Digest &hash, const Result<std::optional<std::string>> &data)
{
    impl_->onObject(now, hash, data);
}

void ManifestApplier::onObjectWritten(MonoTime now, const Digest &hash, const Result<void> &result)
{
    impl_->onObjectWritten(now, hash, result);
}

void ManifestApplier::onHeadWritten(MonoTime now, const Result<HeadWrite> &result)
{
    impl_->onHeadWritten(now, result);
}

std::vector<ApplyAction> ManifestApplier::takeActions()
{
    return impl_->takeActions();
}

const std::optional<ApplyOutcome> &ManifestApplier::outcome() const
{
    return impl_->outcome();
}

} // namespace magnolia::manifest
