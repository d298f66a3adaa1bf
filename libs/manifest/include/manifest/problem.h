#ifndef MAGNOLIA_MANIFEST_PROBLEM_H
#define MAGNOLIA_MANIFEST_PROBLEM_H

#include <string>
#include <vector>

namespace magnolia::manifest
{

/** One thing that is wrong with a manifest, and where. */
struct Problem {
    std::string place; ///< "line 3, column 7" in TOML; a JSON pointer such as "/models/0/name" in JSON.
    std::string message; ///< One sentence that says what was expected.
};

using Problems = std::vector<Problem>;

} // namespace magnolia::manifest

#endif
