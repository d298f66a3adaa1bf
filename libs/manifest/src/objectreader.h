#ifndef MAGNOLIA_MANIFEST_OBJECTREADER_H
#define MAGNOLIA_MANIFEST_OBJECTREADER_H

#include "manifest/problem.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::manifest
{

using Json = nlohmann::json;
using Pointer = nlohmann::json::json_pointer;

/** A problem whose place has not been turned into words yet. */
struct LocatedProblem {
    Pointer pointer;
    std::string message;
};

/** Gathers problems up to a limit. */
class ProblemList
{
public:
    explicit ProblemList(std::size_t limit) : limit_(limit) {}

    void add(const Pointer &pointer, std::string message);
    bool isFull() const
    {
        return problems_.size() >= limit_;
    }
    const std::vector<LocatedProblem> &all() const
    {
        return problems_;
    }

private:
    std::size_t limit_;
    std::vector<LocatedProblem> problems_;
};

/** What a name in a manifest may be: 1 to 64 letters, digits, '.', '_' or '-', the first one a letter or digit. */
bool isName(std::string_view text);

/**
 * Reads the keys of one JSON object into plain values, and reports what does not fit.
 *
 * A key that is absent leaves the value as it is. Unknown keys are reported by finish().
 */
class ObjectReader
{
public:
    ObjectReader(const Json &value, Pointer pointer, ProblemList &problems);

    /** Requires the key. @return this, so that the read can follow at once. */
    ObjectReader &require(const char *key);

    ObjectReader &name(const char *key, std::string &into);
    ObjectReader &names(const char *key, std::vector<std::string> &into, std::string_view alsoAllowed = {});
    ObjectReader &digests(const char *key, std::vector<std::string> &into);
    ObjectReader &boolean(const char *key, bool &into);
    ObjectReader &integer(const char *key, std::uint64_t &into, std::uint64_t least, std::uint64_t most);
    ObjectReader &integer(const char *key, std::uint32_t &into, std::uint32_t least, std::uint32_t most);
    ObjectReader &number(const char *key, double &into, double least, double most);

    /** Reads a string that must be one of some words. @return its index, or nothing if it is absent or another. */
    std::size_t word(const char *key, const std::vector<std::string_view> &words, std::size_t absent);

    /** Reads strings, each of which must be one of some words. */
    ObjectReader &words(const char *key, std::vector<std::string> &into, const std::vector<std::string_view> &allowed);

    /** Reads an array of objects by a function (const Json &, const Pointer &, ProblemList &) -> T. */
    template<typename T, typename Read>
    ObjectReader &objects(const char *key, std::vector<T> &into, Read read)
    {
        const Json *array = find(key, Json::value_t::array);
        if (array == nullptr) {
            return *this;
        }
        into.reserve(array->size());
        for (std::size_t i = 0; i < array->size() && !problems_.isFull(); ++i) {
            into.push_back(read((*array)[i], pointer_ / key / i, problems_));
        }
        return *this;
    }

    /** Reports the keys that nobody asked for. */
    void finish();

private:
    const Json *find(const char *key, Json::value_t type);
    bool checkType(const Json &value, Json::value_t type, const Pointer &pointer);
    const Json *any(const char *key);

    const Json &value_;
    Pointer pointer_;
    ProblemList &problems_;
    std::vector<std::string_view> known_;
    bool isObject_;
};

} // namespace magnolia::manifest

#endif
