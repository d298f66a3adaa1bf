#include "mapcodec.h"

#include "packednumbers.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

namespace magnolia::group
{

namespace
{

using Experts = std::vector<std::uint16_t>;

// Of a count, as a mean: a coordinator adds up many ranks' counts, so that what rounding takes from one evens out.
constexpr std::uint64_t MeanUnits = 4;

constexpr std::uint64_t ExpertsBound = std::uint64_t(std::numeric_limits<std::uint16_t>::max()) + 1;

void putExperts(PackedWriter &writer, const Experts &experts)
{
    writer.put(experts.size());
    for (const std::uint16_t expert : experts) {
        writer.put(expert);
    }
}

Experts takeExperts(PackedReader &reader)
{
    Experts experts(reader.takeSize());
    for (std::uint16_t &expert : experts) {
        expert = static_cast<std::uint16_t>(reader.takeBelow(ExpertsBound));
    }
    return experts;
}

Experts sorted(Experts experts)
{
    std::sort(experts.begin(), experts.end());
    return experts;
}

/** The elements of one that the other does not have. Lists are a few places long. */
Experts without(const Experts &experts, const Experts &others)
{
    Experts rest;
    std::copy_if(experts.begin(), experts.end(), std::back_inserter(rest), [&others](std::uint16_t expert) {
        return std::find(others.begin(), others.end(), expert) == others.end();
    });
    return rest;
}

bool isSameShape(const ExpertMap &one, const ExpertMap &other)
{
    return std::equal(
        one.begin(), one.end(), other.begin(), other.end(), [](const auto &ofOne, const auto &ofOther) { return ofOne.size() == ofOther.size(); });
}

/** Reads one value, which must be all that was packed. */
template<typename Read>
auto readWhole(std::string_view packed, Read read) -> Result<decltype(read(std::declval<PackedReader &>()))>
{
    auto reader = PackedReader::open(packed);
    if (!reader) {
        return tl::unexpected(reader.error());
    }
    auto value = read(*reader);
    if (!reader->isWhole()) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "packed numbers end too soon, have more than expected, or are out of range");
    }
    return value;
}

/** Lists of experts with their number before them: of one set by rank, or of one rank by set. */
std::vector<Experts> takeLists(PackedReader &reader)
{
    std::vector<Experts> lists(reader.takeSize());
    for (Experts &experts : lists) {
        experts = takeExperts(reader);
    }
    return lists;
}

/** One changed place of a map: what is taken from it and what is put there. */
void putEdit(PackedWriter &writer, std::size_t distance, const Experts &before, const Experts &after)
{
    writer.put(distance);
    putExperts(writer, without(before, after));
    putExperts(writer, without(after, before));
}

Experts edited(const Experts &before, const Experts &taken, const Experts &put)
{
    Experts after = without(before, taken);
    after.insert(after.end(), put.begin(), put.end());
    return sorted(std::move(after));
}

} // namespace

std::string encodeMap(const ExpertMap &map)
{
    PackedWriter writer;
    writer.put(map.size());
    for (const auto &set : map) {
        writer.put(set.size());
        for (const Experts &experts : set) {
            putExperts(writer, sorted(experts)); // As a change leaves them: ranks that are told in either form hold the same.
        }
    }
    return writer.packed();
}

Result<ExpertMap> decodeMap(std::string_view packed)
{
    return readWhole(packed, [](PackedReader &reader) {
        ExpertMap map(reader.takeSize());
        for (auto &set : map) {
            set = takeLists(reader);
        }
        return map;
    });
}

std::string encodeMapChange(const ExpertMap &base, const ExpertMap &map)
{
    if (!isSameShape(base, map)) {
        return {};
    }
    PackedWriter writer;
    std::size_t distance = 1; // From the last change, or from before the first place.
    for (std::size_t set = 0; set < map.size(); ++set) {
        for (std::size_t rank = 0; rank < map[set].size(); ++rank, ++distance) {
            if (sorted(map[set][rank]) != sorted(base[set][rank])) {
                putEdit(writer, std::exchange(distance, 0), base[set][rank], map[set][rank]);
            }
        }
    }
    writer.put(distance); // Leads to just behind the last place.
    return writer.packed();
}

Result<ExpertMap> applyMapChange(ExpertMap base, std::string_view packed)
{
    std::uint64_t distance = 0;
    auto changed = readWhole(packed, [&base, &distance](PackedReader &reader) {
        distance = reader.take();
        for (auto &set : base) {
            for (Experts &experts : set) {
                if (--distance > 0) {
                    experts = sorted(std::move(experts));
                    continue;
                }
                const Experts taken = takeExperts(reader);
                const Experts put = takeExperts(reader);
                experts = edited(experts, taken, put);
                distance = reader.take();
            }
        }
        return std::move(base);
    });
    if (changed && distance != 1) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "a change of a map names a set or rank that it does not have");
    }
    return changed;
}

std::string encodeSetExperts(const SetExperts &experts)
{
    PackedWriter writer;
    writer.put(experts.size());
    for (const Experts &ofSet : experts) {
        putExperts(writer, ofSet);
    }
    return writer.packed();
}

Result<SetExperts> decodeSetExperts(std::string_view packed)
{
    return readWhole(packed, [](PackedReader &reader) { return takeLists(reader); });
}

std::string encodeCounts(const std::vector<std::uint64_t> &counts)
{
    const std::uint64_t total = std::accumulate(counts.begin(), counts.end(), std::uint64_t(0));
    const std::uint64_t unit = std::max<std::uint64_t>(total / std::max<std::uint64_t>(counts.size() * MeanUnits, 1), 1);
    PackedWriter writer;
    writer.put(unit);
    writer.put(counts.size());
    for (const std::uint64_t count : counts) {
        writer.put((count + unit / 2) / unit);
    }
    return writer.packed();
}

Result<std::vector<std::uint64_t>> decodeCounts(std::string_view packed)
{
    return readWhole(packed, [](PackedReader &reader) {
        const std::uint64_t unit = reader.take();
        std::vector<std::uint64_t> counts(reader.takeSize());
        for (std::uint64_t &count : counts) {
            count = reader.take() * unit;
        }
        return counts;
    });
}

} // namespace magnolia::group
