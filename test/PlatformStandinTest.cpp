#include "FakePlatform.h"
#include "Story.h"
#include "standin/PlatformServer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class PlatformStandinTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformStandinTest);
    CPPUNIT_TEST(logKeepsItsRetention);
    CPPUNIT_TEST(logLimitsAppendsAndWakesReaders);
    CPPUNIT_TEST(faultsShowAtTheClient);
    CPPUNIT_TEST(listLagsBehind);
    CPPUNIT_TEST(rebootsAreFencedByEpochs);
    CPPUNIT_TEST(tasksAreFencedByTokens);
    CPPUNIT_TEST(tasksEndAndLapse);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* fleet
        = R"([{"id":"w","role":"target","address":"127.0.0.1:9","zone":"z","rack":"r","pool":"p","cores":4,)"
          R"("memory_mb":100,"accelerators":0,"slots":4,"connections":8},)"
          R"({"id":"e","role":"entry","address":"127.0.0.1:10","zone":"z"}])";

    // The stand-in behind HTTP, with targets that reboot as the test says.
    struct Platform {
        explicit Platform(standin::PlatformLogOptions log = {})
            : server(options(log), [this](const standin::Reboot& reboot) {
                ++reboots;
                std::lock_guard lock(mutex);
                last = reboot;
                return reachable.load();
            })
        {
            server.fleet().load(fleet);
            CPPUNIT_ASSERT(server.start());
            client = makeHttpPlatformClient(
                { "127.0.0.1:" + std::to_string(server.port()), Milliseconds(500), Milliseconds(1000) });
        }

        static standin::PlatformServerOptions options(standin::PlatformLogOptions log)
        {
            standin::PlatformServerOptions options;
            options.host = "127.0.0.1";
            options.threads = 8;
            options.rebootThreads = 2;
            options.listLag = Milliseconds(0);
            options.log = log;
            return options;
        }

        void control(const std::string& path) const
        {
            httplib::Client caller("127.0.0.1", server.port());
            auto result = caller.Post(path);
            CPPUNIT_ASSERT(result && result->status == 200);
        }

        std::mutex mutex;
        standin::Reboot last;
        std::atomic<int> reboots { 0 };
        std::atomic<bool> reachable { true };
        standin::PlatformServer server;
        std::unique_ptr<PlatformClient> client;
    };

