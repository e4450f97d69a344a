#include "Story.h"

#include "shallotdrift/Base.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace shallotdrift {

class BaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BaseTest);
    CPPUNIT_TEST(ringKeepsOrderAndRefusesWhenFull);
    CPPUNIT_TEST(ringLosesNothingBetweenThreads);
    CPPUNIT_TEST(resultCodesAreOrderedAndConsistent);
    CPPUNIT_TEST(digestRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a full ring that drops or moves from an item.
    void ringKeepsOrderAndRefusesWhenFull()
    {
        BoundedRing<std::string> ring(2);
        Section full("a ring of two takes two items");
        CPPUNIT_ASSERT(ring.tryPush("a"));
        CPPUNIT_ASSERT(ring.tryPush("b"));
        {
            Section refused("the third is refused and stays with the producer");
            std::string third = "c";
            CPPUNIT_ASSERT(!ring.tryPush(std::move(third)));
            CPPUNIT_ASSERT_EQUAL(std::string("c"), third); // NOLINT(bugprone-use-after-move)
        }
        {
            Section closed("items outlive the closing of the ring");
            ring.close();
            CPPUNIT_ASSERT_EQUAL(std::string("a"), *ring.popFor(Milliseconds(1)));
            CPPUNIT_ASSERT_EQUAL(std::string("b"), *ring.tryPop());
            CPPUNIT_ASSERT(!ring.popFor(Milliseconds(1)));
            CPPUNIT_ASSERT(!ring.push("d"));
        }
    }

    // Guards against lost wake-ups and lost items; run under the thread sanitizer too.
    void ringLosesNothingBetweenThreads()
    {
        constexpr int producers = 4;
        constexpr int itemsEach = 5000;
        BoundedRing<int> ring(16);
        std::vector<std::thread> threads;
        threads.reserve(producers);
        for (int p = 0; p < producers; ++p) {
            threads.emplace_back([&ring] {
                for (int i = 1; i <= itemsEach; ++i)
                    ring.push(i);
            });
        }
        int64_t sum = 0;
        for (int i = 0; i < producers * itemsEach; ++i)
            sum += ring.popFor(std::chrono::seconds(10)).value();
        for (auto& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(int64_t { producers } * itemsEach * (itemsEach + 1) / 2, sum);
    }

    // Guards against a code that is missing from the table or in the wrong hundred for its execution class.
    void resultCodesAreOrderedAndConsistent()
    {
        unsigned previous = 0;
        for (const auto& info : resultCodeTable()) {
            auto number = static_cast<unsigned>(info.code);
            CPPUNIT_ASSERT(number == 0 || number > previous);
            previous = number;
            CPPUNIT_ASSERT_EQUAL(number >= 100 && number < 200, info.execution == Execution::NotRun);
            CPPUNIT_ASSERT_EQUAL(number < 100 || (number >= 200 && number < 300), info.execution == Execution::Ran);
            CPPUNIT_ASSERT_EQUAL(number >= 300 && number < 400, info.execution == Execution::MayHaveRun);
            CPPUNIT_ASSERT(resultCodeFromNumber(number) == info.code);
            CPPUNIT_ASSERT(executionFromName(nameOf(info.execution)) == info.execution);
        }
        CPPUNIT_ASSERT(!resultCodeFromNumber(999));
        CPPUNIT_ASSERT(!resultCodeFromNumber(65536 + 101));
    }

    // Guards against digests that lose leading zeros or accept malformed text.
    void digestRoundTrips()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("000000000000002a"), digestToHex(42));
        CPPUNIT_ASSERT(digestFromHex(digestToHex(digestOf("moisture"))) == digestOf("moisture"));
        CPPUNIT_ASSERT(!digestFromHex("2a"));
        CPPUNIT_ASSERT(!digestFromHex("00000000000000zz"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

} // namespace shallotdrift
