// Defines main() of all test programs.
#define BOOST_TEST_MODULE magnolia
#include <boost/test/unit_test.hpp>
