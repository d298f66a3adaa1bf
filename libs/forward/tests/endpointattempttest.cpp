#include "endpointattempt.h"
#include "forwardfixture.h"

#include <sys/socket.h>
#include <unistd.h>

#include <optional>

namespace magnolia::forward
{

namespace
{

/** An endpoint whose queue of new connections is full, so that further ones are established only after a second. */
struct SlowConnectFixture : http::LoopFixture {
    SlowConnectFixture()
    {
        const http::SocketAddress any = http::SocketAddress::parse("127.0.0.1:0").value();
        BOOST_REQUIRE(bind(listener, any.get(), any.length) == 0);
        BOOST_REQUIRE(listen(listener, 0) == 0);
        const http::SocketAddress address = http::SocketAddress::ofSocket(listener);
        BOOST_REQUIRE(connect(occupant, address.get(), address.length) == 0);
        endpoint->record = {.id = "e1", .service = "s", .address = address.toString(), .dataCentre = "north"};
    }

    ~SlowConnectFixture()
    {
        close(occupant);
        close(listener);
    }

    SlowConnectFixture(const SlowConnectFixture &) = delete;
    SlowConnectFixture &operator=(const SlowConnectFixture &) = delete;

    void startAttempt()
    {
        attempt = std::make_shared<EndpointAttempt>(
            EndpointAttempt::Options{
                .loop = loop.get(), .connections = &connections, .protocol = &protocol, .endpoint = endpoint, .head = "GET / HTTP/1.1\r\n\r\n"},
            EndpointAttempt::Callbacks{.onEnd = [this](AttemptEnd result) { end = result; }});
        BOOST_REQUIRE(attempt->start());
        BOOST_REQUIRE(!attempt->isConnected());
    }

    /** Accepts a connection. @return what has been received on it. */
    std::string receivedOnNext() const
    {
        const int accepted = accept(listener, nullptr, nullptr);
        std::string bytes(100, '\0');
        const ssize_t length = recv(accepted, bytes.data(), bytes.size(), MSG_DONTWAIT);
        close(accepted);
        bytes.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
        return bytes;
    }

    /** Lets the connection be established, and checks that nothing is sent on it. */
    void checkIsWithdrawn()
    {
        receivedOnNext();
        BOOST_TEST(runUntil([&] { return end.has_value(); }));
        BOOST_TEST((end == AttemptEnd::Withdrawn));
        BOOST_TEST(receivedOnNext().empty());
    }

    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int occupant = socket(AF_INET, SOCK_STREAM, 0);
    EndpointConnectionPool connections{loop.get()};
    Protocol protocol;
    Random random{7};
    routing::EndpointPointer endpoint = std::make_shared<routing::Endpoint>();
    std::shared_ptr<EndpointAttempt> attempt;
    std::optional<AttemptEnd> end;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointAttemptTest, SlowConnectFixture)

BOOST_AUTO_TEST_CASE(connectionIsSlow_endpointStatesNothing_requestIsSent)
{
    startAttempt();
    receivedOnNext();
    BOOST_TEST(runUntil([&] { return attempt->isConnected(); }));
    runFor(Duration(20));
    BOOST_TEST(receivedOnNext().starts_with("GET / "));
}

// Guards against a request that reaches an endpoint in its rest because its connection was still being established when the endpoint asked for it.
BOOST_AUTO_TEST_CASE(connectionIsSlow_endpointAsksForRestMeanwhile_requestIsNotSent)
{
    startAttempt();
    endpoint->stated->availability.onRestStated(Duration(60000), BootClock::now(), random);
    checkIsWithdrawn();
}

// Guards against a request that reaches an endpoint long after its evacuation because its connection was still being established.
BOOST_AUTO_TEST_CASE(connectionIsSlow_endpointIsEvacuatedMeanwhile_requestIsNotSent)
{
    startAttempt();
    endpoint->isEvacuated = true;
    checkIsWithdrawn();
}

// Guards against a request that reaches an endpoint long after its entry said that it leaves because its connection was still being established.
BOOST_AUTO_TEST_CASE(connectionIsSlow_endpointIsListedAsLeavingMeanwhile_requestIsNotSent)
{
    startAttempt();
    endpoint->record.isLeaving = true;
    checkIsWithdrawn();
}

// Guards against a request that reaches an endpoint long after its removal from the list because its connection was still being established.
BOOST_AUTO_TEST_CASE(connectionIsSlow_endpointIsRemovedMeanwhile_requestIsNotSent)
{
    startAttempt();
    endpoint->isRemoved = true;
    checkIsWithdrawn();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
