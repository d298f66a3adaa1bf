#include "http/messageparser.h"

#include "http/statuscode.h"
#include "requestframing.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace magnolia::http
{

namespace
{

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;

constexpr char Blank = ' ';

/** Whether blanks stand in the name of a field or before its colon, so that readers may disagree on the name. */
bool hasBlankInName(const HeaderField &field)
{
    return field.name.find(Blank) != std::string::npos;
}

void removeBlanksBeforeColon(HeaderField &field)
{
    field.name.erase(field.name.find_last_not_of(Blank) + 1);
}

/** Blanks around a value are none of it (RFC 9112, 5.1). The library removes those before it. */
void removeBlanksBehindValue(HeaderField &field)
{
    field.value.erase(field.value.find_last_not_of(" \t") + 1);
}

/** Changes a target in absolute form to the origin form, in which requests are matched and passed on. Its host replaces the header (RFC 9112, 3.2.2). */
void toOriginForm(MessageHead &head)
{
    constexpr std::string_view SchemeEnd = "://";
    const std::size_t scheme = head.target.starts_with('/') ? std::string::npos : head.target.find(SchemeEnd);
    if (scheme == std::string::npos) {
        return;
    }
    const std::size_t hostBegin = scheme + SchemeEnd.size();
    const std::size_t hostEnd = std::min(head.target.find_first_of("/?#", hostBegin), head.target.size());
    std::string rest = head.target.substr(hostEnd);
    if (!rest.starts_with('/')) {
        rest.insert(0, "/");
    }
    head.headers.set("Host", head.target.substr(hostBegin, hostEnd - hostBegin));
    head.target = std::move(rest);
}

bool isLike(std::string_view form, std::string_view text)
{
    const auto isLikeOne = [](char wanted, char character) { return wanted == '0' ? character >= '0' && character <= '9' : character == wanted; };
    return std::equal(form.begin(), form.end(), text.begin(), text.end(), isLikeOne);
}

/** Whether the line is the first one of an answer (RFC 9112, 4): the library takes a status with any number of digits. */
bool isStatusLine(std::string_view line)
{
    constexpr std::string_view Form = "HTTP/1.0 000"; // 0 stands for any digit.
    return isLike(Form, line.substr(0, Form.size())) && (line.size() == Form.size() || line[Form.size()] == Blank);
}

/** Whether the line ends with the version of HTTP (RFC 9112, 3): the library takes any letters for its name. */
bool isRequestLine(std::string_view line)
{
    constexpr std::string_view Form = " HTTP/1.0"; // 0 stands for any digit.
    return line.size() > Form.size() && isLike(Form, line.substr(line.size() - Form.size()));
}

/** Whether the library reads the body of a request as decided here. */
bool isReadAs(RequestFraming framing, const http_parser &parser)
{
    const bool hasChunks = (parser.flags & F_CHUNKED) != 0;
    const bool hasLength = (parser.flags & F_CONTENTLENGTH) != 0;
    return hasChunks == (framing == RequestFraming::Chunks) && hasLength == (framing == RequestFraming::Length);
}

/** Whether an answer says itself where it ends. */
bool isFramed(const http_parser &parser)
{
    const bool hasNoBody = parser.status_code < FirstFinalStatus || parser.status_code == StatusNoContent || parser.status_code == StatusNotModified;
    const unsigned framing = F_CHUNKED | F_CONTENTLENGTH;
    return hasNoBody || (parser.flags & framing) != 0;
}

} // namespace

class MessageParser::Impl
{
public:
    explicit Impl(Kind kind) : kind_(kind)
    {
        reset();
    }

    std::size_t feed(std::string_view bytes, const OnBody &onBody);
    bool finish();
    void reset();

    MessageHead head_;
    bool expectsNoBody_ = false;
    bool hasBegun_ = false;
    bool hasHead_ = false;
    bool isComplete_ = false;
    bool isBroken_ = false;
    bool isUnsupported_ = false;
    std::size_t headBytes_ = 0;

private:
    static Impl &of(http_parser *parser)
    {
        return *static_cast<Impl *>(parser->data);
    }
    static int onUrl(http_parser *parser, const char *at, std::size_t length);
    static int onReason(http_parser *parser, const char *at, std::size_t length);
    static int onHeaderName(http_parser *parser, const char *at, std::size_t length);
    static int onHeaderValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();
    std::size_t execute(std::string_view bytes);
    std::size_t executeBody(std::string_view bytes);
    void keepFirstLine(std::string_view bytes);
    bool hasBareCarriageReturn(std::string_view framing);
    bool isFramingSpoilt(std::string_view bytes);

    Kind kind_;
    http_parser parser_{};
    const OnBody *onBody_ = nullptr;
    std::string firstLine_; ///< As far as it was received.
    bool hasFirstLine_ = false; ///< It was received to its end.
    bool endsWithCarriageReturn_ = false; ///< The last byte of the head or of the body's framing is one.
    bool isBehindData_ = false; ///< The last byte was one of the body's data.
    std::vector<std::string_view> data_; ///< The pieces of the body's data among the bytes that are read.
    bool isInValue_ = true; ///< The next bytes of a name begin a new field.
};

const http_parser_settings &MessageParser::Impl::callbacks()
{
    static const http_parser_settings table = [] {
        http_parser_settings filled{};
        http_parser_settings_init(&filled);
        filled.on_url = &Impl::onUrl;
        filled.on_status = &Impl::onReason;
        filled.on_header_field = &Impl::onHeaderName;
        filled.on_header_value = &Impl::onHeaderValue;
        filled.on_headers_complete = &Impl::onHeadersComplete;
        filled.on_body = &Impl::onBody;
        filled.on_message_complete = &Impl::onMessageComplete;
        return filled;
    }();
    return table;
}

int MessageParser::Impl::onUrl(http_parser *parser, const char *at, std::size_t length)
{
    of(parser).head_.target.append(at, length);
    return 0;
}

int MessageParser::Impl::onReason(http_parser *parser, const char *at, std::size_t length)
{
    of(parser).head_.reason.append(at, length);
    return 0;
}

int MessageParser::Impl::onHeaderName(http_parser *parser, const char *at, std::size_t length)
{
    Impl &self = of(parser);
    if (self.hasHead_) {
        return 0; // A trailer: it concerns this hop only.
    }
    if (std::exchange(self.isInValue_, false)) {
        self.head_.headers.add({}, {});
    }
    self.head_.headers.fields().back().name.append(at, length);
    return 0;
}

int MessageParser::Impl::onHeaderValue(http_parser *parser, const char *at, std::size_t length)
{
    Impl &self = of(parser);
    if (self.hasHead_) {
        return 0;
    }
    self.isInValue_ = true;
    self.head_.headers.fields().back().value.append(at, length);
    return 0;
}

int MessageParser::Impl::onHeadersComplete(http_parser *parser)
{
    constexpr int SkipBody = 1;
    constexpr int Broken = -1;
    Impl &self = of(parser);
    self.hasHead_ = true;
    self.head_.status = parser->status_code;
    auto &fields = self.head_.headers.fields();
    std::for_each(fields.begin(), fields.end(), &removeBlanksBehindValue);
    if (self.kind_ == Kind::Answer) {
        std::for_each(fields.begin(), fields.end(), &removeBlanksBeforeColon); // RFC 9112, 5.1: removed from answers, rejected in requests.
    }
    if (std::any_of(fields.begin(), fields.end(), &hasBlankInName)) {
        return Broken;
    }
    const bool isFirstLineSound = self.kind_ == Kind::Answer ? isStatus(self.head_.status) && isStatusLine(self.firstLine_) : isRequestLine(self.firstLine_);
    if (!isFirstLineSound) {
        return Broken;
    }
    if (self.kind_ == Kind::Request) {
        self.head_.method = http_method_str(static_cast<http_method>(parser->method));
        const bool isHttp10 = parser->http_major == 1 && parser->http_minor == 0;
        const RequestFraming framing = framingOf(self.head_, isHttp10);
        self.isUnsupported_ = framing == RequestFraming::Unsupported;
        if (self.isUnsupported_ || framing == RequestFraming::Malformed || !isReadAs(framing, *parser)) {
            return Broken;
        }
        toOriginForm(self.head_);
    } else {
        self.head_.endsWithConnection = !self.expectsNoBody_ && !isFramed(*parser);
    }
    self.head_.keepAlive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1); // So that the head can be told from what follows.
    return self.expectsNoBody_ ? SkipBody : 0;
}

