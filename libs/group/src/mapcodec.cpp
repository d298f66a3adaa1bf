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

// Resolution of counts: rounding units in the mean count. The coordinator sums the counts of many ranks, so rounding errors cancel out.
constexpr std::uint64_t UnitsPerMeanCount = 4;

constexpr std::uint64_t ExpertLimit = std::uint64_t(std::numeric_limits<std::uint16_t>::max()) + 1;

void writeExperts(PackedWriter &writer, const Experts &experts)
{
    writer.put(experts.size());
    for (const std::uint16_t expert : experts) {
        writer.put(expert);
    }
}

Experts readExperts(PackedReader &reader)
{
    Experts experts(reader.readSize());
    for (std::uint16_t &expert : experts) {
        expert = static_cast<std::uint16_t>(reader.readBelow(ExpertLimit));
    }
    return experts;
}

Experts sorted(Experts experts)
{
    std::sort(experts.begin(), experts.end());
    return experts;
}

/** @return the experts that are not in the other list. Lists are short, so a linear search is sufficient. */
Experts difference(const Experts &experts, const Experts &others)
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

/** Reads one value, which must be the whole packed content. */
template<typename Read>
auto readComplete(std::string_view packed, Read read) -> Result<decltype(read(std::declval<PackedReader &>()))>
{
    auto reader = PackedReader::open(packed);
    if (!reader) {
        return tl::unexpected(reader.error());
    }
    auto value = read(*reader);
    if (!reader->isComplete()) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "packed numbers are truncated, have trailing data or are out of range");
    }
    return value;
}

/** Reads length-prefixed lists of experts: of one set by rank, or of one rank by set. */
std::vector<Experts> readLists(PackedReader &reader)
{
    std::vector<Experts> lists(reader.readSize());
    for (Experts &experts : lists) {
        experts = readExperts(reader);
    }
    return lists;
}

/** Writes one changed list of a map: the experts removed and the experts added. */
void writeEdit(PackedWriter &writer, std::size_t distance, const Experts &before, const Experts &after)
{
    writer.put(distance);
    writeExperts(writer, difference(before, after));
    writeExperts(writer, difference(after, before));
}

Experts applyEdit(const Experts &before, const Experts &removed, const Experts &added)
{
    Experts after = difference(before, removed);
    after.insert(after.end(), added.begin(), added.end());
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
            writeExperts(writer, sorted(experts)); // Sorted as applyMapDelta() leaves them, so that ranks get the same map from both encodings.
        }
    }
    return writer.packed();
}

Result<ExpertMap> decodeMap(std::string_view packed)
{
    return readComplete(packed, [](PackedReader &reader) {
        ExpertMap map(reader.readSize());
        for (auto &set : map) {
            set = readLists(reader);
        }
        return map;
    });
}

std::string encodeMapDelta(const ExpertMap &base, const ExpertMap &map)
{
    if (!isSameShape(base, map)) {
        return {};
    }
    PackedWriter writer;
    std::size_t distance = 1; // Lists since the last changed one, or since the start.
    for (std::size_t set = 0; set < map.size(); ++set) {
        for (std::size_t rank = 0; rank < map[set].size(); ++rank, ++distance) {
            if (sorted(map[set][rank]) != sorted(base[set][rank])) {
                writeEdit(writer, std::exchange(distance, 0), base[set][rank], map[set][rank]);
            }
        }
    }
    writer.put(distance); // Points just past the last list.
    return writer.packed();
}

Result<ExpertMap> applyMapDelta(ExpertMap base, std::string_view packed)
{
    std::uint64_t distance = 0;
    auto changed = readComplete(packed, [&base, &distance](PackedReader &reader) {
        distance = reader.read();
        for (auto &set : base) {
            for (Experts &experts : set) {
                if (--distance > 0) {
                    experts = sorted(std::move(experts));
                    continue;
                }
                const Experts removed = readExperts(reader);
                const Experts added = readExperts(reader);
                experts = applyEdit(experts, removed, added);
                distance = reader.read();
            }
        }
        return std::move(base);
    });
    if (changed && distance != 1) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "map delta refers to a set or rank that the map does not have");
    }
    return changed;
}

std::string encodeExpertsBySet(const ExpertsBySet &experts)
{
    PackedWriter writer;
    writer.put(experts.size());
    for (const Experts &ofSet : experts) {
        writeExperts(writer, ofSet);
    }
    return writer.packed();
}

Result<ExpertsBySet> decodeExpertsBySet(std::string_view packed)
{
    return readComplete(packed, [](PackedReader &reader) { return readLists(reader); });
}

std::string encodeCounts(const std::vector<std::uint64_t> &counts)
{
    const std::uint64_t total = std::accumulate(counts.begin(), counts.end(), std::uint64_t(0));
    const std::uint64_t unit = std::max<std::uint64_t>(total / std::max<std::uint64_t>(counts.size() * UnitsPerMeanCount, 1), 1);
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
    return readComplete(packed, [](PackedReader &reader) {
        const std::uint64_t unit = reader.read();
        std::vector<std::uint64_t> counts(reader.readSize());
        for (std::uint64_t &count : counts) {
            count = reader.read() * unit;
        }
        return counts;
    });
}

} // namespace magnolia::group
