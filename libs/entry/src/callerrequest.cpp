#include "entry/callerrequest.h"

#include "policy/endpointchooser.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace magnolia::entry
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ModelsPath = "/v1/models";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view BearerPrefix = "bearer ";
constexpr Duration MinTimeout{100};
constexpr Duration MaxTimeout{600000};
constexpr std::size_t MaxIdempotencyKey = 128;
constexpr int MaxJsonDepth = 64;
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t PrefixBytes = 1024;

tl::unexpected<Failure> refuse(ErrorCode code, std::string detail)
{
    return fail(code, Verdict::NotRun, std::move(detail));
}

std::string_view headerOf(const ReceivedRequest &received, const std::string &name)
{
    const auto found = received.headers.find(name);
    return found == received.headers.end() ? std::string_view{} : std::string_view(found->second);
}

char lowered(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool startsWithIgnoringCase(std::string_view text, std::string_view lowerPrefix)
{
    const auto equal = [](char left, char right) { return lowered(left) == right; };
    return text.size() >= lowerPrefix.size()
        && std::equal(lowerPrefix.begin(), lowerPrefix.end(), text.begin(), [&](char right, char left) { return equal(left, right); });
}

Result<const manifest::Organisation *> authenticate(const ReceivedRequest &received, const manifest::ManifestIndex &manifest)
{
    const std::string_view authorization = headerOf(received, "authorization");
    if (!startsWithIgnoringCase(authorization, BearerPrefix)) {
        return refuse(ErrorCode::Unauthorised, "the header Authorization must be \"Bearer KEY\"");
    }
    const manifest::Organisation *organisation = manifest.organisationOfKey(authorization.substr(BearerPrefix.size()));
    if (organisation == nullptr) {
        return refuse(ErrorCode::Unauthorised, "no organisation has this key");
    }
    return organisation;
}

Result<Duration> timeoutOf(const ReceivedRequest &received, Duration byDefault)
{
    const auto found = received.headers.find("x-request-timeout-ms");
    if (found == received.headers.end()) {
        return byDefault;
    }
    const std::string &text = found->second;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = error == std::errc{} && end == text.data() + text.size();
    if (!isNumber || value < MinTimeout.count() || value > MaxTimeout.count()) {
        return refuse(ErrorCode::BadInput, fmt::format("X-Request-Timeout-Ms must be a whole number from {} to {}", MinTimeout.count(), MaxTimeout.count()));
    }
    return Duration(value);
}

Result<std::string> idempotencyKeyOf(const ReceivedRequest &received)
{
    const auto found = received.headers.find("idempotency-key");
    if (found == received.headers.end()) {
        return std::string{};
    }
    const std::string &key = found->second;
    const bool isPrintable = std::all_of(key.begin(), key.end(), [](char character) { return character >= ' ' && character <= '~'; });
    if (key.empty() || key.size() > MaxIdempotencyKey || !isPrintable) {
        return refuse(ErrorCode::BadInput, fmt::format("Idempotency-Key must be 1 to {} printable ASCII characters", MaxIdempotencyKey));
    }
    return key;
}

/** Parses JSON whose nesting is bounded: what follows parses and prints it again, by recursion. */
std::optional<Json> parseJson(std::string_view text)
{
    bool isTooDeep = false;
    const auto watchDepth = [&isTooDeep](int depth, Json::parse_event_t /*event*/, Json & /*parsed*/) {
        isTooDeep = isTooDeep || depth > MaxJsonDepth;
        return !isTooDeep;
    };
    Json parsed = Json::parse(text, watchDepth, false);
    if (parsed.is_discarded() || isTooDeep) {
        return std::nullopt;
    }
    return parsed;
}

bool isMessage(const Json &message)
{
    static constexpr std::array<std::string_view, 5> Roles{"system", "developer", "user", "assistant", "tool"};
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
        return false;
    }
    const auto &role = message["role"].get_ref<const std::string &>();
    if (std::find(Roles.begin(), Roles.end(), role) == Roles.end()) {
        return false;
    }
    // An assistant's message with tool calls has no content.
    const auto content = message.find("content");
    return content == message.end() || content->is_null() || content->is_string() || content->is_array();
}

bool isPositiveInteger(const Json &value)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() > 0;
}

