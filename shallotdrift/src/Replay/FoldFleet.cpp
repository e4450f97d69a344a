#include "FleetModel.h"

#include "../Fold/Fold.h"

#include <map>
#include <stdexcept>
#include <utility>

namespace shallotdrift::internal {

namespace {

    // Writes each proposal as a record and folds it at once; the delays of the log are the driver's.
    class FoldFleet final : public FleetModel {
    public:
        explicit FoldFleet(const Trace& trace)
            : trace_(trace)
        {
            std::vector<std::string> zones;
            for (const auto& [name, zone] : trace.configuration.zones)
                zones.push_back(name);
            for (uint32_t i = 0; i < trace.entries; ++i)
                members_.push_back({ "entry-" + std::to_string(i), zones[i % zones.size()], 0 });
            for (const auto& zone : zones)
                joinEntries(zone, Instant {});
            proto::Record record;
            auto& proposed = *record.mutable_configuration_proposed();
            proposed.set_ini(trace.configurationIni);
            proposed.set_author("trace");
            proposed.set_reviewer("replay");
            require(fold(std::move(record), Instant {}));
            for (const auto& instance : trace.instances)
                require(observe(instance, Instant {}));
        }

        const FleetState& state() const override { return fold_.state(); }

        ResultCode proposeMove(const std::string& moveId, const PlannedMove& planned, Instant now) override
        {
            proto::Record record;
            auto& proposed = *record.mutable_move_proposed();
            proposed.set_move_id(moveId);
            proposed.set_instance(planned.instance);
            proposed.set_expected_epoch(planned.epoch);
            proposed.set_to_pool(planned.toPool);
            return fold(std::move(record), now);
        }

        ResultCode startWave(const std::string& waveId, const TraceEvent& event, Instant now) override
        {
            proto::Record record;
            auto& started = *record.mutable_wave_started();
            started.set_wave_id(waveId);
            started.set_zone(event.zone);
            started.set_pool(event.pool);
            return fold(std::move(record), now);
        }

        std::vector<PlannedMaintenance> planMaintenance() const override
        {
            return shallotdrift::planMaintenance(state());
        }

        ResultCode startMaintenance(const PlannedMaintenance& planned, Instant now) override
        {
            proto::Record record;
            auto& started = *record.mutable_maintenance_started();
            started.set_wave_id(planned.wave);
            started.set_instance(planned.instance);
            started.set_expected_epoch(planned.epoch);
            return fold(std::move(record), now);
        }

        void acknowledgeClose(const std::string& operationId, Instant now) override
        {
            for (const auto& [id, entry] : std::map<std::string, EntryMember>(state().entries)) {
                proto::Record record;
                auto& acknowledged = *record.mutable_close_acknowledged();
                acknowledged.set_operation_id(operationId);
                acknowledged.set_entry(id);
                acknowledged.set_boot(entry.boot);
                fold(std::move(record), now, id, entry.boot);
            }
        }

        void grantMove(const std::string& moveId, Instant now) override
        {
            proto::Record record;
            record.mutable_move_granted()->set_move_id(moveId);
            fold(std::move(record), now);
        }

        void abortMove(const std::string& moveId, Instant now) override
        {
            proto::Record record;
            record.mutable_move_aborted()->set_move_id(moveId);
            fold(std::move(record), now);
        }

        void finishMaintenance(
            const std::string& waveId, const std::string& instance, bool completed, Instant now) override
        {
            proto::Record record;
            auto& done = *record.mutable_maintenance_done();
            done.set_wave_id(waveId);
            done.set_instance(instance);
            done.set_completed(completed);
            fold(std::move(record), now);
        }

        void loseInstance(const std::string& instance, Instant now) override
        {
            auto known = state().instances.find(instance);
            if (known == state().instances.end())
                return;
            proto::Record record;
            auto& lost = *record.mutable_instance_lost();
            lost.set_instance(instance);
            lost.set_expected_epoch(known->second.epoch);
            fold(std::move(record), now);
        }

        void observeInstance(const std::string& instance, Instant now) override
        {
            for (const auto& given : trace_.instances) {
                if (given.id == instance)
                    observe(given, now);
            }
        }

        void removeEntries(const std::string& zone, Instant now) override
        {
            for (const auto& member : members_) {
                if (member.zone != zone || !state().entries.count(member.id))
                    continue;
                proto::Record record;
                auto& removed = *record.mutable_entry_removed();
                removed.set_entry(member.id);
                removed.set_boot(member.boot);
                removed.set_evidence(proto::EntryRemoved::GONE_FROM_LIST);
                fold(std::move(record), now);
            }
        }

        void joinEntries(const std::string& zone, Instant now) override
        {
            for (auto& member : members_) {
                if (member.zone != zone)
                    continue;
                ++member.boot;
                proto::Record record;
                auto& joined = *record.mutable_entry_joined();
                joined.set_entry(member.id);
                joined.set_boot(member.boot);
                joined.set_zone(zone);
                fold(std::move(record), now, member.id, member.boot);
            }
        }

    private:
        struct Member {
            std::string id;
            std::string zone;
            uint64_t boot = 0;
        };

        static void require(ResultCode code)
        {
            if (code != ResultCode::Ok)
                throw std::logic_error("the fold refused the fleet of a checked trace");
        }

        ResultCode observe(const TraceInstance& given, Instant now)
        {
            proto::Record record;
            auto& observed = *record.mutable_instance_observed();
            observed.set_instance(given.id);
            observed.set_address("10.0.0.1:8080");
            observed.set_zone(given.zone);
            observed.set_rack(given.rack);
            observed.set_pool(given.pool);
            observed.mutable_shape()->set_slots(given.slots);
            return fold(std::move(record), now);
        }

        ResultCode fold(proto::Record record, Instant now, const std::string& writer = "replay", uint64_t boot = 1)
        {
            auto& id = *record.mutable_id();
            id.set_writer(writer);
            id.set_boot(boot);
            id.set_sequence(++sequences_[{ writer, boot }]);
            record.set_written_ms(
                std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count() + firstMilliseconds);
            record.set_actor("entry:" + writer);
            proto::RecordBatch batch;
            *batch.add_records() = std::move(record);
            return handleError(
                [&]() -> Result<ResultCode> {
                    BOOST_LEAF_AUTO(folded, fold_.apply(fold_.offset() + 1, batch.SerializeAsString()));
                    return folded.front().verdict.code;
                },
                [](const Error& error) { return error.code; });
        }

        // Any fixed wall time does.
        static constexpr int64_t firstMilliseconds = 1'700'000'000'000;

        const Trace& trace_;
        Fold fold_;
        std::vector<Member> members_;
        std::map<std::pair<std::string, uint64_t>, uint64_t> sequences_;
    };

} // namespace

std::unique_ptr<FleetModel> makeFleetModel(const Trace& trace) { return std::make_unique<FoldFleet>(trace); }

} // namespace shallotdrift::internal
