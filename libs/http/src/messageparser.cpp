#include "http/messageparser.h"

#include "http/statuscode.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

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

/** Whether the text begins with the status line of an answer (RFC 9112, 4): the library takes a status with any number of digits. */
bool beginsWithStatusLine(std::string_view text)
{
    constexpr std::string_view Form = "HTTP/0.0 000 "; // 0 stands for any digit.
    const auto isLike = [](char wanted, char character) { return wanted == '0' ? character >= '0' && character <= '9' : character == wanted; };
    const auto [wanted, found] = std::mismatch(Form.begin(), Form.end(), text.begin(), text.end(), isLike);
    const bool endsWithStatus = wanted + 1 == Form.end() && found != text.end() && (*found == '\r' || *found == '\n');
    return wanted == Form.end() || endsWithStatus;
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
    void keepFirstLine(std::string_view bytes);

    Kind kind_;
    http_parser parser_{};
    const OnBody *onBody_ = nullptr;
    std::string firstLine_; ///< The begin of an answer's first line.
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
    if (self.kind_ == Kind::Answer && !(isStatus(self.head_.status) && beginsWithStatusLine(self.firstLine_))) {
        return Broken;
    }
    if (self.kind_ == Kind::Request) {
        self.head_.method = http_method_str(static_cast<http_method>(parser->method));
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
        return execute(bytes);
    }
    keepFirstLine(bytes);
    // The parser is paused on the last byte of the head, and takes that byte when it goes on.
    const std::size_t taken = execute(bytes);
    headBytes_ += taken;
    if (isBroken_ || !hasHead_) {
        return taken;
    }
    ++headBytes_;
    http_parser_pause(&parser_, 0);
    return taken + execute(bytes.substr(taken));
}

void MessageParser::Impl::keepFirstLine(std::string_view bytes)
{
    constexpr std::size_t StatusLength = 13; // "HTTP/1.1 200 "
    if (firstLine_.empty()) {
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size())); // The library skips empty lines.
    }
    firstLine_.append(bytes.substr(0, StatusLength - std::min(firstLine_.size(), StatusLength)));
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
    headBytes_ = 0;
    firstLine_.clear();
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
