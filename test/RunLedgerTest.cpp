#include "Section.h"

#include "shallotdrift/Jobs.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <random>

namespace shallotdrift {

namespace {

    constexpr char serviceName[] = "reports";
    constexpr char queueName[] = "render";

    struct TaskOnWorker {
        uint32_t runNumber = 0;
        Instant endsAt {};
    };

    // A worker of the published protocol: a lease on a clock of its own, a fencing token, and numbered ends of runs.
    class ProtocolWorker {
    public:
        ProtocolWorker(std::string id, double clockRate)
            : id_(std::move(id))
            , clockRate_(clockRate)
        {
        }

        const std::string& id() const { return id_; }
        int64_t bootTime() const { return bootTime_; }
        bool up(Instant now) const { return now >= upFrom_; }
        const std::map<TaskId, TaskOnWorker>& runs() const { return runs_; }

        // Loses all state, and is back under the same id after the time given.
        void restart(Instant now, Milliseconds downTime)
        {
            upFrom_ = now + downTime;
            bootTime_ += 1000;
            token_ = 0;
            leaseEnd_ = Milliseconds { 0 };
            runs_.clear();
            ends_.clear();
            endCount_ = 0;
            highestEnded_.clear();
        }

        Milliseconds clock(Instant now) const
        {
            return Milliseconds { static_cast<int64_t>(
                clockRate_ * std::chrono::duration<double, std::milli>(now - upFrom_).count()) };
        }

        void poll(Instant now)
        {
            bool expired = clock(now) >= leaseEnd_;
            for (auto run = runs_.begin(); run != runs_.end();) {
                if (!expired && now < run->second.endsAt) {
                    ++run;
                    continue;
                }
                auto outcome = expired ? RunOutcome::LeaseExpired : RunOutcome::Completed;
                run = end(run, outcome);
            }
        }

        StartRefusal start(uint64_t token, Milliseconds leaseEnd, const TaskId& task, uint32_t run, Instant now)
        {
            if (!accepts(token))
                return StartRefusal::Fenced;
            if (leaseEnd <= clock(now))
                return StartRefusal::LeaseExpired;
            extendLease(leaseEnd, now);
            if (auto found = runs_.find(task); found != runs_.end() && found->second.runNumber == run)
                return StartRefusal::None;
            if (run <= highestEnded_[task] || runs_.count(task) != 0)
                return StartRefusal::StaleRun;
            runs_[task] = { run, now + workDuration };
            return StartRefusal::None;
        }

        bool stop(uint64_t token, const TaskId& task, uint32_t run)
        {
            if (!accepts(token))
                return false;
            highestEnded_[task] = std::max(highestEnded_[task], run);
            if (auto found = runs_.find(task); found != runs_.end() && found->second.runNumber <= run)
                end(found, RunOutcome::Stopped);
            return true;
        }

        // The report; nullopt if the token is too low.
        std::optional<WorkerReport> renewLease(
            uint64_t token, std::optional<Milliseconds> leaseEnd, uint64_t acknowledgedEnd, Instant now)
        {
            if (!accepts(token))
                return std::nullopt;
            if (leaseEnd)
                extendLease(*leaseEnd, now);
            ends_.erase(std::remove_if(ends_.begin(), ends_.end(),
                            [&](const EndedRun& ended) { return ended.sequenceNumber <= acknowledgedEnd; }),
                ends_.end());
            WorkerReport report;
            report.clock = clock(now);
            report.bootTime = bootTime_;
            for (const auto& [task, run] : runs_)
                report.running.push_back({ task, run.runNumber, {}, 50, 0 });
            report.ended = ends_;
            return report;
        }

    private:
        static constexpr Milliseconds workDuration { 20000 };

        bool accepts(uint64_t token)
        {
            if (token < token_)
                return false;
            token_ = token;
            return true;
        }

