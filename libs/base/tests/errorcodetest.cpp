#include "base/failure.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace magnolia;

BOOST_AUTO_TEST_SUITE(ErrorCodeTest)

BOOST_AUTO_TEST_CASE(everyCode_namedForJson_hasItsOwnName)
{
    std::set<std::string> names;
    const int last = static_cast<int>(ErrorCode::Internal);
    for (int value = 0; value <= last; ++value) {
        names.insert(make_error_code(static_cast<ErrorCode>(value)).message());
    }
    BOOST_TEST(names.size() == static_cast<std::size_t>(last) + 1);
}

BOOST_AUTO_TEST_CASE(failedResult_readBack_keepsCodeAndVerdict)
{
    const Result<int> result = fail(ErrorCode::Leaving, Verdict::NotRun, "endpoint is draining");
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().code == ErrorCode::Leaving));
    BOOST_TEST((result.error().verdict == Verdict::NotRun));
    BOOST_TEST(toString(result.error().verdict) == "not-run");
}

BOOST_AUTO_TEST_SUITE_END()
