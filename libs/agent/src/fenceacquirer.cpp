#include "agent/fenceacquirer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::agent
{

std::string FenceRow::encode() const
{
    return nlohmann::json({{"fence", fence}, {"incarnation", incarnation}}).dump();
}

Result<FenceRow> FenceRow::decode(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return FenceRow{.fence = json.at("fence").get<std::uint64_t>(), .incarnation = json.at("incarnation").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, std::string("the fence row is malformed: ") + error.what());
    }
}

FenceAcquirer::FenceAcquirer(wire::Incarnation incarnation) : incarnation_(incarnation) {}

std::optional<FenceAcquirer::Write> FenceAcquirer::onRow(const std::optional<store::Row> &row, std::uint64_t highestSeen)
{
    if (fence_) {
        return std::nullopt;
    }
    FenceRow current;
    if (row) {
        const auto decoded = FenceRow::decode(row->value);
        if (!decoded) {
            return std::nullopt;
        }
        current = *decoded;
    }
    if (row && current.incarnation == incarnation_ && current.fence > highestSeen) {
        // Our own write, whose reply was lost.
        fence_ = current.fence;
        return std::nullopt;
    }
    tried_ = std::max(current.fence, highestSeen) + 1;
    return Write{.revision = row ? row->revision : 0, .value = FenceRow{.fence = tried_, .incarnation = incarnation_}.encode()};
}

void FenceAcquirer::reset()
{
    fence_.reset();
}

void FenceAcquirer::onApplied()
{
    fence_ = tried_;
}

std::optional<std::uint64_t> FenceAcquirer::fence() const
{
    return fence_;
}

bool FenceAcquirer::isSuperseded(const std::optional<store::Row> &row) const
{
    if (!fence_ || !row) {
        return false;
    }
    const auto current = FenceRow::decode(row->value);
    return current && current->fence > *fence_;
}

} // namespace magnolia::agent
