#pragma once

#include "shallotdrift/Fold.h"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace shallotdrift {

// A handbook entry that parses.
inline constexpr const char* returnHandbook = "[handbook]\ntitle = Return\nwhen = always\n[step 1]\naction = return\n";

// Texts of configurations for the tests, in the format of the Settings module.
struct TestFleet {
    std::vector<std::string> zones { "north", "south" };
    std::map<std::string, uint32_t> pools { { "reports", 1 }, { "accounts", 0 } }; // with their minimums
    int64_t keyWindowMilliseconds = 900000;

    std::string ini() const
    {
        std::string text;
        for (const auto& zone : zones)
            text += fmt::format("[zone {}]\nregion = home\n", zone);
        for (const auto& [pool, minimum] : pools)
            text += fmt::format(
                "[pool {}]\nminimum_available = {}\nspare = {}\n", pool, minimum, pool == "accounts" ? "yes" : "no");
        const auto& pool = pools.begin()->first;
        text += fmt::format("[kind issue]\npool = {}\nidempotent = no\n", pool);
        text += fmt::format("[kind check]\npool = {}\nurgency = urgent\n", pool);
        text += fmt::format("[kind ledger]\npool = {}\nlong_running = yes\nurgency = bulk\n", pool);
        text += "[team surveyors]\nslot_quota = 8\n";
        return text + fmt::format("[limits]\nkey_window_s = {}\n", keyWindowMilliseconds / 1000);
    }
};

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

    // Short forms of the records. Each returns the verdict's code.
    ResultCode join(const std::string& entry, uint64_t entryBoot, const std::string& zone)
    {
        auto former = std::exchange(writer, entry);
        auto formerBoot = std::exchange(boot, entryBoot);
        proto::Record record;
        auto& body = *record.mutable_entry_joined();
        body.set_entry(entry);
        body.set_boot(entryBoot);
        body.set_zone(zone);
        auto code = add(std::move(record)).verdict.code;
        writer = former;
        boot = formerBoot;
        return code;
    }

    ResultCode configure(const TestFleet& fleet, const std::string& author = "ana", const std::string& reviewer = "ben")
    {
        proto::Record record;
        auto& body = *record.mutable_configuration_proposed();
        body.set_expected_version(state().configurationVersion);
        body.set_ini(fleet.ini());
        body.set_author(author);
        body.set_reviewer(reviewer);
        return add(std::move(record)).verdict.code;
    }

    ResultCode observe(const std::string& id, const std::string& pool, const std::string& zone = "north",
        const std::string& rack = "rack-1")
    {
        proto::Record record;
        auto& body = *record.mutable_instance_observed();
        body.set_instance(id);
        body.set_address("10.0.0.1:80");
        body.set_zone(zone);
        body.set_rack(rack);
        body.set_pool(pool);
        body.mutable_shape()->set_cores(16);
        body.mutable_shape()->set_memory_mb(65536);
        body.mutable_shape()->set_slots(8);
        return add(std::move(record)).verdict.code;
    }

    ResultCode lose(const std::string& id, bool leaving = false)
    {
        proto::Record record;
        auto& body = *record.mutable_instance_lost();
        body.set_instance(id);
        body.set_expected_epoch(instance(id).epoch);
        body.set_leaving(leaving);
        return add(std::move(record)).verdict.code;
    }

    ResultCode move(const std::string& id, const std::string& instanceId, const std::string& pool, uint64_t epoch = 0)
    {
        proto::Record record;
        auto& body = *record.mutable_move_proposed();
        body.set_move_id(id);
        body.set_instance(instanceId);
        body.set_expected_epoch(epoch ? epoch : instance(instanceId).epoch);
        body.set_to_pool(pool);
        return add(std::move(record)).verdict.code;
    }

    ResultCode acknowledge(const std::string& operation, const std::string& entry, uint64_t entryBoot = 1)
    {
        auto former = std::exchange(writer, entry);
        auto formerBoot = std::exchange(boot, entryBoot);
        proto::Record record;
        auto& body = *record.mutable_close_acknowledged();
        body.set_operation_id(operation);
        body.set_entry(entry);
        body.set_boot(entryBoot);
        auto code = add(std::move(record)).verdict.code;
        writer = former;
        boot = formerBoot;
        return code;
    }

    ResultCode grant(const std::string& id)
    {
        proto::Record record;
        record.mutable_move_granted()->set_move_id(id);
        return add(std::move(record)).verdict.code;
    }

    ResultCode abort(const std::string& id)
    {
        proto::Record record;
        record.mutable_move_aborted()->set_move_id(id);
        return add(std::move(record)).verdict.code;
    }

    ResultCode startWave(const std::string& id, const std::string& pool = "", bool keepDrained = false,
        uint32_t maximumParallel = 0, const std::string& zone = "")
    {
        proto::Record record;
        auto& body = *record.mutable_wave_started();
        body.set_wave_id(id);
        body.set_pool(pool);
        body.set_zone(zone);
        body.set_keep_drained(keepDrained);
        body.set_max_parallel(maximumParallel);
        return add(std::move(record)).verdict.code;
    }

    ResultCode changeWave(const std::string& id, proto::WaveChanged::Change change)
    {
        proto::Record record;
        record.mutable_wave_changed()->set_wave_id(id);
        record.mutable_wave_changed()->set_change(change);
        return add(std::move(record)).verdict.code;
    }

    ResultCode maintain(const std::string& wave, const std::string& id)
    {
        proto::Record record;
        auto& body = *record.mutable_maintenance_started();
        body.set_wave_id(wave);
        body.set_instance(id);
        body.set_expected_epoch(instance(id).epoch);
        return add(std::move(record)).verdict.code;
    }

    ResultCode finish(const std::string& wave, const std::string& id, bool completed = true)
    {
        proto::Record record;
        auto& body = *record.mutable_maintenance_done();
        body.set_wave_id(wave);
        body.set_instance(id);
        body.set_completed(completed);
        return add(std::move(record)).verdict.code;
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
