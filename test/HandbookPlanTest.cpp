#include "Section.h"

#include "shallotdrift/Settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

static const std::string header = "[handbook]\ntitle = t\nwhen = w\n";

class HandbookPlanTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HandbookPlanTest);
    CPPUNIT_TEST(everyActionIsParsed);
    CPPUNIT_TEST(allErrorsAreReported);
    CPPUNIT_TEST(unknownPoolsAndZonesAreReported);
    CPPUNIT_TEST_SUITE_END();

    static std::string messageOf(const std::string& text)
    {
        return handleError(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(parseHandbook(text, "h.ini"));
                return std::string();
            },
            [](const Error& error) { return error.message; });
    }

    static void assertError(const std::string& message, const std::string& expected)
    {
        CPPUNIT_ASSERT_MESSAGE("expected: " + expected + "\nactual: " + message,
            ("\n" + message).find("\n" + expected) != std::string::npos);
    }

public:
    // Guards against parsing the keys of one action into the members of another. Each action has its own key table; a
    // wrong table would lend from or drain the wrong pool.
    void everyActionIsParsed()
    {
        auto plan = parseHandbook(header
                + "[step 1]\naction = lend\nfrom = a\nto = b\ncount = 3\n[step 2]\naction = return\npool = b\n"
                  "[step 3]\nzone = za\naction = drain\n[step 4]\naction = wave\npool = a\nmax_parallel = 2\n",
            "h.ini");
        CPPUNIT_ASSERT(plan.has_value());
        using Action = HandbookStep::Action;
        const auto& steps = plan->steps;
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, steps.size());
        CPPUNIT_ASSERT(steps[0].action == Action::Lend && steps[0].fromPool == "a" && steps[0].toPool == "b");
        CPPUNIT_ASSERT_EQUAL(3U, steps[0].count);
        CPPUNIT_ASSERT(steps[1].action == Action::ReturnLent && steps[1].pool == "b");
        CPPUNIT_ASSERT(steps[2].action == Action::Drain && steps[2].zone == "za");
        CPPUNIT_ASSERT(steps[3].action == Action::Wave && steps[3].pool == "a" && steps[3].maximumParallel == 2);
    }

    // Guards against an entry that passes the review and fails only when it is invoked in an emergency. Every error is
    // reported with its line, so that the author can correct all errors at once.
    void allErrorsAreReported()
    {
        auto message = messageOf("[handbook]\ntitle =\n[step 2]\naction = lend\nto = a\nfrom = a\ncount = 0\nzone = z\n"
                                 "[step 3]\naction = reboot\n[step 3x]\n[step 4]\naction = drain\n[other]\n");
        assertError(message, "h.ini:2: [handbook] title = (empty): expected text");
        assertError(message, "h.ini:1: [handbook] when is missing: expected text");
        assertError(message, "h.ini:3: [step 2]: steps are numbered from 1 without gaps; expected [step 1]");
        assertError(message, "h.ini:3: [step 2]: from and to must be different pools");
        assertError(message, "h.ini:7: [step 2] count = 0: expected a whole number from 1 to 1000");
        assertError(message, "h.ini:8: [step 2] zone = z: unknown key; known keys are action, from, to, count");
        assertError(message, "h.ini:10: [step 3] action = reboot: expected one of lend, return, drain, wave");
        assertError(message, "h.ini:11: [step 3x] action is missing: expected one of lend");
        assertError(message, "h.ini:12: [step 4]: a drain needs a zone or a pool");
        assertError(message, "h.ini:14: [other]: unknown section");
        Section steps("an entry has 1 to 20 steps");
        assertError(messageOf(header), "h.ini:4: [step N]: 1 to 20 steps are required, 0 are given");
        std::string tooLong = header;
        for (int i = 1; i <= 21; ++i)
            tooLong += "[step " + std::to_string(i) + "]\naction = return\n";
        assertError(messageOf(tooLong), "h.ini:46: [step N]: 1 to 20 steps are required, 21 are given");
    }

    // Guards against invoking an entry that refers to a pool or zone that the fleet does not have, or no
    // longer has.
    void unknownPoolsAndZonesAreReported()
    {
        auto plan = parseHandbook(
            header + "[step 1]\naction = lend\nto = b\ncount = 1\n[step 2]\naction = drain\nzone = zb\npool = a\n",
            "h.ini");
        CPPUNIT_ASSERT(plan.has_value());
        auto unknown = unknownPoolsAndZones(*plan, { "a" }, { "za" });
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, unknown.size());
        CPPUNIT_ASSERT_EQUAL(std::string("[step 1] names pool b, which the fleet does not have"), unknown[0]);
        CPPUNIT_ASSERT_EQUAL(std::string("[step 2] names zone zb, which the fleet does not have"), unknown[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandbookPlanTest);

} // namespace shallotdrift