int MessageParser::Impl::onBody(http_parser *parser, const char *at, std::size_t length)
{
    of(parser).data_.emplace_back(at, length);
    (*of(parser).onBody_)({at, length});
    return 0;
}

int MessageParser::Impl::onMessageComplete(http_parser *parser)
{
    of(parser).isComplete_ = true;
    http_parser_pause(parser, 1); // Whatever follows is for whoever uses the connection to judge.
    return 0;
}

std::size_t MessageParser::Impl::feed(std::string_view bytes, const OnBody &onBody)
{
    if (isBroken_ || isComplete_ || bytes.empty()) {
        return 0;
    }
    hasBegun_ = true;
    onBody_ = &onBody;
    if (hasHead_) {
        return executeBody(bytes);
    }
    keepFirstLine(bytes);
    // The parser is paused on the last byte of the head, and takes that byte when it goes on.
    const std::size_t taken = execute(bytes);
    isBroken_ = isBroken_ || hasBareCarriageReturn(bytes.substr(0, hasHead_ ? taken + 1 : taken));
    headBytes_ += taken;
    if (isBroken_ || !hasHead_) {
        return taken;
    }
    ++headBytes_;
    http_parser_pause(&parser_, 0);
    return taken + executeBody(bytes.substr(taken));
}

std::size_t MessageParser::Impl::executeBody(std::string_view bytes)
{
    data_.clear();
    const std::size_t taken = execute(bytes);
    if (isFramingSpoilt(bytes.substr(0, taken))) {
        isBroken_ = true;
        isComplete_ = false;
    }
    return taken;
}

