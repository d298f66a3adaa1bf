#include "answerkind.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace magnolia::forward
{

namespace
{

struct AnswerKindFixture {
    AnswerKindFixture()
    {
        endpoint.record = {.id = "e1", .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4};
        endpoint.load = {.running = 4, .waiting = 1, .slots = 4};
    }

    AnswerKind kindOf(int status, const std::string &header = {}, const std::string &value = "1", bool hasCurrentLoad = true) const
    {
        http::MessageHead head;
        head.status = status;
        if (!header.empty()) {
            head.headers.add(header, value);
        }
        if (hasProof) {
            head.headers.add(protocol.answerProof, "p");
        }
        if (header == protocol.endpointAtFault) {
            head.headers.add(protocol.notRun, "1");
        }
        return classifyAnswer(head, isNamed, protocol, {.endpoint = endpoint, .hasCurrentLoad = hasCurrentLoad, .doOthersServe = doOthersServe});
    }

    Protocol protocol;
    routing::Endpoint endpoint;
    bool doOthersServe = false;
    bool isNamed = true;
    bool hasProof = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerKindTest, AnswerKindFixture)

BOOST_AUTO_TEST_CASE(answer_withoutProof_isASuccessOnlyIfItIsProved)
{
    BOOST_TEST((kindOf(200) == AnswerKind::Unproved));
    BOOST_TEST((kindOf(200, protocol.answerProof) == AnswerKind::Success));
    BOOST_TEST((kindOf(404) == AnswerKind::Success)); // The endpoint's own answer, which is relayed.
}

BOOST_AUTO_TEST_CASE(answer_serverError_mayHaveRunUnlessItSaysOtherwise)
{
    BOOST_TEST((kindOf(503) == AnswerKind::Failure));
    BOOST_TEST(!isNotRun(kindOf(500)));
    BOOST_TEST((kindOf(503, protocol.notRun) == AnswerKind::Refused));
}

// Guards against a status that promises "not run" being relayed as the endpoint's own answer although the endpoint does not state that.
BOOST_AUTO_TEST_CASE(answer_promisingStatusWithoutStatement_mayHaveRun)
{
    BOOST_TEST((kindOf(429) == AnswerKind::Failure));
    BOOST_TEST((kindOf(408) == AnswerKind::Failure));
}

// Guards against a rejection that names no request, and may be to another one, being taken for a proof.
BOOST_AUTO_TEST_CASE(rejection_withoutId_provesNothing)
{
    isNamed = false;
    BOOST_TEST((kindOf(503, protocol.notRun) == AnswerKind::Failure));
    BOOST_TEST((kindOf(421) == AnswerKind::Failure));
    BOOST_TEST((kindOf(503, protocol.endpointAtFault, "10.0.0.9:80") == AnswerKind::Failure));
}

// Guards against a success that also states that the request did not run being taken for a rejection.
BOOST_AUTO_TEST_CASE(success_statesNotRun_provesNothing)
{
    BOOST_TEST((kindOf(200, protocol.notRun) == AnswerKind::Unproved));
    hasProof = true;
    BOOST_TEST((kindOf(200, protocol.notRun) == AnswerKind::Unproved));
    BOOST_TEST((kindOf(200) == AnswerKind::Success));
}

// Guards against the same for a failure: the statement may belong to a rejection behind its remains.
BOOST_AUTO_TEST_CASE(failure_statesNotRun_provesNothing)
{
    for (const int status : {500, 502, 504}) {
        BOOST_TEST((kindOf(status, protocol.notRun) == AnswerKind::Failure));
    }
    BOOST_TEST((kindOf(404, protocol.notRun) == AnswerKind::Success));
    for (const int status : {400, 408, 429, 503}) {
        BOOST_TEST((kindOf(status, protocol.notRun) == AnswerKind::Refused));
    }
}

BOOST_AUTO_TEST_CASE(rejection_misdirected_isForAnotherEndpointAtTheAddress)
{
    BOOST_TEST((kindOf(421) == AnswerKind::AddressTaken));
    BOOST_TEST(isNotRun(kindOf(421)));
}

BOOST_AUTO_TEST_CASE(rejection_namesAPeer_isForTheGroup)
{
    BOOST_TEST((kindOf(503, protocol.endpointAtFault, "10.0.0.9:80") == AnswerKind::GroupDown));
    BOOST_TEST((kindOf(503, protocol.endpointAtFault, "10.0.0.1:80") == AnswerKind::Refused));
    BOOST_TEST((kindOf(429, protocol.endpointAtFault, "10.0.0.9:80") == AnswerKind::Refused));
}

BOOST_AUTO_TEST_CASE(rejection_withFreeSlots_isForTheGroupIfTheLoadIsCurrent)
{
    endpoint.load = {.running = 1, .waiting = 0, .slots = 4};
    BOOST_TEST((kindOf(503, protocol.notRun) == AnswerKind::GroupDown));
    BOOST_TEST((kindOf(503, protocol.notRun, "1", false) == AnswerKind::Refused));
}

// Guards against one endpoint that turns requests away being taken for its whole group, so that requests wait although others serve.
BOOST_AUTO_TEST_CASE(rejection_withFreeSlotsWhileOthersServe_isForTheEndpointAlone)
{
    doOthersServe = true;
    endpoint.load = {.running = 1, .waiting = 0, .slots = 4};
    BOOST_TEST((kindOf(503, protocol.notRun) == AnswerKind::Declined));
    BOOST_TEST(isNotRun(AnswerKind::Declined));
    BOOST_TEST((kindOf(503, protocol.endpointAtFault, "10.0.0.9:80") == AnswerKind::GroupDown));
    endpoint.load = {.running = 4, .waiting = 0, .slots = 4};
    BOOST_TEST((kindOf(503, protocol.notRun) == AnswerKind::Refused));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
