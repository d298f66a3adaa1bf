#include "entry/completion.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::entry
{

using Json = nlohmann::json;

struct Completion::Data {
    Json head = Json::object(); ///< id, created, model... as the first piece has them.
    Json message = {{"role", "assistant"}, {"content", ""}};
    Json finishReason;
    Json usage;
};

namespace
{

/** Adds one entry of a delta: text is appended, lists of calls are merged by their index, the rest replaces. */
void merge(Json &into, const std::string &field, const Json &value);

void mergeCalls(Json &calls, const Json &pieces)
{
    if (!calls.is_array()) {
        calls = Json::array();
    }
    for (const Json &piece : pieces) {
        if (!piece.is_object()) {
            continue;
        }
        const Json index = piece.value("index", Json(calls.size()));
        Json *call = nullptr;
        for (Json &known : calls) {
            if (known.value("index", Json()) == index) {
                call = &known;
            }
        }
        if (call == nullptr) {
            calls.push_back({{"index", index}});
            call = &calls.back();
        }
        for (const auto &[field, value] : piece.items()) {
            if (field != "index") {
                merge(*call, field, value);
            }
        }
    }
}

void merge(Json &into, const std::string &field, const Json &value)
{
    Json &present = into[field];
    if (value.is_null()) {
        return;
    }
    const bool isName = field == "role" || field == "id" || field == "type";
    if (value.is_array()) {
        mergeCalls(present, value);
    } else if (value.is_object()) {
        if (!present.is_object()) {
            present = Json::object();
        }
        for (const auto &[inner, innerValue] : value.items()) {
            merge(present, inner, innerValue);
        }
    } else if (value.is_string() && present.is_string() && !isName) {
        present.get_ref<std::string &>() += value.get_ref<const std::string &>();
    } else {
        present = value;
    }
}

bool isPiece(const Json &piece)
{
    if (!piece.is_object() || !piece.contains("choices") || !piece["choices"].is_array()) {
        return false;
    }
    const Json &choices = piece["choices"];
    return std::all_of(choices.begin(), choices.end(), [](const Json &choice) { return choice.is_object(); });
}

} // namespace

bool isCompletionPiece(std::string_view data)
{
    return isPiece(Json::parse(data, nullptr, false));
}

Completion::Completion() : data_(std::make_unique<Data>()) {}

Completion::~Completion() = default;

bool Completion::add(std::string_view data)
{
    const Json piece = Json::parse(data, nullptr, false);
    if (!isPiece(piece)) {
        return false;
    }
    for (const auto &[field, value] : piece.items()) {
        if (field != "choices" && field != "usage" && field != "object" && !data_->head.contains(field)) {
            data_->head[field] = value;
        }
    }
    const auto usage = piece.find("usage");
    if (usage != piece.end() && !usage->is_null()) {
        data_->usage = *usage;
    }
    for (const Json &choice : piece["choices"]) {
        const auto delta = choice.find("delta");
        if (delta != choice.end() && delta->is_object()) {
            for (const auto &[field, value] : delta->items()) {
                merge(data_->message, field, value);
            }
        }
        const auto reason = choice.find("finish_reason");
        if (reason != choice.end() && !reason->is_null()) {
            data_->finishReason = *reason;
        }
    }
    return true;
}

std::string Completion::toJson() const
{
    Json whole = data_->head;
    whole["object"] = "chat.completion";
    whole["choices"] = Json::array({{{"index", 0}, {"message", data_->message}, {"finish_reason", data_->finishReason}}});
    if (!data_->usage.is_null()) {
        whole["usage"] = data_->usage;
    }
    return whole.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace magnolia::entry
