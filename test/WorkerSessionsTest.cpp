#include "FreeAddress.h"
#include "Section.h"

#include "shallotdrift/Http.h"
#include "shallotdrift/src/Node/WorkerSessions.h"
#include "standin/WorkerStandIn.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace shallotdrift {

namespace {

    constexpr char serviceName[] = "reports";
    constexpr char workerId[] = "w1";

    // An owner's sessions with one worker, which can start again under its id. Nothing is stored unless the test does
    // so.
    struct SessionsHarness {
        SessionsHarness()
        {
            address = freeAddress(io);
            listen();
            WorkerInfo info;
            info.id = workerId;
            info.address = address;
            info.service = serviceName;
            info.capacity = { 16000, 64000, 0 };
            scheduler.updateWorker(info, BootClock::now());
        }

        void listen()
        {
            server = std::make_unique<HttpServer>(io, deadlines, HttpServerOptions { address },
                [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                    worker->handle(request, std::move(respond));
                });
            handleError([&] { return server->start(); }, [](const Error& error) { CPPUNIT_FAIL(error.message); });
        }

        // Replaces the worker by a new incarnation, which listens at the same address. The owner has heard of nothing
        // when this returns.
        void restartWorker()
        {
            auto bootTime = worker->bootTime();
            server.reset();
            while (unixMilliseconds(wallNow()) <= bootTime)
                std::this_thread::sleep_for(Milliseconds { 1 });
            worker = std::make_unique<standin::WorkerStandIn>(workerId, 16000, statistics);
            listen();
        }

        // Runs the event loop until the condition holds.
        template <typename Condition> void runUntil(Condition&& condition)
        {
            auto end = BootClock::now() + Milliseconds { 10000 };
            while (!condition()) {
                CPPUNIT_ASSERT(BootClock::now() < end);
                io.run_for(Milliseconds { 5 });
                worker->poll(BootClock::now());
                sessions.sync();
            }
        }

        void startJob(const std::string& id, uint32_t tasks)
        {
            JobSpec spec;
            spec.payload = "work=50";
            StepSpec step;
            step.count = tasks;
            step.taskResources = { 1000, 100, 0 };
            spec.steps = { step };
            scheduler.add(Job(id, "render", serviceName, std::move(spec), wallNow(), 2));
            sendOrders();
        }

        void sendOrders()
        {
            for (const auto& order : scheduler.stopsDue(internal::currentTime()))
                sessions.send(order);
            for (const auto& order : scheduler.plan(internal::currentTime()))
                sessions.send(order);
        }

        bool completed(const std::string& id) const { return scheduler.statusOf(id) == JobStatus::Completed; }

        asio::io_context io { 1 };
        std::string address;
        DeadlineQueue deadlines { io };
        HttpClient client { io, deadlines, HttpClientOptions {} };
        internal::StoreClient store { client, {} };
        NodeSettings settings;
        internal::NodeContext context { io, deadlines, settings, client, client, client, store };
        standin::RunStatistics statistics;
        std::unique_ptr<standin::WorkerStandIn> worker
            = std::make_unique<standin::WorkerStandIn>(workerId, 16000, statistics);
        std::unique_ptr<HttpServer> server;
        ServiceScheduler scheduler { serviceName, ServiceSchedulerOptions {}, BootClock::now() };
        internal::WorkerSessions sessions { context, scheduler, 7, { [] {}, [] {}, [] { return true; } } };
    };

} // namespace

class WorkerSessionsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerSessionsTest);
    CPPUNIT_TEST(acknowledgementsAreForOneIncarnation);
    CPPUNIT_TEST(callsForAFormerIncarnationAreRejected);
    CPPUNIT_TEST(startsReachOnlyTheIncarnationThatTheOwnerKnows);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against running completed tasks again: the ends of a worker's former incarnation were stored only after it
    // had started again, and their acknowledgement made the new one forget ends that were not stored.
    void acknowledgementsAreForOneIncarnation()
    {
        SessionsHarness harness;
        harness.runUntil([&] { return harness.scheduler.workers().at(workerId).reported; });
        harness.startJob("000000000000000a", 3);
        harness.runUntil([&] { return harness.completed("000000000000000a"); });
        auto beforeRestart = harness.sessions.appliedEnds();
        CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, beforeRestart.at(workerId).number);
        auto bootTime = harness.worker->bootTime();
        harness.runUntil([&] { return unixMilliseconds(wallNow()) > bootTime; });
        harness.worker = std::make_unique<standin::WorkerStandIn>(workerId, 16000, harness.statistics);
        harness.runUntil(
            [&] { return harness.scheduler.workers().at(workerId).info.bootTime == harness.worker->bootTime(); });
        harness.sessions.acknowledgeStoredEnds(beforeRestart);
        harness.startJob("000000000000000b", 3);
        harness.runUntil([&] { return harness.completed("000000000000000b"); });
        auto unstored = harness.sessions.appliedEnds();
        {
            Section section("nothing is acknowledged before it is stored");
            auto end = BootClock::now() + Milliseconds { 1000 }; // longer than the interval between renewals
            harness.runUntil([&] { return BootClock::now() > end; });
            CPPUNIT_ASSERT(harness.statistics.acknowledgedDone.empty());
        }
        Section section("the ends of the new incarnation are acknowledged");
        harness.sessions.acknowledgeStoredEnds(unstored);
        harness.runUntil([&] { return harness.statistics.acknowledgedDone.size() == 3; });
    }

    // Guards against a lease that outlasts what its owner knows of: a renewal for a worker's former incarnation arrived
    // after the owner had heard of the new one.
    void callsForAFormerIncarnationAreRejected()
    {
        SessionsHarness harness;
        auto lease = [&]() -> const WorkerLease& { return harness.scheduler.workers().at(workerId).lease; };
        harness.runUntil([&] { return lease().hasClockSample(); });
        auto firstBoot = harness.worker->bootTime();
        harness.runUntil([&] { return unixMilliseconds(wallNow()) > firstBoot; });
        harness.worker = std::make_unique<standin::WorkerStandIn>(workerId, 16000, harness.statistics);
        harness.runUntil([&] { return lease().stage() == 1; });
        auto end = BootClock::now() + Milliseconds { 1000 }; // longer than the interval between renewals
        harness.runUntil([&] { return BootClock::now() > end; });
        auto status = [&](uint32_t stage) {
            platform::LeaseRenewalRequest renewal { workerId, harness.sessions.token(stage), 0, std::nullopt,
                Milliseconds { 0 } };
            auto request = platform::leaseRenewalRequest(renewal);
            HttpMessage message;
            message.method = request.method;
            message.target = request.target;
            message.body = request.body;
            std::optional<platform::LeaseRenewalStatus> result;
            harness.worker->handle(message, [&](HttpResponse&& response) {
                HttpMessage received;
                received.status = response.status;
                received.body = response.body;
                result = platform::parseLeaseRenewalResponse(received).status;
            });
            harness.runUntil([&] { return result.has_value(); });
            return *result;
        };
        CPPUNIT_ASSERT(status(0) == platform::LeaseRenewalStatus::Fenced);
        CPPUNIT_ASSERT(status(1) == platform::LeaseRenewalStatus::Ok);
    }

    // Guards against two simultaneous runs of a task: a worker that had started again carried out a start for its
    // former incarnation, later than its owner allowed for.
    void startsReachOnlyTheIncarnationThatTheOwnerKnows()
    {
        SessionsHarness harness;
        harness.runUntil([&] { return harness.scheduler.workers().at(workerId).reported; });
        harness.restartWorker();
        harness.startJob("000000000000000a", 3);
        {
            Section section("the new incarnation starts nothing before the owner knows it");
            harness.runUntil(
                [&] { return harness.scheduler.workers().at(workerId).info.bootTime == harness.worker->bootTime(); });
            CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, harness.statistics.starts);
        }
        Section section("then it runs each task once");
        harness.runUntil([&] {
            harness.sendOrders();
            return harness.completed("000000000000000a");
        });
        CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, harness.statistics.starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerSessionsTest);

} // namespace shallotdrift
