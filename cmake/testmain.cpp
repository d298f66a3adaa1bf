// The one source of each test program that defines main(); the tests are in the other sources.
#define BOOST_TEST_MODULE magnolia
#include <boost/test/unit_test.hpp>