/** @return what is wrong with the fields that matter here; the engine judges the rest. */
std::optional<std::string> faultOfChat(const Json &body)
{
    if (!body.is_object()) {
        return "the body must be a JSON object";
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        return "\"model\" must be a string";
    }
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return "\"messages\" must be an array with at least one message";
    }
    const Json &messages = body["messages"];
    for (std::size_t index = 0; index < messages.size(); ++index) {
        if (!isMessage(messages[index])) {
            return fmt::format("\"messages[{}]\" must have a known \"role\" and a \"content\" that is a string, an array or null", index);
        }
    }
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        return "\"stream\" must be true or false";
    }
    for (const char *field : {"max_tokens", "max_completion_tokens"}) {
        if (body.contains(field) && !body[field].is_null() && !isPositiveInteger(body[field])) {
            return fmt::format("\"{}\" must be a positive whole number", field);
        }
    }
    if (body.contains("n") && body["n"] != 1) {
        return "\"n\" must be 1";
    }
    for (const char *field : {"priority", "resume_after"}) {
        // These steer the engine; a caller who sets them would pass other callers by.
        if (body.contains(field)) {
            return fmt::format("\"{}\" can't be set by callers", field);
        }
    }
    return std::nullopt;
}

/** The prompt's beginning, as far as the choice of endpoint looks at it. */
std::string promptPrefix(const Json &messages, std::string_view model, std::string_view adapter)
{
    std::string prefix = fmt::format("{}/{}\n", model, adapter);
    for (const Json &message : messages) {
        if (prefix.size() >= PrefixBytes) {
            break;
        }
        const auto content = message.find("content");
        if (content != message.end() && content->is_string()) {
            prefix += content->get_ref<const std::string &>();
        } else if (content != message.end()) {
            prefix += content->dump();
        }
        prefix += '\n';
    }
    prefix.resize(std::min(prefix.size(), PrefixBytes));
    return prefix;
}

Result<CallerRequest> parseChat(const ReceivedRequest &received, CallerRequest request, const CallerRequestOptions &options)
{
    if (received.method != "POST") {
        return refuse(ErrorCode::BadInput, fmt::format("{} takes POST", ChatPath));
    }
    const std::optional<Json> body = parseJson(received.body);
    if (!body) {
        return refuse(ErrorCode::BadInput, fmt::format("the body is no JSON in UTF-8, or nested deeper than {}", MaxJsonDepth));
    }
    if (auto fault = faultOfChat(*body)) {
        return refuse(ErrorCode::BadInput, std::move(*fault));
    }
    const auto &name = (*body)["model"].get_ref<const std::string &>();
    const Result<manifest::ModelTarget> target = request.manifest->resolveModel(*request.organisation, name);
    if (!target) {
        return tl::unexpected(target.error());
    }
    const Result<Duration> timeout = timeoutOf(received, options.defaultTimeout);
    if (!timeout) {
        return tl::unexpected(timeout.error());
    }
    request.kind = CallerRequestKind::ChatCompletion;
    request.model = target->model->name;
    request.adapter = target->adapter != nullptr ? target->adapter->name : std::string{};
    request.version = std::string(manifest::ModelName::parse(name).value_or(manifest::ModelName{}).version);
    request.method = "POST";
    request.path = ChatPath;
    request.headers = {{"content-type", "application/json"}};
    request.body = received.body;
    request.stream = body->value("stream", false);
    request.timeout = *timeout;
    request.promptTokens = static_cast<std::uint32_t>(received.body.size() / BytesPerToken + 1);
    request.prefix = policy::prefixHash(promptPrefix((*body)["messages"], request.model, request.adapter));
    return request;
}

bool isForEndpoint(std::string_view name)
{
    // The key is between the caller and us; the others are about this connection or made anew on each hop.
    static constexpr std::array<std::string_view, 14> Kept{"authorization",
                                                           "connection",
                                                           "content-length",
                                                           "expect",
                                                           "host",
                                                           "idempotency-key",
                                                           "keep-alive",
                                                           "proxy-authorization",
                                                           "te",
                                                           "traceparent",
                                                           "trailer",
                                                           "transfer-encoding",
                                                           "upgrade",
                                                           "x-request-timeout-ms"};
    return std::find(Kept.begin(), Kept.end(), name) == Kept.end();
}

