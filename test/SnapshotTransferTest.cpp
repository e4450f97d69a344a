#include "Story.h"

#include "shallotdrift/Peers.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace shallotdrift {

class SnapshotTransferTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SnapshotTransferTest);
    CPPUNIT_TEST(assemblesPartsInAnyOrder);
    CPPUNIT_TEST(refusesWhatDoesNotFit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a snapshot that is incomplete or mixed from two.
    void assemblesPartsInAnyOrder()
    {
        std::string bytes;
        std::mt19937 random(5);
        for (int i = 0; i < 700000; ++i)
            bytes += static_cast<char>(random());
        auto parts = splitSnapshot(9, bytes);
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, parts.size());
        SnapshotAssembler assembler("a");
        CPPUNIT_ASSERT(!assembler.add("a", splitSnapshot(8, bytes)[0]));
        CPPUNIT_ASSERT(!assembler.add("a", parts[2]));
        CPPUNIT_ASSERT(!assembler.add("a", splitSnapshot(8, bytes)[0]));
        CPPUNIT_ASSERT(!assembler.add("a", parts[0]));
        CPPUNIT_ASSERT(!assembler.add("a", parts[2]));
        auto whole = assembler.add("a", parts[1]);
        CPPUNIT_ASSERT(whole && *whole == bytes);
        CPPUNIT_ASSERT_EQUAL(Offset { 9 }, assembler.offset());
        Section empty("an empty snapshot is one empty part");
        CPPUNIT_ASSERT(SnapshotAssembler("a").add("a", splitSnapshot(1, "").front()) == std::string());
    }

    // Guards against malformed parts that crash an entry or use up its memory.
    void refusesWhatDoesNotFit()
    {
        auto good = splitSnapshot(9, "state").front();
        SnapshotAssembler assembler("a");
        CPPUNIT_ASSERT(!assembler.add("b", good));
        auto broken = good;
        broken.set_index(1);
        CPPUNIT_ASSERT(!assembler.add("a", broken));
        broken = good;
        broken.set_count(0);
        CPPUNIT_ASSERT(!assembler.add("a", broken));
        broken.set_count(4000000000U);
        CPPUNIT_ASSERT(!assembler.add("a", broken));
        broken = good;
        broken.set_data("stale");
        CPPUNIT_ASSERT(!assembler.add("a", broken));
        CPPUNIT_ASSERT(assembler.add("a", good) == std::string("state"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTransferTest);

} // namespace shallotdrift
