#pragma once

#include "Records.h"
#include "TestFleet.h"

#include "shallotdrift/Fold.h"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace shallotdrift {

// A fold with the log that led to it. Each record is an entry of the log of its own, written by "e1" unless set.
class FoldLog {
public:
    static constexpr int64_t startMilliseconds = 1700000000000;

    Fold fold;
    std::vector<std::string> payloads;
    std::string writer = "e1";
    uint64_t boot = 1;
    int64_t nowMilliseconds = startMilliseconds;

    proto::Record stamped(proto::Record record)
    {
        auto& id = *record.mutable_id();
        if (id.writer().empty()) {
            id.set_writer(writer);
            id.set_boot(boot);
        }
        if (id.sequence() == 0)
            id.set_sequence(++sequences_[{ id.writer(), id.boot() }]);
        if (record.written_ms() == 0)
            record.set_written_ms(nowMilliseconds);
        if (record.actor().empty())
            record.set_actor("entry:" + writer);
        return record;
    }

    FoldedRecord add(proto::Record record)
    {
        proto::RecordBatch batch;
        *batch.add_records() = stamped(std::move(record));
        return addBatch(batch).front();
    }

    std::vector<FoldedRecord> addBatch(const proto::RecordBatch& batch)
    {
        payloads.push_back(batch.SerializeAsString());
        return fold.apply(payloads.size(), payloads.back()).value();
    }

    const FleetState& state() const { return fold.state(); }
    const Instance& instance(const std::string& id) const { return state().instances.at(id); }

    ResultCode code(proto::Record record) { return add(std::move(record)).verdict.code; }

    // Short forms that take the epoch or version from the state and return the verdict's code.
    using Text = const std::string&;
    ResultCode join(Text entry, uint64_t entryBoot, Text zone) { return code(records::joined(entry, entryBoot, zone)); }

    ResultCode configure(const TestFleet& fleet, Text author = "ana", Text reviewer = "ben")
    {
        return code(records::configuration(state().configurationVersion, fleet.ini(), author, reviewer));
    }

    ResultCode observe(Text id, Text pool, Text zone = "north", Text rack = "rack-1")
    {
        return code(records::observed(id, pool, zone, rack));
    }

    ResultCode lose(Text id, bool leaving = false) { return code(records::lost(id, instance(id).epoch, leaving)); }

    ResultCode move(Text id, Text instanceId, Text pool, uint64_t epoch = 0)
    {
        return code(records::move(id, instanceId, pool, epoch ? epoch : instance(instanceId).epoch));
    }

    ResultCode acknowledge(Text operation, Text entry, uint64_t entryBoot = 1)
    {
        return code(records::acknowledged(operation, entry, entryBoot));
    }

    ResultCode grant(Text id) { return code(records::granted(id)); }
    ResultCode abort(Text id) { return code(records::aborted(id)); }

    ResultCode startWave(Text id, Text pool = "", bool keepDrained = false, uint32_t maximumParallel = 0)
    {
        return code(records::wave(id, pool, "", keepDrained, maximumParallel));
    }

    ResultCode changeWave(Text id, int change) { return code(records::waveChange(id, change)); }

    ResultCode maintain(Text wave, Text id) { return code(records::maintenance(wave, id, instance(id).epoch)); }

    ResultCode finish(Text wave, Text id, bool completed = true)
    {
        return code(records::maintenanceDone(wave, id, completed));
    }

    // Two entries in the north, one in the south, and the configuration.
    void startFleet(const TestFleet& fleet = {})
    {
        CPPUNIT_ASSERT(join("e1", 1, "north") == ResultCode::Ok);
        CPPUNIT_ASSERT(join("e2", 1, "north") == ResultCode::Ok);
        CPPUNIT_ASSERT(join("e3", 1, "south") == ResultCode::Ok);
        CPPUNIT_ASSERT(configure(fleet) == ResultCode::Ok);
    }

private:
    std::map<std::pair<std::string, uint64_t>, uint64_t> sequences_;
};

// Checks the code of a verdict and prints both numbers when it differs.
inline void assertCode(ResultCode expected, ResultCode actual, const CppUnit::SourceLine& line)
{
    CppUnit::assertEquals(std::string(infoOf(expected).name), std::string(infoOf(actual).name), line, "result code");
}

#define ASSERT_CODE(expected, actual) ::shallotdrift::assertCode((expected), (actual), CPPUNIT_SOURCELINE())
#define ASSERT_OK(actual) ASSERT_CODE(::shallotdrift::ResultCode::Ok, actual)

} // namespace shallotdrift
