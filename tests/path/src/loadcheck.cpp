#include "loadcheck.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::path
{

void requirePromisesKept(MixedLoad &load)
{
    load.finish();
    for (const auto &[outcome, count] : load.outcomes()) {
        BOOST_TEST_MESSAGE("OUTCOME " << outcome << " " << count);
    }
    for (const Promise &promise : load.judge()) {
        BOOST_TEST_MESSAGE("PROMISE " << promise.name << " checked " << promise.checked << " broken " << promise.broken.size());
        for (const std::string &line : promise.broken) {
            BOOST_ERROR(promise.name + ": " + line);
        }
    }
}

} // namespace magnolia::path
