#include "requestframing.h"

#include <algorithm>
#include <string_view>

namespace magnolia::http
{

namespace
{

constexpr std::string_view TransferEncoding = "Transfer-Encoding";
constexpr std::string_view ContentLength = "Content-Length";
constexpr std::string_view Chunked = "chunked";

std::size_t countOf(const HeaderList &headers, std::string_view name)
{
    const auto &fields = headers.fields();
    return static_cast<std::size_t>(
        std::count_if(fields.begin(), fields.end(), [name](const HeaderField &field) { return equalsIgnoringCase(field.name, name); }));
}

bool isLength(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) { return character >= '0' && character <= '9'; });
}

} // namespace

RequestFraming framingOf(const MessageHead &head, bool isHttp10)
{
    const std::size_t codings = countOf(head.headers, TransferEncoding);
    const std::size_t lengths = countOf(head.headers, ContentLength);
    const bool isAmbiguous = lengths > 1 || (lengths > 0 && codings > 0) || (isHttp10 && codings > 0);
    if (isAmbiguous || (lengths > 0 && !isLength(head.headers.value(ContentLength)))) {
        return RequestFraming::Malformed;
    }
    if (head.method == "CONNECT") {
        return RequestFraming::Unsupported; // What follows belongs to a tunnel.
    }
    if (codings == 0) {
        return lengths == 0 ? RequestFraming::NoBody : RequestFraming::Length;
    }
    const bool isChunkedOnly = codings == 1 && equalsIgnoringCase(head.headers.value(TransferEncoding), Chunked);
    return isChunkedOnly ? RequestFraming::Chunks : RequestFraming::Unsupported;
}

} // namespace magnolia::http