        void extendLease(Milliseconds end, Instant now)
        {
            leaseEnd_ = std::max(leaseEnd_, std::min(end, clock(now) + LeaseOptions {}.maximumDuration));
        }

        std::map<TaskId, TaskOnWorker>::iterator end(std::map<TaskId, TaskOnWorker>::iterator run, RunOutcome outcome)
        {
            highestEnded_[run->first] = std::max(highestEnded_[run->first], run->second.runNumber);
            ends_.push_back({ ++endCount_, run->first, run->second.runNumber, outcome, {} });
            return runs_.erase(run);
        }

        std::string id_;
        double clockRate_;
        Instant upFrom_ {};
        int64_t bootTime_ = 1000;
        uint64_t token_ = 0;
        Milliseconds leaseEnd_ { 0 };
        std::map<TaskId, TaskOnWorker> runs_;
        std::vector<EndedRun> ends_;
        uint64_t endCount_ = 0;
        std::map<TaskId, uint32_t> highestEnded_;
    };

    // Which incarnation of a worker carries out a call, and how late.
    struct Delivery {
        bool bound = false; // to the incarnation that the call was meant for; else to any one that is up
        Milliseconds latest { 0 };
    };

    // Owners of a service, one after another, and workers that restart under their ids and are cut off. Calls are lost,
    // delayed or carried out late; owners are killed, or replaced while they go on. All by a seed.
    class OwnersAndWorkers {
    public:
        OwnersAndWorkers(uint64_t seed, Delivery delivery)
            : random_(seed)
            , delivery_(delivery)
        {
            for (const char* id : { "w1", "w2", "w3" })
                workers_.emplace_back(id, 1 - 0.02 * chance());
            takeOver();
            for (int i = 0; i < 6; ++i) {
                JobSpec spec;
                StepSpec step;
                step.taskResources = { 1000, 1000, 0 };
                spec.steps = { step };
                owner().scheduler.add(
                    Job(fmt::format("{:016x}", i), queueName, serviceName, std::move(spec), now_.wall, 4));
            }
        }

        void run(Milliseconds duration)
        {
            for (auto end = now_.steady + duration; now_.steady < end;)
                step();
        }

        size_t startsSent = 0;
        size_t restarts = 0;
        size_t takeovers = 0;

    private:
        static constexpr Milliseconds stepTime { 50 };
        static constexpr Milliseconds renewalInterval { 500 };
        static constexpr Milliseconds callTimeout { 700 };
        static constexpr uint64_t stagesPerOwner = 1024;

        struct Owner {
            Owner(uint64_t number, const Now& now)
                : generation(number)
                , scheduler(serviceName, ServiceSchedulerOptions {}, now.steady)
                , confirmedAt(now.steady)
            {
            }

            uint64_t generation;
            ServiceScheduler scheduler;
            Instant confirmedAt;
            std::map<std::string, Instant> renewedAt {};
            bool alive = true;
        };

        struct Call {
            Instant dueAt;
            std::function<void()> action;
        };

        double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
        Milliseconds upTo(Milliseconds limit)
        {
            return Milliseconds { static_cast<int64_t>(chance() * static_cast<double>(limit.count())) };
        }
        Owner& owner() { return *owners_.back(); }
        void after(Milliseconds time, std::function<void()> action)
        {
            calls_.push_back({ now_.steady + time, std::move(action) });
        }

