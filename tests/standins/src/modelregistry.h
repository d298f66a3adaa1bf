#ifndef MAGNOLIA_STANDINS_MODELREGISTRY_H
#define MAGNOLIA_STANDINS_MODELREGISTRY_H

#include "replies.h"

#include <map>
#include <string>
#include <string_view>

namespace magnolia::standins
{

/** The models, versions and adapters that an engine has loaded or is loading. */
class ModelRegistry
{
public:
    /** Begins to load; another version of the model is replaced at once. */
    void beginLoad(const std::string &model, const std::string &version);

    /** The load has ended, if it is still the one that is wanted. */
    void endLoad(const std::string &model, const std::string &version);

    void unload(const std::string &model);

    /** @return false if there is no such model. */
    bool loadAdapter(const std::string &model, const std::string &adapter, const std::string &version);
    bool unloadAdapter(const std::string &model, const std::string &adapter);

    /** @param name "NAME", "NAME@VERSION", "NAME/ADAPTER" or "NAME/ADAPTER@VERSION" */
    bool isServing(std::string_view name) const;

    void clear()
    {
        models_.clear();
    }

    Json toJson() const;

private:
    struct Model {
        std::string version;
        bool isServing = false;
        std::map<std::string, std::string> adapters; ///< Name to version.
    };

    std::map<std::string, Model, std::less<>> models_;
};

} // namespace magnolia::standins

#endif