public:
    // Guards against a log that keeps everything, so that gaps are never tested.
    void logKeepsItsRetention()
    {
        standin::PlatformLogOptions options;
        options.retentionEntries = 5;
        options.retentionBytes = 400;
        standin::PlatformLog log(options);
        auto now = BootClock::now();
        for (Offset offset = 1; offset <= 12; ++offset)
            CPPUNIT_ASSERT_EQUAL(offset, *log.append("x", now));
        auto page = log.read(3, 100, Milliseconds(0));
        CPPUNIT_ASSERT_EQUAL(Offset { 8 }, page.earliest);
        CPPUNIT_ASSERT_EQUAL(Offset { 13 }, page.next);
        CPPUNIT_ASSERT_EQUAL(Offset { 8 }, page.items.front().offset);
        log.append(std::string(399, 'x'), now);
        CPPUNIT_ASSERT_EQUAL(Offset { 12 }, log.earliest());
        Section age("entries expire by age");
        options.retention = Milliseconds(1000);
        standin::PlatformLog aged(options);
        aged.append("x", now - std::chrono::seconds(2));
        aged.append("y", now);
        CPPUNIT_ASSERT_EQUAL(Offset { 2 }, aged.read(1, 10, Milliseconds(0)).earliest);
    }

    // Guards against a stand-in that is faster than the platform, and against long polls that sleep through an append.
    void logLimitsAppendsAndWakesReaders()
    {
        standin::PlatformLogOptions options;
        options.appendsPerSecond = 3;
        Platform platform(options);
        auto begin = BootClock::now();
        std::thread appender([&] {
            std::this_thread::sleep_for(Milliseconds(50));
            CPPUNIT_ASSERT(platform.client->append("a"));
        });
        auto page = platform.client->read(1, 10, Milliseconds(5000));
        appender.join();
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), page->items.front().payload);
        CPPUNIT_ASSERT(BootClock::now() - begin < Milliseconds(2000));
        CPPUNIT_ASSERT(platform.client->append("b"));
        CPPUNIT_ASSERT(platform.client->append("c"));
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("d"); }) == ResultCode::PlatformUnavailable);
    }

    // Guards against fault controls that do not reach the client.
    void faultsShowAtTheClient()
    {
        Platform platform;
        {
            Section lost("a lost answer hides an append that took effect");
            platform.control("/control/lose_answers?count=1");
            CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("a"); }) == ResultCode::AnswerLost);
            CPPUNIT_ASSERT_EQUAL(Offset { 2 }, platform.client->append("b").value());
        }
        {
            Section copies("a duplicated append is stored twice");
            platform.control("/control/duplicate_appends?count=1");
            CPPUNIT_ASSERT_EQUAL(Offset { 3 }, platform.client->append("c").value());
            auto page = platform.client->read(3, 10, Milliseconds(0));
            CPPUNIT_ASSERT_EQUAL(size_t { 2 }, page->items.size());
            CPPUNIT_ASSERT(page->items[0].payload == page->items[1].payload);
        }
        {
            Section outage("an outage ends by itself, and appends had no effect");
            platform.control("/control/outage?ms=300");
            CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("x"); }) == ResultCode::AnswerLost);
            CPPUNIT_ASSERT(
                eventually([&] { return codeOf([&] { return platform.client->append("y"); }) == ResultCode::Ok; }));
            CPPUNIT_ASSERT_EQUAL(std::string("y"), platform.client->read(5, 1, Milliseconds(0))->items.front().payload);
        }
        Section slow("a slow platform answers late");
        platform.control("/control/slow?ms=200&for_ms=1000");
        auto begin = BootClock::now();
        CPPUNIT_ASSERT(platform.client->append("z"));
        CPPUNIT_ASSERT(BootClock::now() - begin >= Milliseconds(200));
    }

    // Guards against a list that is newer than the platform's.
    void listLagsBehind()
    {
        standin::PlatformFleet list(Milliseconds(1000));
        list.load(fleet);
        Instant now { std::chrono::hours(1) };
        CPPUNIT_ASSERT(list.change("w", standin::PlatformFleet::Change::Leave, now));
        CPPUNIT_ASSERT(list.change("e", standin::PlatformFleet::Change::Gone, now + Milliseconds(10)));
        CPPUNIT_ASSERT(!list.change("unknown", standin::PlatformFleet::Change::Gone, now));
        CPPUNIT_ASSERT(list.list(now + Milliseconds(999)).find("\"leaving\":true") == std::string::npos);
        auto later = list.list(now + Milliseconds(1001));
        CPPUNIT_ASSERT(later.find("\"leaving\":true") != std::string::npos);
        CPPUNIT_ASSERT(later.find("\"entry\"") != std::string::npos);
        CPPUNIT_ASSERT(list.list(now + Milliseconds(1010)).find("\"entry\"") == std::string::npos);
        Section client("the client reads what the stand-in writes");
        Platform platform;
        auto parsed = platform.client->instances();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, parsed->instances.size());
        platform.control("/control/gone?instance=w");
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, platform.client->instances()->instances.size());
        CPPUNIT_ASSERT(platform.client->instances()->version > parsed->version);
    }

    // Guards against an old entry that moves an instance back, and an answer before the reboot is done.
    void rebootsAreFencedByEpochs()
    {
        Platform platform;
        auto assign = [&](const std::string& pool, uint64_t epoch) {
            return codeOf([&] { return platform.client->assign("w", pool, epoch); });
        };
        CPPUNIT_ASSERT(assign("q", 3) == ResultCode::Ok);
        CPPUNIT_ASSERT(assign("q", 3) == ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(1, platform.reboots.load());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9"), platform.last.address);
        CPPUNIT_ASSERT(assign("r", 3) == ResultCode::PlatformRefused);
        CPPUNIT_ASSERT(assign("r", 2) == ResultCode::PlatformRefused);
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->reboot("w", 2); }) == ResultCode::PlatformRefused);
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->reboot("e", 9); }) == ResultCode::PlatformRefused);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), platform.client->instances()->instances.back().pool);
        Section unreachable("a target that cannot be reached is tried again in the background");
        platform.reachable = false;
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->reboot("w", 4); }) == ResultCode::AnswerLost);
        CPPUNIT_ASSERT(platform.reboots > 2);
        platform.reachable = true;
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->reboot("w", 4); }) == ResultCode::Ok);
        CPPUNIT_ASSERT(platform.last.pool.empty());
    }

    // Guards against a former owner that steers a task.
    void tasksAreFencedByTokens()
    {
        Platform platform;
        TaskStart start;
        start.id = "t";
        start.instance = "w";
        start.token = 5;
        start.input = "run_ms=60000";
        auto command = [&](TaskCommand what, uint64_t token) {
            return codeOf([&] { return platform.client->commandTask("t", what, token); });
        };
        CPPUNIT_ASSERT(command(TaskCommand::Renew, 5) == ResultCode::PlatformRefused);
        CPPUNIT_ASSERT(platform.client->startTask(start));
        CPPUNIT_ASSERT(platform.client->startTask(start));
        CPPUNIT_ASSERT(command(TaskCommand::Renew, 8) == ResultCode::Ok);
        CPPUNIT_ASSERT(command(TaskCommand::Renew, 5) == ResultCode::PlatformRefused);
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->startTask(start); }) == ResultCode::PlatformRefused);
        CPPUNIT_ASSERT(command(TaskCommand::Throttle, 8) == ResultCode::Ok);
        CPPUNIT_ASSERT(command(TaskCommand::Checkpoint, 8) == ResultCode::Ok);
        CPPUNIT_ASSERT(command(TaskCommand::Renew, 8) == ResultCode::PlatformRefused);
        auto tasks = platform.client->tasks().value();
        CPPUNIT_ASSERT(tasks.front().status == PlatformTask::Status::Checkpointed);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 8 }, tasks.front().token);
        start.instance = "gone";
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->startTask(start); }) == ResultCode::PlatformRefused);
    }

    // Guards against simulated tasks that run, resume, fail or lapse at the wrong time.
    void tasksEndAndLapse()
    {
        using Status = PlatformTask::Status;
        standin::PlatformTasks tasks(Milliseconds(2000));
        Instant now { std::chrono::hours(1) };
        auto start = [&](const std::string& id, uint64_t token, const std::string& input, Instant at) {
            TaskStart task;
            task.id = id;
            task.instance = "w";
            task.token = token;
            task.cores = 2;
            task.input = input;
            CPPUNIT_ASSERT(tasks.start(task, at) == standin::PlatformTasks::Answer::Ok);
        };
        auto status = [&](size_t index, Instant at) { return tasks.list(at).at(index).status; };
        start("a", 1, "run_ms=3000&fail=0&use=10", now);
        start("b", 1, "run_ms=3000&fail=1", now);
        start("c", 1, "run_ms=30000", now);
        CPPUNIT_ASSERT_EQUAL(0.0, tasks.list(now + Milliseconds(1000)).front().coresUsed);
        CPPUNIT_ASSERT_EQUAL(20.0, tasks.list(now + Milliseconds(2500)).front().coresUsed);
        CPPUNIT_ASSERT(status(0, now + Milliseconds(3000)) == Status::Succeeded);
        CPPUNIT_ASSERT(status(1, now + Milliseconds(3000)) == Status::Failed);
        tasks.extendLeases(Milliseconds(4000), now + Milliseconds(3000));
        CPPUNIT_ASSERT(status(2, now + Milliseconds(13900)) == Status::Running);
        CPPUNIT_ASSERT(status(2, now + Milliseconds(14000)) == Status::LeaseLapsed);
        Section resume("a task resumes from its checkpoint");
        start("d", 1, "run_ms=4000", now);
        CPPUNIT_ASSERT(tasks.command("d", TaskCommand::Checkpoint, 1, now + Milliseconds(3000))
            == standin::PlatformTasks::Answer::Ok);
        start("d", 2, "run_ms=4000", now + Milliseconds(5000));
        CPPUNIT_ASSERT(status(3, now + Milliseconds(5900)) == Status::Running);
        CPPUNIT_ASSERT(status(3, now + Milliseconds(6000)) == Status::Succeeded);
        Section stopped("a stopped instance ends its tasks");
        start("e", 1, "run_ms=4000", now);
        tasks.instanceStopped("w", now + Milliseconds(1000));
        CPPUNIT_ASSERT(status(4, now + Milliseconds(1000)) == Status::LeaseLapsed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStandinTest);

} // namespace shallotdrift
