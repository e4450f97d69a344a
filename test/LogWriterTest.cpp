#include "FakePlatform.h"
#include "Story.h"
#include "shallotdrift/src/Platform/Backoff.h"

#include <cppunit/extensions/HelperMacros.h>
#include <numeric>

namespace shallotdrift {

class LogWriterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogWriterTest);
    CPPUNIT_TEST(batchesKeepOrderAndLimits);
    CPPUNIT_TEST(lostAnswersRepeatTheSameRecords);
    CPPUNIT_TEST(refusedBatchIsDroppedAlone);
    CPPUNIT_TEST(noBurstAfterAnOutage);
    CPPUNIT_TEST(fullRingRefusesWithoutSkippingSequences);
    CPPUNIT_TEST(backoffDoublesUpToItsMaximum);
    CPPUNIT_TEST_SUITE_END();

    static LogWriterOptions options()
    {
        LogWriterOptions options;
        options.writer = "e-1";
        options.boot = 9;
        options.batchInterval = Milliseconds(10);
        options.firstBackoff = Milliseconds(5);
        options.maximumBackoff = Milliseconds(40);
        options.maximumAppendsPerSecond = 200;
        return options;
    }

    static proto::Record record(size_t reasonBytes = 0)
    {
        proto::Record record;
        record.set_reason(std::string(reasonBytes, 'x'));
        record.mutable_writer_time();
        return record;
    }

    // Sequences of all appended records, in log order.
    static std::vector<uint64_t> sequences(FakePlatform& platform, size_t* largestBatch = nullptr)
    {
        std::lock_guard lock(platform.mutex);
        std::vector<uint64_t> found;
        for (const auto& payload : platform.payloads) {
            proto::RecordBatch batch;
            CPPUNIT_ASSERT(batch.ParseFromString(payload));
            if (largestBatch)
                *largestBatch = std::max(*largestBatch, static_cast<size_t>(batch.records_size()));
            for (const auto& item : batch.records()) {
                CPPUNIT_ASSERT_EQUAL(std::string("e-1"), item.id().writer());
                CPPUNIT_ASSERT_EQUAL(uint64_t { 9 }, item.id().boot());
                CPPUNIT_ASSERT(item.written_ms() > 0);
                found.push_back(item.id().sequence());
            }
        }
        return found;
    }

    static std::vector<uint64_t> upTo(uint64_t last)
    {
        std::vector<uint64_t> expected(last);
        std::iota(expected.begin(), expected.end(), 1);
        return expected;
    }

