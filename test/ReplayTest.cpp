#include "Story.h"

#include "shallotdrift/Replay.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <future>
#include <sstream>

namespace shallotdrift {

namespace {

    const char* const smallTrace = "samples/traces/small.trace";

    Trace generated(const std::string& deployment, const std::string& scenario, uint64_t seed = 1)
    {
        GeneratorOptions options;
        options.deployment = deployment;
        options.scenario = scenario;
        options.seed = seed;
        return generateTrace(options).value();
    }

    std::string parseError(const std::string& text)
    {
        std::istringstream stream(text);
        return handleError(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(parseTrace(stream, "t"));
                return std::string();
            },
            [](const Error& error) {
                CPPUNIT_ASSERT(error.code == ResultCode::InvalidTrace);
                return error.message;
            });
    }

    std::string reportText(const Trace& trace, const std::string& policy)
    {
        auto report = replayTrace(trace, *findReplayPolicy(policy));
        return reportToJson(report).dump();
    }

    std::string missedIn(const std::string& deployment, const std::string& scenario, uint64_t seed)
    {
        auto outcomes = readOutcomes("samples/traces/" + deployment + "-" + scenario + ".outcomes").value();
        auto trace = generated(deployment, scenario, seed);
        std::map<std::string, ReplayReport> compared;
        for (const auto& name : comparedPolicies(outcomes))
            compared[name] = replayTrace(trace, *findReplayPolicy(name));
        std::string text;
        for (const auto& line : missedOutcomes(outcomes, replayTrace(trace, *findReplayPolicy("ours")), compared))
            text.append("\n  ").append(deployment).append("/").append(scenario).append(": ").append(line);
        return text;
    }

    // Replays the scenario for both deployments at once.
    void assertOutcomes(const std::string& scenario, uint64_t seed = 1)
    {
        auto karoo = std::async(std::launch::async, [&scenario, seed] { return missedIn("karoo", scenario, seed); });
        auto missed = missedIn("chamber", scenario, seed) + karoo.get();
        CPPUNIT_ASSERT_EQUAL(std::string(), missed);
    }

} // namespace

class ReplayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReplayTest);
    CPPUNIT_TEST(reportsEachMistakeWithItsLine);
    CPPUNIT_TEST(writesWhatItReads);
    CPPUNIT_TEST(repeatsExactly);
    CPPUNIT_TEST(commandsAnswerWithResultCodes);
    CPPUNIT_TEST(queuesInTurn);
    CPPUNIT_TEST(shortFloodsInTurn);
    CPPUNIT_TEST(randomFloods);
    CPPUNIT_TEST(bulkThenUrgent);
    CPPUNIT_TEST(sharedBulkThenUrgent);
    CPPUNIT_TEST(sharedBulkBacklogAtOneEntry);
    CPPUNIT_TEST(waveDuringFloods);
    CPPUNIT_TEST(zoneLost);
    CPPUNIT_TEST(rackLostMidWave);
    CPPUNIT_TEST(failingWorkers);
    CPPUNIT_TEST(jobsThatCannotRun);
    CPPUNIT_TEST(wrongDeclarations);
    CPPUNIT_TEST(cancellationWaves);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a recorded trace that is replayed with parts silently ignored.
    void reportsEachMistakeWithItsLine()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("t:1: the header is missing"), parseError(""));
        const std::string header = R"({"trace":"x","version":1,"duration_us":1000,"configuration":)"
                                   R"("[zone a]\nregion = r\n[pool p]\nminimum_available = 0\n[kind k]\npool = p\n"})"
                                   "\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), parseError(header));
        auto message = parseError(header + "nonsense\n" + R"({"request":"j","at_us":-1,"runtime_us":5,"timeout_ms":5})"
            + "\n" + R"({"instance":"w","zone":"a","rack":"r","pool":"p","slots":8,"colour":"red"})" + "\n"
            + R"({"event":"explode","at_us":1})" + "\n");
        for (const char* expected : { "t:2: a line must be one JSON object", "t:3: at_us must be a whole number",
                 "t:3: kind j is not in the configuration", "t:4: unknown member colour", "t:5: event must be one of" })
            CPPUNIT_ASSERT_MESSAGE(message, message.find(expected) != std::string::npos);
    }

    // Guards against a writer and a reader that disagree about the format.
    void writesWhatItReads()
    {
        auto trace = generated("karoo", "cancellation-waves");
        trace.requests.resize(200);
        std::ostringstream written;
        writeTrace(trace, written);
        std::istringstream stream(written.str());
        std::ostringstream again;
        writeTrace(parseTrace(stream, "t").value(), again);
        CPPUNIT_ASSERT(written.str() == again.str());
    }

    // Guards against reports that depend on anything but the trace and the policy.
    void repeatsExactly()
    {
        auto trace = generated("chamber", "zone-lost");
        auto first = reportText(trace, "ours");
        CPPUNIT_ASSERT(first == reportText(generated("chamber", "zone-lost"), "ours"));
        CPPUNIT_ASSERT(first != reportText(generated("chamber", "zone-lost", 2), "ours"));
        CPPUNIT_ASSERT(first != reportText(trace, "fifo"));
    }

    // Guards against commands that hide a missed outcome or a mistake behind success.
    void commandsAnswerWithResultCodes()
    {
        std::ostringstream out;
        std::ostringstream err;
        auto run = [&](const std::vector<std::string>& words) {
            return static_cast<ResultCode>(runReplayCommand(words, out, err));
        };
        std::string trace = std::string("--trace=") + smallTrace;
        CPPUNIT_ASSERT(run({ trace, "--outcomes=samples/traces/small.outcomes", "--json" }) == ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, nlohmann::json::parse(out.str()).at("missed_outcomes").size());
        CPPUNIT_ASSERT(run({ trace, "--policy=other" }) == ResultCode::InvalidCommand);
        CPPUNIT_ASSERT(run({ "--trace=none" }) == ResultCode::InvalidTrace);
        CPPUNIT_ASSERT(run({ "--trace=samples/traces/small.outcomes" }) == ResultCode::InvalidTrace);
        std::istringstream impossible(R"({"measure":"in_time_share","at_least":1.1,"because":"no share is above 1"})"
                                      "\n");
        auto outcomes = parseOutcomes(impossible, "o").value();
        auto report = replayTrace(readTrace(smallTrace).value(), *findReplayPolicy("ours"));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, missedOutcomes(outcomes, report, {}).size());
        CPPUNIT_ASSERT(
            static_cast<ResultCode>(runGenerateCommand({ "--scenario=none" }, out, err)) == ResultCode::InvalidCommand);
    }

    // Each of the following guards the stated outcomes of its scenario, with the promises among them.
    void queuesInTurn() { assertOutcomes("queues-in-turn"); }
    void shortFloodsInTurn() { assertOutcomes("short-floods-in-turn"); }
    void randomFloods() { assertOutcomes("random-floods"); }
    void bulkThenUrgent() { assertOutcomes("bulk-then-urgent"); }
    void sharedBulkThenUrgent() { assertOutcomes("shared-bulk-then-urgent"); }
    // With this seed the bulk backlog gathers at one entry.
    void sharedBulkBacklogAtOneEntry() { assertOutcomes("shared-bulk-then-urgent", 2); }
    void waveDuringFloods() { assertOutcomes("wave-during-floods"); }
    void zoneLost() { assertOutcomes("zone-lost"); }
    void rackLostMidWave() { assertOutcomes("rack-lost-mid-wave"); }
    void failingWorkers() { assertOutcomes("failing-workers"); }
    void jobsThatCannotRun() { assertOutcomes("jobs-that-cannot-run"); }
    void wrongDeclarations() { assertOutcomes("wrong-declarations"); }
    void cancellationWaves() { assertOutcomes("cancellation-waves"); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayTest);

} // namespace shallotdrift
