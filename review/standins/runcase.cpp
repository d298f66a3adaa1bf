// The fixtures of the project's tests check with Boost.Test, which works in a test case only: a case is played in one.
#define BOOST_TEST_NO_MAIN
#define BOOST_TEST_ALTERNATIVE_INIT_API
#include <boost/test/included/unit_test.hpp>

#include "smalldeployment.h"

#include <exception>
#include <iostream>

namespace magnolia::review
{

namespace
{

struct Play {
    CaseArguments arguments{};
    Verdict (*play)(const CaseArguments &) = nullptr;
    Verdict verdict = Verdict::NotRun;
};

Play &currentPlay()
{
    static Play play;
    return play;
}

void playCase()
{
    Play &current = currentPlay();
    if (current.play != nullptr) {
        current.verdict = current.play(current.arguments);
    }
}

bool addCase()
{
    boost::unit_test::framework::master_test_suite().add(boost::unit_test::make_test_case(&playCase, "play", __FILE__, __LINE__));
    return true;
}

} // namespace

int runCase(int argc, char **argv, Verdict (*play)(const CaseArguments &))
{
    constexpr int ArgumentCount = 4;
    if (argc != ArgumentCount) {
        std::cerr << "usage: " << argv[0] << " PROGRAM FOLDER RECORD\n";
        return static_cast<int>(Verdict::NotRun);
    }
    const char *trouble = std::getenv("TROUBLE");
    currentPlay().arguments = {.program = argv[1], .folder = argv[2], .record = argv[3], .hasTrouble = trouble == nullptr || std::string(trouble) != "0"};
    currentPlay().play = play;
    boost::unit_test::unit_test_main(&addCase, 1, argv);
    return static_cast<int>(currentPlay().verdict);
}

} // namespace magnolia::review