public:
    // Guards against reordered, lost or oversized batches.
    void batchesKeepOrderAndLimits()
    {
        FakePlatform platform;
        auto limits = options();
        limits.maximumBatchRecords = 64;
        limits.maximumBatchBytes = 4000;
        LogWriter writer(limits, platform);
        writer.start();
        for (uint64_t i = 1; i <= 600; ++i)
            CPPUNIT_ASSERT_EQUAL(i, writer.submit(record(i % 7 == 0 ? 1000 : 0)));
        CPPUNIT_ASSERT(writer.flush(Milliseconds(5000)));
        size_t largest = 0;
        CPPUNIT_ASSERT(sequences(platform, &largest) == upTo(600));
        CPPUNIT_ASSERT(largest > 1 && largest <= 64);
        for (const auto& payload : platform.payloads)
            CPPUNIT_ASSERT(payload.size() <= 4000 + 64 * 8);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 600 }, writer.counters().records);
    }

    // Guards against a repeated append that gets new identities, which the fold could not recognise as a copy.
    void lostAnswersRepeatTheSameRecords()
    {
        FakePlatform platform;
        platform.appendFailures = { ResultCode::AnswerLost, ResultCode::PlatformUnavailable, ResultCode::AnswerLost };
        LogWriter writer(options(), platform);
        writer.submit(record());
        writer.submit(record());
        writer.start();
        CPPUNIT_ASSERT(writer.flush(Milliseconds(5000)));
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, platform.payloads.size());
        for (const auto& payload : platform.payloads)
            CPPUNIT_ASSERT(payload == platform.payloads.front());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, writer.counters().failedAppends);
    }

    // Guards against a record that the platform never accepts and that blocks all later ones.
    void refusedBatchIsDroppedAlone()
    {
        FakePlatform platform;
        platform.appendFailures = { ResultCode::AnswerLost, ResultCode::PlatformRefused };
        auto single = options();
        single.maximumBatchRecords = 2;
        LogWriter writer(single, platform);
        for (int i = 0; i < 6; ++i)
            writer.submit(record());
        writer.start();
        CPPUNIT_ASSERT(writer.flush(Milliseconds(5000)));
        // The first two were stored by the append whose answer was lost; its repetition was refused.
        CPPUNIT_ASSERT(sequences(platform) == upTo(6));
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, platform.payloads.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, writer.counters().droppedBatches);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, writer.counters().droppedRecords);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 4 }, writer.counters().records);
    }

    // Guards against a rush of appends when the platform comes back.
    void noBurstAfterAnOutage()
    {
        FakePlatform platform;
        platform.setOutage(true);
        auto limits = options();
        limits.maximumBatchRecords = 5;
        limits.maximumAppendsPerSecond = 50;
        LogWriter writer(limits, platform);
        writer.start();
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(writer.submit(record()) > 0);
        CPPUNIT_ASSERT(eventually([&] { return !writer.reachable(); }));
        CPPUNIT_ASSERT(!writer.flush(Milliseconds(100)));
        platform.setOutage(false);
        CPPUNIT_ASSERT(writer.flush(Milliseconds(5000)));
        CPPUNIT_ASSERT(writer.reachable());
        CPPUNIT_ASSERT(sequences(platform) == upTo(100));
        for (size_t i = 1; i < platform.attempts.size(); ++i)
            CPPUNIT_ASSERT(platform.attempts[i] - platform.attempts[i - 1] >= Milliseconds(19));
    }

    // Guards against memory that grows during an outage, and against sequences that are never written: the fold would
    // keep them as missing.
    void fullRingRefusesWithoutSkippingSequences()
    {
        FakePlatform platform;
        auto small = options();
        small.ringCapacity = 8;
        LogWriter writer(small, platform);
        for (uint64_t i = 1; i <= 8; ++i)
            CPPUNIT_ASSERT_EQUAL(i, writer.submit(record()));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, writer.submit(record()));
        writer.start();
        CPPUNIT_ASSERT(writer.flush(Milliseconds(5000)));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 9 }, writer.submit(record()));
        CPPUNIT_ASSERT(writer.flush(Milliseconds(5000)));
        CPPUNIT_ASSERT(sequences(platform) == upTo(9));
        Section bytes("the bytes of waiting records are bounded too");
        small.maximumQueuedBytes = 3000;
        LogWriter narrow(small, platform);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, narrow.submit(record(2000)));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, narrow.submit(record(2000)));
    }

    // Guards against delays beyond the maximum, and against writers that repeat in step with each other.
    void backoffDoublesUpToItsMaximum()
    {
        internal::Backoff backoff(Milliseconds(100), Milliseconds(5000), 3);
        Milliseconds bound(100);
        std::set<Milliseconds> different;
        for (int i = 0; i < 200; ++i) {
            auto delay = backoff.next();
            CPPUNIT_ASSERT(delay >= Milliseconds(0) && delay <= bound);
            different.insert(delay);
            bound = std::min(bound * 2, Milliseconds(5000));
        }
        CPPUNIT_ASSERT(different.size() > 150);
        CPPUNIT_ASSERT(*different.rbegin() > Milliseconds(4000));
        backoff.reset();
        CPPUNIT_ASSERT(backoff.next() <= Milliseconds(100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogWriterTest);

} // namespace shallotdrift