        void takeOver()
        {
            auto next = std::make_shared<Owner>(owners_.size() + 1, now_);
            auto& scheduler = next->scheduler;
            QueueConfiguration queue;
            queue.name = queueName;
            queue.service = serviceName;
            scheduler.setQueues({ { queueName, queue } });
            scheduler.ledger().restore(store_[scheduler.ledger().key()], {}, now_.steady);
            for (const auto& [key, value] : store_) {
                if (value.empty() || parseJobKey(key).statePart || key.find('/') != std::string::npos)
                    continue;
                auto job = Job::decodeSpec(key, value);
                CPPUNIT_ASSERT(job && job->decodeState({ { 0, store_.at(stateKey(key)) } }));
                scheduler.restore(std::move(*job));
            }
            scheduler.finishRestore(now_);
            for (const auto& worker : workers_) {
                WorkerInfo info;
                info.id = worker.id();
                info.address = "10.0.0.1:80";
                info.service = serviceName;
                info.capacity = { 16000, 64000, 0 };
                scheduler.updateWorker(info, now_.steady);
            }
            owners_.push_back(std::move(next));
            ++takeovers;
        }

        enum class Outcome : uint8_t { Answered, NotAnswered, NotSent };

        // Sends a call to the incarnation that has started at the time given, or to any one if it is 0. The call is
        // lost, delayed, or carried out late without a response; a response may be lost, too.
        void send(const Owner& sender, ProtocolWorker& worker, int64_t bootTime, const std::function<void()>& execute,
            const std::function<void(Outcome)>& respond)
        {
            auto reaches = [this, &worker, bootTime] {
                return worker.up(now_.steady) && (!delivery_.bound || bootTime == 0 || bootTime == worker.bootTime());
            };
            auto cutUntil = cutUntil_[worker.id()];
            if (const auto& zoneCut = zoneCuts_[worker.id()]; sender.generation >= zoneCut.firstOwner)
                cutUntil = std::max(cutUntil, zoneCut.until);
            bool cut = cutUntil > now_.steady;
            bool answered = !cut && chance() < 0.9 && worker.up(now_.steady + Milliseconds { 1 });
            if (answered) {
                after(Milliseconds { 1 }, [reaches, execute, respond] {
                    if (reaches())
                        execute();
                    respond(reaches() ? Outcome::Answered : Outcome::NotSent);
                });
                return;
            }
            if (chance() < 0.7 && (!cut || cutUntil - now_.steady > Milliseconds { 8000 }))
                after(upTo(delivery_.latest), [reaches, execute] {
                    if (reaches())
                        execute();
                });
            after(callTimeout, [respond] { respond(Outcome::NotAnswered); });
        }

        void act(const std::shared_ptr<Owner>& self)
        {
            auto& scheduler = self->scheduler;
            bool current = self == owners_.back();
            if (current && !storeDown_)
                self->confirmedAt = now_.steady;
            bool confirmed = now_.steady - self->confirmedAt < LeaseOptions {}.previousOwnerGrace;
            scheduler.expireLeases(now_);
            for (auto& worker : workers_)
                renew(self, worker, confirmed);
            for (const auto& order : scheduler.stopsDue(now_))
                sendStop(self, order);
            if (!current || storeDown_)
                return; // the store rejects or does not answer the append
            auto orders = scheduler.plan(now_);
            for (const auto& record : scheduler.takeChangedRecords(now_))
                store_[record.key] = record.value;
            if (auto violation = scheduler.ledger().findViolation(scheduler.workers(), now_.steady))
                CPPUNIT_FAIL(*violation);
            scheduler.onRecordsStored();
            for (const auto& order : orders)
                sendStart(self, order);
        }

        ProtocolWorker& find(const std::string& id)
        {
            return *std::find_if(
                workers_.begin(), workers_.end(), [&](const auto& worker) { return worker.id() == id; });
        }

        static uint64_t token(const Owner& owner, uint32_t stage) { return owner.generation * stagesPerOwner + stage; }

