#ifndef MAGNOLIA_AGENT_FENCEACQUIRER_H
#define MAGNOLIA_AGENT_FENCEACQUIRER_H

#include "base/failure.h"
#include "store/tablestore.h"
#include "wire/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace magnolia::agent
{

/** The row fence/ENDPOINT: the highest fencing number given out, and to whom. */
struct FenceRow {
    std::uint64_t fence = 0;
    wire::Incarnation incarnation = 0;

    std::string encode() const;
    static Result<FenceRow> decode(std::string_view text);
};

/**
 * Takes a fencing number for this incarnation of the agent, higher than any given out before.
 *
 * Pure: the caller reads the row, hands it to onRow, carries out the write that comes back, and begins again from the
 * read after any failure or refusal. That settles a lost reply too: the row names the incarnation that wrote it.
 *
 * @code
 * if (const auto write = acquirer.onRow(row)) { table.replace(key, write->revision, write->value, ...) }
 * @endcode
 */
class FenceAcquirer
{
public:
    struct Write {
        std::uint64_t revision = 0; ///< Replace the row at this revision; 0: insert it.
        std::string value{};
    };

    explicit FenceAcquirer(wire::Incarnation incarnation);

    /**
     * The row was read.
     *
     * @param highestSeen number that the engine has refused ours for; the new one is higher than this too. Else 0.
     * @return the write to try; nothing if the number is taken or the row can't be understood.
     */
    std::optional<Write> onRow(const std::optional<store::Row> &row, std::uint64_t highestSeen = 0);

    /** The engine refuses the number: a higher one is needed. */
    void reset();

    /** A write's reply came, and it was applied. */
    void onApplied();

    /** @return the fencing number; nothing while there is none. */
    std::optional<std::uint64_t> fence() const;

    /** @return true if the row says that a later incarnation took over. */
    bool isSuperseded(const std::optional<store::Row> &row) const;

private:
    wire::Incarnation incarnation_;
    std::uint64_t tried_ = 0;
    std::optional<std::uint64_t> fence_;
};

} // namespace magnolia::agent

#endif
