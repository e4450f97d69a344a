#include "FleetModel.h"

#include <algorithm>

namespace shallotdrift::internal {

namespace {

    // Applies the rules of moves, budgets and waves to a state without a log.
    class DirectFleet final : public FleetModel {
    public:
        explicit DirectFleet(const Trace& trace)
        {
            state_.configuration = trace.configuration;
            for (const auto& given : trace.instances) {
                auto& instance = state_.instances[given.id];
                instance.id = given.id;
                instance.zone = given.zone;
                instance.rack = given.rack;
                instance.homePool = given.pool;
                instance.pool = given.pool;
                instance.shape.slots = given.slots;
            }
        }

        const FleetState& state() const override { return state_; }

        ResultCode proposeMove(const std::string& moveId, const PlannedMove& planned, Instant) override
        {
            auto code = close(planned.instance, planned.epoch, moveId);
            if (code != ResultCode::Ok)
                return code;
            const auto& instance = state_.instances.at(planned.instance);
            auto& move = state_.moves[moveId];
            move.id = moveId;
            move.instance = planned.instance;
            move.fromPool = instance.pool;
            move.toPool = planned.toPool;
            move.epoch = planned.epoch;
            return ResultCode::Ok;
        }

        ResultCode startWave(const std::string& waveId, const TraceEvent& event, Instant) override
        {
            auto& wave = state_.waves[waveId];
            wave.id = waveId;
            wave.zone = event.zone;
            wave.pool = event.pool;
            for (const auto& [id, instance] : state_.instances) {
                if ((event.zone.empty() || event.zone == instance.zone)
                    && (event.pool.empty() || event.pool == instance.pool))
                    wave.pending.insert(id);
            }
            return ResultCode::Ok;
        }

        std::vector<PlannedMaintenance> planMaintenance() const override
        {
            std::vector<PlannedMaintenance> planned;
            for (const auto& [id, wave] : state_.waves) {
                for (const auto& name : wave.pending) {
                    const auto& instance = state_.instances.at(name);
                    if (judge(instance, instance.epoch) == ResultCode::Ok)
                        planned.push_back({ id, name, instance.epoch, "wave" });
                }
            }
            return planned;
        }

        ResultCode startMaintenance(const PlannedMaintenance& planned, Instant) override
        {
            auto code = close(planned.instance, planned.epoch, planned.wave + "/" + planned.instance);
            if (code != ResultCode::Ok)
                return code;
            auto& wave = state_.waves[planned.wave];
            wave.pending.erase(planned.instance);
            wave.active[planned.instance].instance = planned.instance;
            return ResultCode::Ok;
        }

        void acknowledgeClose(const std::string& operationId, Instant) override
        {
            for (auto& [id, instance] : state_.instances) {
                if (instance.operationId == operationId)
                    instance.status = InstanceStatus::Closed;
            }
            auto move = state_.moves.find(operationId);
            if (move != state_.moves.end())
                move->second.status = MoveStatus::Closed;
        }

        void grantMove(const std::string& moveId, Instant) override
        {
            auto& move = state_.moves.at(moveId);
            auto& instance = state_.instances.at(move.instance);
            move.status = MoveStatus::Granted;
            instance.pool = move.toPool;
            reopen(instance);
        }

        void abortMove(const std::string& moveId, Instant) override
        {
            auto& move = state_.moves.at(moveId);
            move.status = MoveStatus::Aborted;
            reopen(state_.instances.at(move.instance));
        }

        void finishMaintenance(
            const std::string& waveId, const std::string& name, bool completed, Instant) override
        {
            auto& wave = state_.waves.at(waveId);
            wave.active.erase(name);
            (completed ? wave.done : wave.givenUp).insert(name);
            reopen(state_.instances.at(name));
            if (wave.pending.empty() && wave.active.empty())
                wave.status = WaveStatus::Done;
        }

        void loseInstance(const std::string& name, Instant) override { state_.instances.at(name).lost = true; }

        void observeInstance(const std::string& name, Instant) override
        {
            auto& instance = state_.instances.at(name);
            if (!instance.lost)
                return;
            instance.lost = false;
            ++instance.epoch;
        }

    private:
        static void reopen(Instance& instance)
        {
            instance.status = InstanceStatus::Active;
            instance.operationId.clear();
            ++instance.epoch;
        }

        ResultCode judge(const Instance& instance, uint64_t epoch) const
        {
            if (instance.epoch != epoch)
                return ResultCode::StaleEpoch;
            if (!instance.available())
                return ResultCode::WrongState;
            uint32_t available = 0;
            std::set<std::string> racks;
            std::string busyRack;
            for (const auto& [id, other] : state_.instances) {
                if (other.pool != instance.pool)
                    continue;
                racks.insert(other.rack);
                available += other.available() ? 1 : 0;
                if (!other.lost && other.status != InstanceStatus::Active)
                    busyRack = other.rack;
            }
            if (available < 1 + state_.configuration.pools.at(instance.pool).minimumAvailable)
                return ResultCode::BudgetExceeded;
            if (racks.size() > 1 && !busyRack.empty() && busyRack != instance.rack)
                return ResultCode::FailureDomainBusy;
            return ResultCode::Ok;
        }

        ResultCode close(const std::string& name, uint64_t epoch, const std::string& operationId)
        {
            auto& instance = state_.instances.at(name);
            auto code = judge(instance, epoch);
            if (code == ResultCode::Ok) {
                instance.status = InstanceStatus::Closing;
                instance.operationId = operationId;
            }
            return code;
        }

        FleetState state_;
    };

} // namespace

std::unique_ptr<FleetModel> makeFleetModel(const Trace& trace) { return std::make_unique<DirectFleet>(trace); }

} // namespace shallotdrift::internal
