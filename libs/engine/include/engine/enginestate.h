#ifndef MAGNOLIA_ENGINE_ENGINESTATE_H
#define MAGNOLIA_ENGINE_ENGINESTATE_H

#include "base/failure.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::engine
{

/** An adapter that an engine has loaded. */
struct AdapterState {
    std::string name{};
    std::string version{};

    bool operator==(const AdapterState &) const = default;
};

/** A model that an engine has loaded or is loading. */
struct ModelState {
    std::string name{};
    std::string version{};
    bool serving = false; ///< False while it is loading.
    std::vector<AdapterState> adapters{};

    bool operator==(const ModelState &) const = default;
};

/** State of an engine as reported by itself; see docs/INTERFACES.md, GET /control/state. */
struct EngineState {
    std::string boot{}; ///< Changes with each start of the engine.
    std::string role{};
    std::uint64_t fence = 0; ///< Highest fencing number that the engine has received; 0 if it ignores them.
    std::vector<ModelState> models{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    /** @return the model with this name; null if there is none. */
    const ModelState *model(std::string_view name) const;
};

/** @param json body of GET /control/state. Malformed input is a ProtocolError. */
Result<EngineState> parseEngineState(std::string_view json);

enum class OrderKind : std::uint8_t {
    LoadModel,
    UnloadModel,
    LoadAdapter,
    UnloadAdapter,
    SetRole,
};

/** One order to an engine; see docs/INTERFACES.md, POST /control/orders. */
struct EngineOrder {
    OrderKind kind = OrderKind::LoadModel;
    std::string model{};
    std::string version{}; ///< Of the adapter, for orders about adapters.
    std::string adapter{};
    std::string role{};

    bool operator==(const EngineOrder &) const = default;
};

/** @return the JSON body of POST /control/orders. */
std::string encodeOrder(const EngineOrder &order, std::uint64_t fence);

/** @return a short text for logs, e.g. "load_model chat@7". */
std::string describe(const EngineOrder &order);

} // namespace magnolia::engine

#endif
