#include "Story.h"

#include "standin/JournalCheck.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <sstream>

namespace shallotdrift {

namespace {

    std::string run(const char* event, int64_t time, const std::string& request, const std::string& key = "",
        const std::string& instance = "t1", const std::string& requestedPool = "assess")
    {
        return fmt::format(R"({{"event":"{}","time":{},"request_id":"{}","key":"{}","instance":"{}","pool":"assess",)"
                           R"("requested_pool":"{}"}})"
                           "\n",
            event, time, request, key, instance, requestedPool);
    }

    std::string ran(int64_t time, const std::string& request, const std::string& key = "")
    {
        return run("run_start", time, request, key) + run("run_end", time + 5, request, key);
    }

    std::string answer(int64_t time, const std::string& request, unsigned code = 0,
        const std::string& execution = "ran", const std::string& key = "", bool whole = true, bool belongs = true)
    {
        return fmt::format(R"({{"event":"answer","time":{},"request_id":"{}","code":{},"execution":"{}","key":"{}",)"
                           R"("whole":{},"belongs":{}}})"
                           "\n",
            time, request, code, execution, key, whole, belongs);
    }

    std::string mark(int64_t time, const std::string& state)
    {
        return fmt::format(R"({{"event":"mark","time":{},"instance":"t1","pool":"assess","state":"{}"}})"
                           "\n",
            time, state);
    }

    // Rules that a journal breaks, in the order of the check, separated by commas.
    std::string rulesBrokenBy(const std::string& journal)
    {
        standin::JournalCheck check(Milliseconds(1000));
        std::istringstream input(journal);
        check.add(input, "journal");
        std::string rules;
        for (const auto& violation : check.violations())
            rules += (rules.empty() ? "" : ", ") + violation.rule;
        return rules;
    }

} // namespace

class CheckTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CheckTest);
    CPPUNIT_TEST(acceptsFaultlessJournals);
    CPPUNIT_TEST(findsEachSeededFault);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a check that cries wolf: a drill's report would then be ignored.
    void acceptsFaultlessJournals()
    {
        const std::vector<std::pair<std::string, std::string>> journals {
            { "plain", ran(100, "a.1") + answer(110, "a.1") },
            { "refused, then run through another entry",
                answer(90, "a.1", 101, "not-run") + ran(100, "a.2") + answer(110, "a.2") },
            { "a retry with its key gets the outcome of the first try",
                ran(100, "a.1", "k") + answer(104, "a.1", 305, "may-have-run", "k")
                    + answer(110, "a.2", 0, "ran", "k") },
            { "work without a key may run twice", ran(100, "a.1") + ran(120, "a.1") + answer(130, "a.1") },
            { "work within the limit after the mark, and after the return",
                mark(100, "leaving") + ran(1000, "a.1") + mark(5000, "active") + ran(9000, "b.1")
                    + answer(9010, "b.1") },
            { "a run that nobody waits for is cut off",
                run("run_start", 100, "a.1") + answer(110, "a.1", 304, "may-have-run") + run("run_cut", 120, "a.1") },
            { "the last line is torn", ran(100, "a.1") + answer(110, "a.1") + R"({"event":"ans)" },
        };
        for (const auto& [name, journal] : journals) {
            Section one(name);
            CPPUNIT_ASSERT_EQUAL(std::string(), rulesBrokenBy(journal));
        }
    }

    // Guards against a check that passes whatever happened.
    void findsEachSeededFault()
    {
        const std::string good = ran(100, "ok.1") + answer(110, "ok.1");
        const std::vector<std::pair<std::string, std::string>> journals {
            { "a key runs at most once", good + ran(100, "a.1", "k") + ran(300, "a.2", "k") },
            { "not run did not run", good + run("run_start", 100, "a.1") + answer(110, "a.1", 115, "not-run") },
            { "an answer belongs to its request",
                good + ran(100, "a.1") + answer(110, "a.1", 0, "ran", "", true, false) },
            { "an answer is whole", good + ran(100, "a.1") + answer(110, "a.1", 0, "ran", "", false) },
            { "one answer for each request", good + answer(111, "ok.1") },
            { "ran did run", good + answer(110, "a.1") },
            { "ran did run", good + run("run_start", 100, "a.1") + answer(110, "a.1", 201, "ran") },
            { "runs in the requested pool", good + run("run_start", 100, "a.1", "", "t1", "other") },
            { "no new work on a leaving instance",
                good + mark(100, "leaving") + mark(900, "leaving") + ran(1101, "a.1") },
            { "no new work on a leaving instance", ran(1101, "a.1") + good + mark(100, "rebooting") },
            { "a planned stop cuts off no request",
                good + run("run_start", 100, "a.1") + run("run_cut", 120, "a.1")
                    + answer(125, "a.1", 305, "may-have-run") },
            { "readable journal", good + "{\"event\":\"ans\n" },
            { "readable journal", good + "{\"time\":5}\n" },
            { "something ran", ran(100, "a.1") },
            { "something ran", answer(100, "a.1", 101, "not-run") },
            { "something ran, something ran", "" },
        };
        for (const auto& [rules, journal] : journals) {
            Section one(rules);
            CPPUNIT_ASSERT_EQUAL(rules, rulesBrokenBy(journal));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckTest);

} // namespace shallotdrift