/** Checks what is not data in the bytes. The library takes any two bytes behind a chunk for the end of its line. */
bool MessageParser::Impl::isFramingSpoilt(std::string_view bytes)
{
    const char *at = bytes.data();
    const auto isSpoiltUntil = [&](const char *end) {
        const std::string_view framing(at, static_cast<std::size_t>(end - at));
        const bool isLineEndMissing = isBehindData_ && !framing.empty() && framing.front() != '\r';
        isBehindData_ = isBehindData_ && framing.empty();
        return hasBareCarriageReturn(framing) || isLineEndMissing;
    };
    for (const std::string_view piece : data_) {
        if (isSpoiltUntil(piece.data())) {
            return true;
        }
        at = piece.data() + piece.size();
        isBehindData_ = true;
    }
    return isSpoiltUntil(bytes.data() + bytes.size());
}

/** Looks for a carriage return without a line feed (RFC 9112, 2.2): the library takes it, and any byte behind it, for the end of a line. */
bool MessageParser::Impl::hasBareCarriageReturn(std::string_view framing)
{
    for (const char byte : framing) {
        if (std::exchange(endsWithCarriageReturn_, byte == '\r') && byte != '\n') {
            return true;
        }
    }
    return false;
}

void MessageParser::Impl::keepFirstLine(std::string_view bytes)
{
    if (hasFirstLine_) {
        return;
    }
    if (firstLine_.empty()) {
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size())); // The library skips empty lines.
    }
    const std::size_t end = bytes.find('\n');
    firstLine_.append(bytes.substr(0, end));
    hasFirstLine_ = end != std::string_view::npos;
    if (hasFirstLine_ && firstLine_.ends_with('\r')) {
        firstLine_.pop_back();
    }
}

std::size_t MessageParser::Impl::execute(std::string_view bytes)
{
    const std::size_t taken = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    isBroken_ = error != HPE_OK && error != HPE_PAUSED;
    return taken;
}

bool MessageParser::Impl::finish()
{
    if (isComplete_) {
        return true;
    }
    if (isBroken_ || !hasHead_ || !head_.endsWithConnection) {
        return false;
    }
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    return isComplete_;
}

void MessageParser::Impl::reset()
{
    http_parser_init(&parser_, kind_ == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    head_ = {};
    expectsNoBody_ = false;
    hasBegun_ = false;
    hasHead_ = false;
    isComplete_ = false;
    isBroken_ = false;
    isUnsupported_ = false;
    headBytes_ = 0;
    firstLine_.clear();
    hasFirstLine_ = false;
    endsWithCarriageReturn_ = false;
    isBehindData_ = false;
    isInValue_ = true;
}

MessageParser::MessageParser(Kind kind) : impl_(std::make_unique<Impl>(kind)) {}

MessageParser::~MessageParser() = default;

std::size_t MessageParser::feed(std::string_view bytes, const OnBody &onBody)
{
    return impl_->feed(bytes, onBody);
}

bool MessageParser::finish()
{
    return impl_->finish();
}

void MessageParser::expectNoBody()
{
    impl_->expectsNoBody_ = true;
}

bool MessageParser::hasBegun() const
{
    return impl_->hasBegun_;
}

bool MessageParser::hasHead() const
{
    return impl_->hasHead_;
}

bool MessageParser::isComplete() const
{
    return impl_->isComplete_;
}

bool MessageParser::isBroken() const
{
    return impl_->isBroken_;
}

bool MessageParser::isUnsupported() const
{
    return impl_->isUnsupported_;
}

std::size_t MessageParser::headBytes() const
{
    return impl_->headBytes_;
}

MessageHead &MessageParser::head()
{
    return impl_->head_;
}

void MessageParser::reset()
{
    impl_->reset();
}

} // namespace magnolia::http
