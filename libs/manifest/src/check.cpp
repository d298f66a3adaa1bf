#include "check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace magnolia::manifest
{

namespace
{

constexpr std::string_view AllAdapters = "*";
constexpr std::size_t MaxRanksNamed = 8;

/** One pass over a manifest; holds the names that references are checked against. */
class Checker
{
public:
    Checker(const Manifest &manifest, ProblemList &problems) : manifest_(manifest), problems_(problems) {}

    void run()
    {
        indexNames(std::span(manifest_.models), "models", models_);
        indexNames(std::span(manifest_.services), "services", services_);
        indexNames(std::span(manifest_.groups), "groups", groups_);
        indexNames(std::span(manifest_.endpoints), "endpoints", endpoints_);
        checkOrganisations();
        checkEndpoints();
        checkModels();
        checkGroups();
    }

private:
    template<typename T>
    using Names = std::unordered_map<std::string_view, const T *>;

    template<typename T>
    void indexNames(std::span<const T> entries, const char *section, Names<T> &names)
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const std::string &name = entries[i].name;
            if (!name.empty() && !names.emplace(name, &entries[i]).second) {
                problems_.add(Pointer() / section / i / "name", fmt::format("\"{}\" is named twice in {}", name, section));
            }
        }
    }

    void checkOrganisations()
    {
        Names<Organisation> names;
        indexNames(std::span(manifest_.organisations), "organisations", names);
        std::unordered_map<std::string_view, std::string_view> ownerOfKey;
        for (std::size_t i = 0; i < manifest_.organisations.size() && !problems_.isFull(); ++i) {
            const Organisation &organisation = manifest_.organisations[i];
            const Pointer place = Pointer() / "organisations" / i;
            checkKeys(organisation, place, ownerOfKey);
            checkAccess(organisation, place);
            for (std::size_t j = 0; j < organisation.services.size(); ++j) {
                checkKnown(services_, organisation.services[j], place / "services" / j, "service");
            }
        }
    }

    // A key that two organisations share would let one act as the other.
    void checkKeys(const Organisation &organisation, const Pointer &place, std::unordered_map<std::string_view, std::string_view> &ownerOfKey)
    {
        for (std::size_t j = 0; j < organisation.keyHashes.size(); ++j) {
            const auto [entry, isNew] = ownerOfKey.emplace(organisation.keyHashes[j], organisation.name);
            if (!isNew) {
                problems_.add(place / "key_hashes" / j, fmt::format("this key hash stands at organisation \"{}\" already", entry->second));
            }
        }
    }

    void checkAccess(const Organisation &organisation, const Pointer &place)
    {
        std::set<std::string_view> seen;
        for (std::size_t j = 0; j < organisation.models.size(); ++j) {
            const ModelAccess &access = organisation.models[j];
            const Pointer at = place / "models" / j;
            if (access.model.empty()) {
                continue;
            }
            if (!seen.insert(access.model).second) {
                problems_.add(at / "model", fmt::format("\"{}\" stands here twice", access.model));
            }
            if (checkKnown(models_, access.model, at / "model", "model")) {
                checkAdapters(access, at);
            }
        }
    }

    void checkAdapters(const ModelAccess &access, const Pointer &place)
    {
        const Model &model = *models_.at(access.model);
        for (std::size_t k = 0; k < access.adapters.size(); ++k) {
            const std::string &name = access.adapters[k];
            if (name == AllAdapters) {
                continue;
            }
            const bool isKnown = std::any_of(model.adapters.begin(), model.adapters.end(), [&name](const Adapter &adapter) { return adapter.name == name; });
            if (!isKnown) {
                problems_.add(place / "adapters" / k, fmt::format("model \"{}\" has no adapter \"{}\"", model.name, name));
            }
        }
    }

    template<typename T>
    bool checkKnown(const Names<T> &names, const std::string &name, const Pointer &place, std::string_view what)
    {
        if (names.contains(name)) {
            return true;
        }
        problems_.add(place, fmt::format("unknown {} \"{}\"", what, name));
        return false;
    }

    void checkEndpoints()
    {
        for (std::size_t i = 0; i < manifest_.endpoints.size() && !problems_.isFull(); ++i) {
            const Endpoint &endpoint = manifest_.endpoints[i];
            const Pointer place = Pointer() / "endpoints" / i;
            if (endpoint.kind == EndpointKind::Model) {
                checkModelEndpoint(endpoint, place);
            } else {
                checkServiceEndpoint(endpoint, place);
            }
        }
    }

    void checkModelEndpoint(const Endpoint &endpoint, const Pointer &place)
    {
        if (endpoint.models.empty()) {
            problems_.add(place, "an endpoint of kind model needs \"models\"");
        }
        if (!endpoint.service.empty()) {
            problems_.add(place / "service", "an endpoint of kind model has no \"service\"");
        }
        for (std::size_t j = 0; j < endpoint.models.size(); ++j) {
            if (checkKnown(models_, endpoint.models[j], place / "models" / j, "model")) {
                ++endpointsOfModel_[endpoint.models[j]];
            }
        }
        if (endpoint.group.empty()) {
            if (endpoint.rank != 0) {
                problems_.add(place / "rank", "a rank needs a \"group\"");
            }
            return;
        }
        if (checkKnown(groups_, endpoint.group, place / "group", "group")) {
            checkRank(endpoint, place);
        }
    }

    void checkRank(const Endpoint &endpoint, const Pointer &place)
    {
        const Group &group = *groups_.at(endpoint.group);
        if (endpoint.rank >= group.ranks) {
            problems_.add(place / "rank", fmt::format("rank {} is out of range: group \"{}\" has {} ranks", endpoint.rank, group.name, group.ranks));
            return;
        }
        auto &ranks = members_[group.name];
        const auto [entry, isNew] = ranks.emplace(endpoint.rank, &endpoint);
        if (!isNew) {
            problems_.add(place / "rank", fmt::format("rank {} of group \"{}\" is endpoint \"{}\" already", endpoint.rank, group.name, entry->second->name));
            return;
        }
        // Ranks advance in lock-step, so they must run the same models.
        const Endpoint &first = *ranks.begin()->second;
        const std::set<std::string> own(endpoint.models.begin(), endpoint.models.end());
        const std::set<std::string> others(first.models.begin(), first.models.end());
        if (own != others) {
            problems_.add(place / "models", fmt::format("endpoint \"{}\" of the same group serves other models", first.name));
        }
    }

    void checkServiceEndpoint(const Endpoint &endpoint, const Pointer &place)
    {
        if (endpoint.service.empty()) {
            problems_.add(place, "an endpoint of kind service needs \"service\"");
        } else {
            checkKnown(services_, endpoint.service, place / "service", "service");
        }
        if (!endpoint.models.empty()) {
            problems_.add(place / "models", "an endpoint of kind service has no \"models\"");
        }
        if (!endpoint.group.empty()) {
            problems_.add(place / "group", "an endpoint of kind service has no \"group\"");
        }
    }

    void checkModels()
    {
        for (std::size_t i = 0; i < manifest_.models.size() && !problems_.isFull(); ++i) {
            const Model &model = manifest_.models[i];
            const Pointer place = Pointer() / "models" / i;
            std::set<std::string_view> seen;
            for (std::size_t j = 0; j < model.adapters.size(); ++j) {
                const std::string &name = model.adapters[j].name;
                if (!name.empty() && !seen.insert(name).second) {
                    problems_.add(place / "adapters" / j / "name", fmt::format("adapter \"{}\" is named twice", name));
                }
            }
            const std::uint32_t count = model.name.empty() ? model.servingFloor : endpointsOfModel_[model.name];
            if (model.servingFloor > count) {
                problems_.add(place,
                              fmt::format("serving floor {} of model \"{}\" is above the {} endpoints that serve it", model.servingFloor, model.name, count));
            }
        }
    }

    void checkGroups()
    {
        for (std::size_t i = 0; i < manifest_.groups.size() && !problems_.isFull(); ++i) {
            const Group &group = manifest_.groups[i];
            const Pointer place = Pointer() / "groups" / i;
            if (group.name.empty() || group.ranks == 0 || group.experts == 0 || group.slotsPerRank == 0) {
                continue; // The reader has reported it.
            }
            checkRanksComplete(group, place);
            const std::uint64_t slots = std::uint64_t{group.ranks} * group.slotsPerRank;
            if (slots < group.experts) {
                problems_.add(place / "slots_per_rank",
                              fmt::format("{} ranks with {} slots each hold fewer than {} experts", group.ranks, group.slotsPerRank, group.experts));
            }
            if (group.slotsPerRank > group.experts) {
                problems_.add(place / "slots_per_rank", fmt::format("{} slots are more than the {} experts of a layer", group.slotsPerRank, group.experts));
            }
        }
    }

    void checkRanksComplete(const Group &group, const Pointer &place)
    {
        const auto &ranks = members_[group.name];
        if (ranks.size() == group.ranks) {
            return;
        }
        std::string lacking;
        std::size_t named = 0;
        for (std::uint32_t rank = 0; rank < group.ranks && named < MaxRanksNamed; ++rank) {
            if (!ranks.contains(rank)) {
                lacking += fmt::format("{}{}", named == 0 ? "" : ", ", rank);
                ++named;
            }
        }
        const std::size_t count = group.ranks - ranks.size();
        problems_.add(place, fmt::format("group \"{}\" lacks {} of {} ranks: {}{}", group.name, count, group.ranks, lacking, count > named ? ", ..." : ""));
    }

    const Manifest &manifest_;
    ProblemList &problems_;
    Names<Model> models_;
    Names<Service> services_;
    Names<Group> groups_;
    Names<Endpoint> endpoints_;
    std::unordered_map<std::string_view, std::uint32_t> endpointsOfModel_;
    std::unordered_map<std::string_view, std::map<std::uint32_t, const Endpoint *>> members_;
};

} // namespace

void checkManifest(const Manifest &manifest, ProblemList &problems)
{
    Checker(manifest, problems).run();
}

} // namespace magnolia::manifest