Result<CallerRequest> parseServiceCall(const ReceivedRequest &received, CallerRequest request)
{
    const std::string_view rest = received.path.substr(ServicesPrefix.size());
    const std::string_view name = rest.substr(0, rest.find('/'));
    const Result<const manifest::Service *> service = request.manifest->resolveService(*request.organisation, name);
    if (!service) {
        return tl::unexpected(service.error());
    }
    Result<std::string> key = idempotencyKeyOf(received);
    if (!key) {
        return tl::unexpected(key.error());
    }
    const Result<Duration> timeout = timeoutOf(received, (*service)->timeout);
    if (!timeout) {
        return tl::unexpected(timeout.error());
    }
    const auto &safeMethods = (*service)->safeMethods;
    request.kind = CallerRequestKind::ServiceCall;
    request.idempotent = (*service)->idempotent || std::find(safeMethods.begin(), safeMethods.end(), received.method) != safeMethods.end();
    if (!request.idempotent && key->empty()) {
        return refuse(ErrorCode::BadInput, fmt::format("calls of service \"{}\" need the header Idempotency-Key", name));
    }
    request.service = name;
    request.method = received.method;
    request.path = received.target.substr(ServicesPrefix.size() + name.size());
    if (request.path.empty() || request.path.front() != '/') {
        request.path.insert(0, 1, '/');
    }
    for (const auto &[header, value] : received.headers) {
        if (isForEndpoint(header)) {
            request.headers.emplace(header, value);
        }
    }
    if (!key->empty()) {
        request.headers["idempotency-key"] = *key;
    }
    request.idempotencyKey = std::move(*key);
    request.body = received.body;
    request.timeout = *timeout;
    return request;
}

} // namespace

Result<CallerRequest> parseCallerRequest(const ReceivedRequest &received, const manifest::ManifestIndex::Pointer &manifest, const CallerRequestOptions &options)
{
    const bool isChat = received.path == ChatPath;
    const bool isModels = received.path == ModelsPath;
    const bool isService = received.path.starts_with(ServicesPrefix);
    if (!isChat && !isModels && !isService) {
        return refuse(ErrorCode::NotFound, fmt::format("no such path; there are {}, {} and {}NAME/...", ChatPath, ModelsPath, ServicesPrefix));
    }
    if (manifest == nullptr) {
        return refuse(ErrorCode::Unavailable, "no manifest is in force yet");
    }
    const Result<const manifest::Organisation *> organisation = authenticate(received, *manifest);
    if (!organisation) {
        return tl::unexpected(organisation.error());
    }
    CallerRequest request;
    request.manifest = manifest;
    request.organisation = *organisation;
    if (isChat) {
        return parseChat(received, std::move(request), options);
    }
    if (isService) {
        return parseServiceCall(received, std::move(request));
    }
    if (received.method != "GET") {
        return refuse(ErrorCode::BadInput, fmt::format("{} takes GET", ModelsPath));
    }
    return request;
}

wire::Dispatch dispatchOf(const CallerRequest &request, const wire::AttemptId &id, std::uint32_t resumeAfter)
{
    wire::Dispatch dispatch;
    dispatch.id = id;
    dispatch.organisation = request.organisation->name;
    dispatch.priorityClass = request.organisation->tier == manifest::Tier::Paying ? wire::PriorityClass::Paying : wire::PriorityClass::Trial;
    dispatch.weight = request.organisation->weight;
    dispatch.model = request.model;
    dispatch.adapter = request.adapter;
    dispatch.version = request.version;
    dispatch.service = request.service;
    dispatch.method = request.method;
    dispatch.path = request.path;
    dispatch.headers = request.headers;
    dispatch.headers["x-request-id"] = id.request.toString();
    dispatch.body = request.body;
    dispatch.stream = request.stream;
    dispatch.idempotent = request.idempotent;
    dispatch.idempotencyKey = request.idempotencyKey;
    dispatch.resumeAfter = resumeAfter;
    dispatch.promptTokens = request.promptTokens;
    dispatch.manifestVersion = request.manifest->version();
    return dispatch;
}

} // namespace magnolia::entry
