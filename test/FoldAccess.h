#pragma once

#include "shallotdrift/Operators.h"

#include <cppunit/TestAssert.h>

#include <fmt/format.h>
#include <string>
#include <vector>

namespace shallotdrift {

// A log and its fold. Several entries can share it.
struct SharedLog {
    Fold fold;
    uint64_t sequence = 0;
    int64_t nowMilliseconds = 1700000000000;

    std::vector<FoldedRecord> append(std::vector<proto::Record> records)
    {
        proto::RecordBatch batch;
        for (auto& record : records) {
            record.mutable_id()->set_writer("e1");
            record.mutable_id()->set_boot(1);
            record.mutable_id()->set_sequence(++sequence);
            record.set_written_ms(++nowMilliseconds);
            if (record.actor().empty())
                record.set_actor("entry:e1");
            *batch.add_records() = std::move(record);
        }
        return fold.apply(fold.offset() + 1, batch.SerializeAsString()).value();
    }

    void add(proto::Record record)
    {
        auto verdict = append({ std::move(record) }).front().verdict;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(verdict.figures, ResultCode::Ok, verdict.code);
    }

    void join(const std::string& entry, const std::string& zone)
    {
        proto::Record record;
        record.mutable_entry_joined()->set_entry(entry);
        record.mutable_entry_joined()->set_boot(1);
        record.mutable_entry_joined()->set_zone(zone);
        record.mutable_id()->set_writer(entry);
        proto::RecordBatch batch;
        record.mutable_id()->set_boot(1);
        record.mutable_id()->set_sequence(entry == "e1" ? ++sequence : 1);
        record.set_written_ms(++nowMilliseconds);
        record.set_actor("entry:" + entry);
        *batch.add_records() = record;
        CPPUNIT_ASSERT_EQUAL(
            ResultCode::Ok, fold.apply(fold.offset() + 1, batch.SerializeAsString()).value().front().verdict.code);
    }

    void configure(const std::string& ini)
    {
        proto::Record record;
        record.mutable_configuration_proposed()->set_expected_version(fold.state().configurationVersion);
        record.mutable_configuration_proposed()->set_ini(ini);
        record.mutable_configuration_proposed()->set_author("first");
        record.mutable_configuration_proposed()->set_reviewer("second");
        add(record);
    }

    void observe(const std::string& instance, const std::string& pool, const std::string& zone, const std::string& rack)
    {
        proto::Record record;
        auto& body = *record.mutable_instance_observed();
        body.set_instance(instance);
        body.set_address("127.0.0.1:9000");
        body.set_zone(zone);
        body.set_rack(rack);
        body.set_pool(pool);
        body.mutable_shape()->set_slots(8);
        add(record);
    }

    // Two zones, three pools; each instance's rack is that of its pool and zone.
    void fillFleet()
    {
        join("e1", "za");
        join("e2", "zb");
        configure("[zone za]\nregion = r\n[zone zb]\nregion = r\n[pool reports]\nminimum_available = 3\n"
                  "[pool archive]\nminimum_available = 1\n[pool accounts]\nminimum_available = 1\nspare = yes\n");
        for (const auto& pool : { "reports", "archive", "accounts" }) {
            for (int i = 1; i <= 4; ++i) {
                auto zone = i <= 2 ? "za" : "zb";
                observe(fmt::format("{}-{}", pool, i), pool, zone, fmt::format("{}-{}", zone, pool));
            }
        }
    }

    // Lets every gate entry acknowledge and grants all moves.
    void finishMoves()
    {
        auto moves = fold.state().moves;
        for (const auto& [id, move] : moves) {
            if (move.status != MoveStatus::Closing)
                continue;
            for (const auto& gate : move.pendingGates)
                acknowledge(id, gate);
            proto::Record record;
            record.mutable_move_granted()->set_move_id(id);
            add(record);
        }
    }

    // Starts a wave over the accounts and closes one of its instances.
    void startClosedMaintenance(const std::string& instance, const std::string& wave)
    {
        proto::Record record;
        record.mutable_wave_started()->set_wave_id(wave);
        record.mutable_wave_started()->set_pool("accounts");
        add(record);
        record.mutable_maintenance_started()->set_wave_id(wave);
        record.mutable_maintenance_started()->set_instance(instance);
        record.mutable_maintenance_started()->set_expected_epoch(fold.state().instances.at(instance).epoch);
        add(record);
        for (const auto& gate : std::set<std::string>(fold.state().waves.at(wave).active.at(instance).pendingGates))
            acknowledge(fmt::format("{}/{}", wave, instance), gate);
    }

    uint32_t available(const std::string& pool) const { return availableInPool(fold.state(), pool); }

private:
    void acknowledge(const std::string& operation, const std::string& gate)
    {
        proto::Record record;
        record.mutable_id()->set_writer(gate);
        record.mutable_id()->set_boot(1);
        record.mutable_id()->set_sequence(gate == "e1" ? ++sequence : ++otherSequence_);
        record.set_written_ms(++nowMilliseconds);
        record.set_actor("entry:" + gate);
        record.mutable_close_acknowledged()->set_operation_id(operation);
        record.mutable_close_acknowledged()->set_entry(gate);
        record.mutable_close_acknowledged()->set_boot(1);
        proto::RecordBatch batch;
        *batch.add_records() = record;
        CPPUNIT_ASSERT_EQUAL(
            ResultCode::Ok, fold.apply(fold.offset() + 1, batch.SerializeAsString()).value().front().verdict.code);
    }

    uint64_t otherSequence_ = 1;
};

// Entry whose log can be down, or whose answers can get lost after the records were folded.
class FoldAccess : public EntryAccess {
public:
    explicit FoldAccess(SharedLog& log)
        : log_(log)
    {
    }

    void readState(const std::function<void(const FleetState&, Offset)>& function) override
    {
        function(log_.fold.state(), log_.fold.offset());
    }

    std::vector<FoldedRecord> submit(std::vector<proto::Record> records, Milliseconds) override
    {
        ++submissions;
        if (down)
            return {};
        auto folded = log_.append(std::move(records));
        return losesAnswers ? std::vector<FoldedRecord>() : folded;
    }

    void fillStatus(proto::StatusReply& reply) override
    {
        reply.set_entry("e1");
        reply.set_zone("za");
        reply.set_ready(ready);
        reply.set_platform_reachable(!down);
    }

    std::vector<std::string> localFacts(const std::string& subject) override
    {
        return subject == "pool archive" ? std::vector<std::string> { "3 requests refused as late" }
                                         : std::vector<std::string>();
    }

    bool down = false;
    bool losesAnswers = false;
    bool ready = true;
    int submissions = 0;

private:
    SharedLog& log_;
};

inline proto::Change changeBy(const std::string& operatorName, const std::string& id)
{
    proto::Change change;
    change.set_change_id(id);
    change.set_operator_name(operatorName);
    change.set_reason("test");
    return change;
}

} // namespace shallotdrift