        void renew(const std::shared_ptr<Owner>& self, ProtocolWorker& worker, bool confirmed)
        {
            auto known = self->scheduler.workers().find(worker.id());
            if (known == self->scheduler.workers().end() || now_.steady < self->renewedAt[worker.id()])
                return;
            self->renewedAt[worker.id()] = now_.steady + renewalInterval;
            auto& lease = known->second.lease;
            bool incarnationKnown = known->second.reported && !known->second.unresponsive && lease.hasClockSample();
            std::optional<Milliseconds> leaseEnd;
            if (known->second.mayExtendLease() && confirmed)
                leaseEnd = lease.extend(now_.steady);
            SentCall call { now_.steady, lease.stage() };
            auto report = std::make_shared<std::optional<WorkerReport>>();
            send(
                *self, worker, incarnationKnown ? known->second.info.bootTime : 0,
                [this, self, &worker, report, leaseEnd, call] {
                    *report = worker.renewLease(token(*self, call.stage), leaseEnd, 0, now_.steady);
                },
                [this, self, &worker, report, call](Outcome outcome) {
                    if (!self->alive)
                        return;
                    if (outcome == Outcome::Answered && *report)
                        self->scheduler.onReport(worker.id(), **report, call, now_);
                    else
                        self->scheduler.markUnresponsive(worker.id());
                });
        }

        void sendStart(const std::shared_ptr<Owner>& self, const StartOrder& order)
        {
            if (!self->scheduler.beginStart(order, now_))
                return;
            ++startsSent;
            auto& worker = find(order.worker);
            auto& known = self->scheduler.workers().at(order.worker);
            auto& lease = known.lease;
            SentCall call { now_.steady, lease.stage() };
            auto leaseEnd = lease.extend(now_.steady);
            auto result = std::make_shared<std::pair<StartRefusal, Milliseconds>>();
            send(
                *self, worker, known.info.bootTime,
                [this, self, &worker, order, result, leaseEnd, call] {
                    *result
                        = { worker.start(token(*self, call.stage), leaseEnd, order.task, order.runNumber, now_.steady),
                              worker.clock(now_.steady) };
                },
                [this, self, order, result, call](Outcome outcome) {
                    if (!self->alive)
                        return;
                    if (outcome == Outcome::NotSent) {
                        self->scheduler.onStartNotSent(order, now_);
                        return;
                    }
                    if (outcome == Outcome::NotAnswered) {
                        self->scheduler.onNoStartResponse(order, now_);
                        return;
                    }
                    self->scheduler.onClockReading(order.worker, result->second, call, now_);
                    self->scheduler.onStartResponse(order, result->first, now_);
                });
        }

        void sendStop(const std::shared_ptr<Owner>& self, const StopOrder& order)
        {
            auto& worker = find(order.worker);
            auto stage = self->scheduler.workers().at(order.worker).lease.stage();
            auto stopped = std::make_shared<bool>(false);
            send(
                *self, worker, 0,
                [self, &worker, order, stopped, stage] {
                    *stopped = worker.stop(token(*self, stage), order.task, order.runNumber);
                },
                [this, self, order, stopped](Outcome outcome) {
                    if (self->alive && outcome == Outcome::Answered && *stopped)
                        self->scheduler.onStopResponse(order, now_);
                });
        }

        // Half of the restarts are followed by a cut of the worker, and half by a change of the owner. Both also come
        // alone.
        void disturb()
        {
            if (chance() < 0.004)
                changeOwner();
            for (auto& worker : workers_) {
                auto& cutUntil = cutUntil_[worker.id()];
                if (chance() < 0.002)
                    cutUntil = now_.steady + upTo(Milliseconds { 9000 });
                if (chance() > 0.015 || now_.steady - restartedAt_[worker.id()] < Milliseconds { 4000 })
                    continue;
                worker.restart(now_.steady, upTo(Milliseconds { 800 }));
                restartedAt_[worker.id()] = now_.steady;
                ++restarts;
                if (chance() < 0.5)
                    after(upTo(Milliseconds { 2500 }),
                        [this, &cutUntil] { cutUntil = now_.steady + Milliseconds { 14000 }; });
                if (chance() < 0.5)
                    after(upTo(Milliseconds { 2500 }), [this] { changeOwner(); });
            }
        }

