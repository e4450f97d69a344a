#include "Section.h"

#include "shallotdrift/Base.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class BaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BaseTest);
    CPPUNIT_TEST(resultCodesAreOrderedAndConsistent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Lookups use binary search, so a code out of order would not be found. A number that is not in the table must not
    // be taken for a code, nor must a number of more than 16 bits.
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
