#include "Section.h"

#include "shallotdrift/Base.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class BaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BaseTest);
    CPPUNIT_TEST(resultCodesAreOrderedAndConsistent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a code that is missing from the table or out of order.
    void resultCodesAreOrderedAndConsistent()
    {
        unsigned previous = 0;
        for (const auto& info : resultCodeTable()) {
            auto number = static_cast<unsigned>(info.code);
            CPPUNIT_ASSERT(number == 0 || number > previous);
            previous = number;
            CPPUNIT_ASSERT(resultCodeFromNumber(number) == info.code);
        }
        CPPUNIT_ASSERT(!resultCodeFromNumber(999));
        CPPUNIT_ASSERT(!resultCodeFromNumber(65536 + 101));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

} // namespace shallotdrift