        // Kills the owner, so that the next one takes over when its membership has expired, or cuts it off from the
        // store, which may assign the partition to the next one at any time.
        void changeOwner()
        {
            if (storeDown_)
                return;
            bool killed = chance() < 0.3;
            owner().alive = !killed;
            storeDown_ = true;
            if (!killed && chance() < 0.5) // the owner and a worker are in the same zone, which is cut off
                zoneCuts_[workers_.front().id()] = { owner().generation + 1, now_.steady + Milliseconds { 14000 } };
            after(killed ? Milliseconds { 2000 } : upTo(Milliseconds { 500 }), [this] {
                storeDown_ = false;
                takeOver();
            });
        }

        void step()
        {
            now_.steady += stepTime;
            now_.wall += stepTime;
            disturb();
            for (size_t pending = calls_.size(); pending > 0; --pending) {
                auto call = std::move(calls_.front());
                calls_.pop_front();
                if (call.dueAt <= now_.steady)
                    call.action();
                else
                    calls_.push_back(std::move(call));
            }
            for (auto& worker : workers_)
                worker.poll(now_.steady);
            auto owners = owners_;
            for (const auto& self : owners)
                if (self->alive && now_.steady - self->confirmedAt < Milliseconds { 8000 })
                    act(self);
            std::map<TaskId, std::string> running;
            for (const auto& worker : workers_)
                if (worker.up(now_.steady))
                    for (const auto& [task, run] : worker.runs()) {
                        auto [other, first] = running.emplace(task, worker.id());
                        if (!first)
                            CPPUNIT_FAIL(fmt::format("task of job {} runs on {} and {}, run {}", task.job,
                                other->second, worker.id(), run.runNumber));
                    }
        }

        std::mt19937_64 random_;
        Delivery delivery_;
        Now now_ { Instant { Milliseconds { 1000000 } }, wallTimeFromUnix(Milliseconds { 1796384956000 }) };
        std::deque<ProtocolWorker> workers_;
        std::map<std::string, Instant> cutUntil_;
        struct ZoneCut {
            uint64_t firstOwner = 0; // owners from this generation on are outside of the zone
            Instant until {};
        };
        std::map<std::string, ZoneCut> zoneCuts_;
        std::map<std::string, Instant> restartedAt_;
        std::vector<std::shared_ptr<Owner>> owners_;
        std::map<std::string, std::string> store_;
        std::deque<Call> calls_;
        bool storeDown_ = false;
    };

} // namespace

class RunLedgerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunLedgerTest);
    CPPUNIT_TEST(noTaskRunsTwiceThroughRestartsCutsAndTakeovers);
    CPPUNIT_TEST(noTaskRunsTwiceWhenOrdersAreCarriedOutLate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two simultaneous runs of a task on workers that start again under their ids and are cut off.
    void noTaskRunsTwiceThroughRestartsCutsAndTakeovers() { play({ false, LeaseOptions {}.lateCallLimit }); }

    // Guards against two simultaneous runs of a task: a worker carried an order out later than its owner allowed for.
    void noTaskRunsTwiceWhenOrdersAreCarriedOutLate()
    {
        static constexpr Milliseconds latestOrder { 12000 }; // of the disturbances of the users' platform
        play({ true, latestOrder });
    }

private:
    static void play(Delivery delivery)
    {
        static constexpr uint64_t seeds = 1500;
        size_t starts = 0;
        size_t restarts = 0;
        size_t takeovers = 0;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            Section section(fmt::format("seed {}", seed));
            OwnersAndWorkers world(seed, delivery);
            world.run(Milliseconds { 60000 });
            starts += world.startsSent;
            restarts += world.restarts;
            takeovers += world.takeovers;
        }
        CPPUNIT_ASSERT(starts > 6 * seeds);
        CPPUNIT_ASSERT(restarts > seeds);
        CPPUNIT_ASSERT(takeovers > seeds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunLedgerTest);

} // namespace shallotdrift
