#include "FakePlatform.h"
#include "Story.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class LogReaderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogReaderTest);
    CPPUNIT_TEST(followsTheLogInOrder);
    CPPUNIT_TEST(handsOverAGap);
    CPPUNIT_TEST(recoversFromFailures);
    CPPUNIT_TEST(doesNotSpinOnARefusedPage);
    CPPUNIT_TEST_SUITE_END();

    static LogReaderOptions options()
    {
        LogReaderOptions options;
        options.maximumItems = 16;
        options.wait = Milliseconds(50);
        options.firstBackoff = Milliseconds(5);
        options.maximumBackoff = Milliseconds(20);
        return options;
    }

    // Collects the offsets that a reader hands over.
    struct Collector {
        Offset operator()(LogPage&& page)
        {
            std::lock_guard lock(mutex);
            earliest = page.earliest;
            for (const auto& item : page.items)
                offsets.push_back(item.offset);
            if (page.items.empty())
                return std::max(next, page.earliest);
            return next = page.items.back().offset + 1;
        }

        size_t count()
        {
            std::lock_guard lock(mutex);
            return offsets.size();
        }

        std::mutex mutex;
        std::vector<Offset> offsets;
        Offset next = 1;
        Offset earliest = 0;
    };

public:
    // Guards against entries that are skipped or handed over twice.
    void followsTheLogInOrder()
    {
        FakePlatform platform;
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT(platform.append("record"));
        Collector collector;
        LogReader reader(options(), platform, std::ref(collector));
        reader.start(1);
        CPPUNIT_ASSERT(eventually([&] { return collector.count() == 40; }));
        Section later("entries that are appended later follow");
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(platform.append("record"));
        CPPUNIT_ASSERT(eventually([&] { return collector.count() == 45; }));
        reader.stop();
        for (Offset offset = 1; offset <= 45; ++offset)
            CPPUNIT_ASSERT_EQUAL(offset, collector.offsets[offset - 1]);
        CPPUNIT_ASSERT(reader.sinceLastAnswer() < std::chrono::seconds(5));
    }

    // Guards against a reader that hides that the next entry is no longer kept.
    void handsOverAGap()
    {
        FakePlatform platform;
        for (int i = 0; i < 30; ++i)
            CPPUNIT_ASSERT(platform.append("record"));
        platform.earliest = 21;
        Collector collector;
        LogReader reader(options(), platform, std::ref(collector));
        reader.start(5);
        CPPUNIT_ASSERT(eventually([&] { return collector.count() == 10; }));
        reader.stop();
        CPPUNIT_ASSERT_EQUAL(Offset { 21 }, collector.earliest);
        CPPUNIT_ASSERT_EQUAL(Offset { 21 }, collector.offsets.front());
    }

    // Guards against a reader that stays behind after an outage, or that hands over a page with offsets out of order.
    void recoversFromFailures()
    {
        FakePlatform platform;
        platform.readFailures = { ResultCode::AnswerLost, ResultCode::PlatformRefused };
        platform.reverseNext = true;
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(platform.append("record"));
        Collector collector;
        LogReader reader(options(), platform, std::ref(collector));
        reader.start(1);
        CPPUNIT_ASSERT(eventually([&] { return collector.count() == 3; }));
        CPPUNIT_ASSERT((collector.offsets == std::vector<Offset> { 1, 2, 3 }));
        platform.setOutage(true);
        CPPUNIT_ASSERT(eventually([&] { return !reader.reachable(); }));
        platform.setOutage(false);
        CPPUNIT_ASSERT(eventually([&] { return reader.reachable(); }));
    }

    // Guards against a busy loop while the handler cannot move on, for example with a gap and no snapshot.
    void doesNotSpinOnARefusedPage()
    {
        FakePlatform platform;
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(platform.append("record"));
        auto slow = options();
        slow.firstBackoff = Milliseconds(50);
        slow.maximumBackoff = Milliseconds(200);
        LogReader reader(slow, platform, [](LogPage&&) { return Offset { 1 }; });
        reader.start(1);
        std::this_thread::sleep_for(Milliseconds(400));
        reader.stop();
        CPPUNIT_ASSERT(platform.reads >= 2);
        CPPUNIT_ASSERT(platform.reads < 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogReaderTest);

} // namespace shallotdrift
