#include "LoadPlay.h"
#include "Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

namespace shallotdrift {

class LookAheadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LookAheadTest);
    CPPUNIT_TEST(durationsAreLearnedByKind);
    CPPUNIT_TEST(wrongPredictionsAreCorrected);
    CPPUNIT_TEST(reservationsBindLaterJobsOnly);
    CPPUNIT_TEST(largeTasksStartBesideAStreamOfSmallOnes);
    CPPUNIT_TEST_SUITE_END();

    // Jobs in time by kind: 4 workers, a stream of small tasks that takes all of their room, and now and then a job
    // with a task that needs most of a worker. The estimates are off by up to nine tenths, and always too low for the
    // large tasks.
    static std::map<std::string, LoadPlay::Count> playSmallAndLarge(size_t maximumReservations)
    {
        LoadPlay play(4, Milliseconds { 1500 });
        auto& harness = play.harness();
        harness.options.maximumReservations = maximumReservations;
        harness.reset();
        harness.advance(Milliseconds { 20000 });
        for (int i = 0; i < 4; ++i)
            harness.addWorker(fmt::format("w{}", i));
        std::mt19937 random(7);
        std::vector<LoadPlay::Arrival> arrivals;
        for (int time = 0; time < 30000; time += 20) {
            if (time % 40 == 0) {
                auto step = makeStep(3, 1800);
                step.estimatedDuration = Milliseconds { 40 + static_cast<int>(random() % 720) };
                arrivals.push_back({ Milliseconds { time }, "small", "", { step }, Milliseconds { 400 } });
            }
            if (time % 1500 == 0) {
                auto step = makeStep(1, 13000);
                step.estimatedDuration = Milliseconds { 300 };
                arrivals.push_back({ Milliseconds { time }, "large", "", { step }, Milliseconds { 600 } });
            }
        }
        return play.play(arrivals, Milliseconds { 34000 });
    }

public:
    // Guards against trusting estimates that are far off.
    void durationsAreLearnedByKind()
    {
        RunTimes times;
        CPPUNIT_ASSERT(times.predict("a", Milliseconds { 500 }) == Milliseconds { 500 });
        std::mt19937 random(3);
        for (int run = 0; run < 50; ++run) {
            times.record("a", Milliseconds { 100 + static_cast<int>(random() % 900) }, Milliseconds { 640 });
            auto size = static_cast<int>(1 + random() % 20);
            times.record("b", Milliseconds { 100 * size }, Milliseconds { 150 * size });
        }
        {
            Section section("estimates that say nothing are left aside");
            CPPUNIT_ASSERT(times.predict("a", Milliseconds { 100 }) == times.predict("a", Milliseconds { 900 }));
            CPPUNIT_ASSERT_DOUBLES_EQUAL(
                640, static_cast<double>(times.predict("a", Milliseconds { 900 }).count()), 40);
        }
        {
            Section section("estimates that are off by a factor are corrected");
            CPPUNIT_ASSERT_DOUBLES_EQUAL(
                1500, static_cast<double>(times.predict("b", Milliseconds { 1000 }).count()), 60);
        }
    }

    // Guards against waiting for a run that should have ended already.
    void wrongPredictionsAreCorrected()
    {
        Instant start { Milliseconds { 1000000 } };
        auto later = [&](int milliseconds) { return start + Milliseconds { milliseconds }; };
        Milliseconds predicted { 600 };
        CPPUNIT_ASSERT(RunTimes::expectedEnd(start, predicted, 0, start, later(100)) == later(600));
        CPPUNIT_ASSERT(RunTimes::expectedEnd(start, predicted, 0, start, later(2000)) == later(2500));
        {
            Section section("the reported progress goes before the prediction");
            CPPUNIT_ASSERT(RunTimes::expectedEnd(start, predicted, 20, later(500), later(550)) == later(2500));
        }
    }

    // Guards against reservations that delay jobs which come earlier in the order, or that keep room from tasks which
    // would leave it untouched.
    void reservationsBindLaterJobsOnly()
    {
        Instant at { Milliseconds { 1000000 } };
        Reservations reservations;
        reservations.add("w1", { "large", at, { 3000, 500, 0 }, false });
        Resources needed { 2000, 100, 0 };
        Resources tooMuch { 4000, 100, 0 };
        auto later = at + Milliseconds { 1 };
        CPPUNIT_ASSERT(reservations.allows("w1", "small", tooMuch, later));
        reservations.activate("large");
        CPPUNIT_ASSERT(!reservations.allows("w1", "small", tooMuch, later));
        CPPUNIT_ASSERT(reservations.allows("w1", "small", tooMuch, at));
        CPPUNIT_ASSERT(reservations.allows("w1", "large", tooMuch, later));
        CPPUNIT_ASSERT(reservations.allows("w2", "small", tooMuch, later));
        CPPUNIT_ASSERT(reservations.allows("w1", "small", needed, later));
        reservations.onPlaced("w1", "small", needed, later);
        CPPUNIT_ASSERT(!reservations.allows("w1", "small", needed, later));
        reservations.onPlaced("w1", "large", tooMuch, later);
        CPPUNIT_ASSERT(reservations.allows("w1", "small", tooMuch, later));
    }

    // Load: small jobs that fill every gap, and large ones that wait for a gap of their size.
    void largeTasksStartBesideAStreamOfSmallOnes()
    {
        auto without = playSmallAndLarge(0);
        auto with = playSmallAndLarge(8);
        auto text = fmt::format("large {:.2f} to {:.2f}, small {:.2f} to {:.2f}", without["large"].shareInTime(),
            with["large"].shareInTime(), without["small"].shareInTime(), with["small"].shareInTime());
        CPPUNIT_ASSERT_MESSAGE(text, without["large"].shareInTime() < 0.5);
        CPPUNIT_ASSERT_MESSAGE(text, with["large"].shareInTime() >= 0.8 * with["small"].shareInTime());
        CPPUNIT_ASSERT_MESSAGE(text, with["small"].shareInTime() >= without["small"].shareInTime() - 0.1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LookAheadTest);

} // namespace shallotdrift
