#include "wire/loadedlist.h"

#include <utility>

namespace magnolia::wire
{

LoadReport LoadedList::abridge(LoadReport report) const
{
    report.sameLoaded = known_ == report.loaded;
    if (report.sameLoaded) {
        report.loaded.clear();
    }
    return report;
}

void LoadedList::noteSent(const std::vector<std::string> &loaded)
{
    if (known_ != loaded) {
        known_ = loaded;
    }
}

void LoadedList::restore(LoadReport &report)
{
    if (std::exchange(report.sameLoaded, false)) {
        report.loaded = known_.value_or(std::vector<std::string>{});
        return;
    }
    known_ = report.loaded;
}

} // namespace magnolia::wire
