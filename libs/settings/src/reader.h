#ifndef MAGNOLIA_SETTINGS_READER_H
#define MAGNOLIA_SETTINGS_READER_H

#include "settings/settings.h"

#include <toml++/toml.h>

#include <concepts>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::settings
{

/** The problems of one file, gathered as it is read. */
class ProblemList
{
public:
    explicit ProblemList(std::string_view file);

    void add(const toml::source_region &source, std::string message);
    bool empty() const;

    /** @return all problems, in the order of the file. */
    std::vector<Problem> take();

private:
    std::string file_;
    std::vector<Problem> problems_;
};

/** Whether a key has to be there. */
enum class Presence : std::uint8_t {
    Required,
    Optional,
};

/** Whether a port of 0, which lets the kernel pick one, makes sense. */
enum class AddressUse : std::uint8_t {
    Listen,
    Connect,
};

/** The inclusive bounds of a number. */
template<typename T>
struct Range {
    T least;
    T most;
};

/**
 * Reads the keys of one table, and reports whatever is not as it should be.
 *
 * Each read leaves its target as it was, with its default, if the key is absent or wrong. finish() reports keys that no
 * read asked for. A table that is not there at all reads as an empty one.
 */
class TableReader
{
public:
    TableReader(const toml::table &table, std::string name, ProblemList &problems);

    void readText(std::string_view key, std::string &out, Presence presence);
    void readAddress(std::string_view key, std::string &out, AddressUse use, Presence presence);
    void readAddresses(std::string_view key, std::vector<std::string> &out);
    void readSecret(std::string_view key, observe::Secret &out, Presence presence);
    void readDuration(std::string_view key, Duration &out, Range<std::int64_t> milliseconds);
    void readSize(std::string_view key, std::size_t &out, Range<std::int64_t> range);
    void readRatio(std::string_view key, double &out);
    void readNumber(std::string_view key, double &out, Range<double> range);
    void readFlag(std::string_view key, bool &out);

    template<typename T>
    void readChoice(std::string_view key, T &out, const std::map<std::string, T> &choices)
    {
        const toml::node *node = find(key, Presence::Optional);
        if (node == nullptr) {
            return;
        }
        const auto text = node->value_exact<std::string>();
        if (text && choices.contains(*text)) {
            out = choices.at(*text);
            return;
        }
        std::vector<std::string> names;
        names.reserve(choices.size());
        for (const auto &[name, value] : choices) {
            names.push_back(name);
        }
        reportWrong(*node, key, "one of " + quotedList(names));
    }

    /** @return the array of tables under a key, read by one call of read(TableReader &) each. */
    template<typename F>
    requires std::invocable<F, TableReader &>
    void readTables(std::string_view key, Presence presence, F read)
    {
        const toml::node *node = find(key, presence);
        if (node == nullptr) {
            return;
        }
        const toml::array *array = node->as_array();
        if (array == nullptr) {
            reportWrong(*node, key, "an array of tables");
            return;
        }
        for (const toml::node &element : *array) {
            readElement(element, key, read);
        }
    }

    /** Reports something that no single read can see. */
    void reportAt(std::string_view key, std::string message);
    void finish();

private:
    template<typename F>
    void readElement(const toml::node &element, std::string_view key, F read)
    {
        const toml::table *table = element.as_table();
        if (table == nullptr) {
            reportWrong(element, key, "a table");
            return;
        }
        TableReader reader(*table, name_.empty() ? std::string(key) : name_ + "." + std::string(key), problems_);
        read(reader);
        reader.finish();
    }

    const toml::node *find(std::string_view key, Presence presence);
    bool readInteger(std::string_view key, std::int64_t &out, Range<std::int64_t> range, std::string_view unit);
    void reportWrong(const toml::node &node, std::string_view key, std::string_view expected);
    std::string fullName(std::string_view key) const;
    static std::string quotedList(const std::vector<std::string> &names);

    const toml::table &table_;
    std::string name_;
    ProblemList &problems_;
    std::set<std::string, std::less<>> known_;
};

} // namespace magnolia::settings

#endif
