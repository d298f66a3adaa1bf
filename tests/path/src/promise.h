#ifndef MAGNOLIA_PATH_PROMISE_H
#define MAGNOLIA_PATH_PROMISE_H

#include <string>
#include <vector>

namespace magnolia::path
{

/** How often something that must always hold was checked, and each time that it did not hold. */
struct Promise {
    std::string name;
    int checked = 0;
    std::vector<std::string> broken{}; ///< One line each: what was seen.

    void check(bool holds, const std::string &seen)
    {
        ++checked;
        if (!holds) {
            broken.push_back(seen);
        }
    }
};

} // namespace magnolia::path

#endif
