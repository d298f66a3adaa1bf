#ifndef MAGNOLIA_WIRE_LOADEDLIST_H
#define MAGNOLIA_WIRE_LOADEDLIST_H

#include "wire/messages.h"

#include <optional>
#include <string>
#include <vector>

namespace magnolia::wire
{

/**
 * The list of loaded models of one link's load reports, which is most of a report's size and seldom changes: it is left
 * out of a report when it is as it was in the one before on the same link.
 *
 * One at each end of each link, as old as the link: a fresh link begins with a whole list. Pure.
 */
class LoadedList
{
public:
    /** At the sender, for each report that is about to be sent. @return the report as it is to be sent. */
    LoadReport abridge(LoadReport report) const;

    /** At the sender, once a report has been taken by the link. @param loaded the whole list at that time. */
    void noteSent(const std::vector<std::string> &loaded);

    /**
     * At the receiver: puts back what was left out.
     *
     * A report that leaves the list out before there was one is of a peer that is at fault; it counts as if nothing were
     * loaded, so that nothing is sent there on a guess.
     */
    void restore(LoadReport &report);

private:
    std::optional<std::vector<std::string>> known_;
};

} // namespace magnolia::wire

#endif
