// The one source that sees websocketpp's connections; built as C++17 (see CMakeLists.txt).
#include "websocket.h"

#include <pcg_random.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include <random>

namespace magnolia::wire
{

namespace
{

namespace ws = websocketpp;

/** Masks need not be secret between our own processes, only differ. */
class MaskGenerator
{
public:
    std::uint32_t operator()()
    {
        return random_();
    }

private:
    pcg32 random_{pcg_extras::seed_seq_from<std::random_device>()};
};

// websocketpp prescribes the names in here.
// NOLINTBEGIN(readability-identifier-naming)
struct Config : ws::config::core {
    using type = Config;
    using base = ws::config::core;
    using concurrency_type = ws::concurrency::none;
    using alog_type = ws::log::stub;
    using elog_type = ws::log::stub;
    using rng_type = MaskGenerator;

    struct transport_config : base::transport_config {
        using concurrency_type = type::concurrency_type;
        using alog_type = type::alog_type;
        using elog_type = type::elog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        [[maybe_unused]] static const bool enable_multithreading = false;
    };
    using transport_type = ws::transport::iostream::endpoint<transport_config>;

    [[maybe_unused]] static const bool enable_multithreading = false;
    // A process has some hundreds of links, mostly idle; a larger buffer would only hold memory.
    static const size_t connection_read_buffer_size = 4096;
    static const size_t max_http_body_size = 0;
    // Else a peer that broke the protocol could keep the connection open by not answering the close frame.
    static const bool drop_on_protocol_error = true;
};
// NOLINTEND(readability-identifier-naming)

using ConnectionPtr = ws::connection<Config>::ptr;

/** The endpoints that websocketpp wants around its connections; shared by all connections of a thread. */
struct Endpoints {
    ws::client<Config> client;
    ws::server<Config> server;
};

std::shared_ptr<Endpoints> sharedEndpoints()
{
    static thread_local std::weak_ptr<Endpoints> latest;
    auto endpoints = latest.lock();
    if (!endpoints) {
        endpoints = std::make_shared<Endpoints>();
        latest = endpoints;
    }
    return endpoints;
}

ConnectionPtr makeConnection(Endpoints &endpoints, WebSocket::Side side, const std::string &host)
{
    if (side == WebSocket::Side::Server) {
        return endpoints.server.get_connection();
    }
    ws::lib::error_code error;
    return endpoints.client.get_connection("ws://" + host + "/link", error);
}

} // namespace

class WebSocket::Connection : public std::enable_shared_from_this<WebSocket::Connection>
{
public:
    Connection(Side side, const std::string &host, Events events)
        : side_(side), endpoints_(sharedEndpoints()), connection_(makeConnection(*endpoints_, side, host)), events_(std::move(events))
    {
    }

    void start()
    {
        if (!connection_) {
            end(End::Broken, "the address does not make a WebSocket URI");
            return;
        }
        setHandlers();
        const auto self = shared_from_this();
        if (side_ == Side::Client) {
            endpoints_->client.connect(connection_);
        } else {
            connection_->start();
        }
    }

    void receive(std::string_view bytes)
    {
        if (ended_) {
            return;
        }
        const auto self = shared_from_this();
        receiving_ = true;
        const std::size_t taken = connection_->read_all(bytes.data(), bytes.size());
        receiving_ = false;
        if (ended_) {
            release();
        } else if (taken < bytes.size()) {
            end(End::Broken, "bytes after the end");
            release();
        }
    }

    void receiveEnd()
    {
        if (ended_) {
            return;
        }
        const auto self = shared_from_this();
        release();
        end(End::Closed, {});
    }

    bool send(std::string_view frame)
    {
        return !ended_ && connection_ && !connection_->send(frame.data(), frame.size(), ws::frame::opcode::binary);
    }

    void setMaxFrameBytes(std::size_t limit)
    {
        if (connection_) {
            connection_->set_max_message_size(limit);
        }
    }

    void close(std::string_view reason)
    {
        if (ended_ || !connection_) {
            ended_ = true;
            return;
        }
        ws::lib::error_code ignored;
        if (connection_->get_state() == ws::session::state::open) {
            connection_->close(ws::close::status::policy_violation, std::string(reason), ignored);
        }
        ended_ = true;
        if (!receiving_) {
            release();
        }
    }

private:
    void setHandlers()
    {
        // The connection holds these handlers, and this object holds the connection: a weak pointer breaks the circle.
        const std::weak_ptr<Connection> weak = weak_from_this();
        connection_->set_write_handler([weak](const ws::connection_hdl & /*handle*/, const char *data, std::size_t size) {
            const auto self = weak.lock();
            if (self && !self->ended_) {
                self->events_.write({data, size});
            }
            return ws::lib::error_code();
        });
        connection_->set_open_handler([weak](const ws::connection_hdl & /*handle*/) {
            const auto self = weak.lock();
            if (self && !self->ended_) {
                self->events_.onOpen();
            }
        });
        connection_->set_message_handler([weak](const ws::connection_hdl & /*handle*/, const ws::connection<Config>::message_ptr &message) {
            if (const auto self = weak.lock()) {
                self->takeMessage(*message);
            }
        });
        const auto ended = [weak](const ws::connection_hdl & /*handle*/) {
            if (const auto self = weak.lock()) {
                self->takeEnd();
            }
        };
        connection_->set_close_handler(ended);
        connection_->set_fail_handler(ended);
    }

    void takeMessage(const ws::connection<Config>::message_type &message)
    {
        if (ended_) {
            return;
        }
        if (message.get_opcode() != ws::frame::opcode::binary) {
            end(End::Broken, "a text frame");
            return;
        }
        events_.onFrame(message.get_payload());
    }

    void takeEnd()
    {
        const auto error = connection_->get_ec();
        if (error == ws::processor::error::message_too_big) {
            end(End::TooLarge, error.message());
        } else if (!connection_->get_remote_close_reason().empty() || !error || error == ws::transport::error::eof) {
            end(End::Closed, connection_->get_remote_close_reason());
        } else {
            end(End::Broken, error.message());
        }
    }

    void end(End how, const std::string &reason)
    {
        if (!ended_) {
            ended_ = true;
            events_.onEnd(how, reason);
        }
    }

    // A connection that waits for bytes holds itself by its read handler. Telling it that the bytes have ended makes it
    // let go of that handler; without this each closed link would leak its buffers.
    void release()
    {
        if (connection_) {
            connection_->eof();
        }
    }

    Side side_;
    std::shared_ptr<Endpoints> endpoints_;
    ConnectionPtr connection_;
    Events events_;
    bool receiving_ = false;
    bool ended_ = false;
};

WebSocket::WebSocket(Side side, const std::string &host, Events events) : connection_(std::make_shared<Connection>(side, host, std::move(events))) {}

WebSocket::~WebSocket()
{
    connection_->close({});
}

void WebSocket::start()
{
    connection_->start();
}

void WebSocket::receive(std::string_view bytes)
{
    // The callbacks may destroy this object, but not the connection while it works.
    const auto connection = connection_;
    connection->receive(bytes);
}

void WebSocket::receiveEnd()
{
    const auto connection = connection_;
    connection->receiveEnd();
}

bool WebSocket::send(std::string_view frame)
{
    return connection_->send(frame);
}

void WebSocket::setMaxFrameBytes(std::size_t limit)
{
    connection_->setMaxFrameBytes(limit);
}

void WebSocket::close(std::string_view reason)
{
    connection_->close(reason);
}

} // namespace magnolia::wire
