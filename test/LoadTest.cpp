#include "Sockets.h"
#include "Story.h"

#include "standin/DirectEntry.h"
#include "standin/JournalCheck.h"
#include "standin/LoadGenerator.h"
#include "standin/RelayRoute.h"
#include "standin/TargetHost.h"

#include <asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <fmt/format.h>
#include <future>
#include <unistd.h>

namespace shallotdrift {

using testing::FakeTarget;
using testing::RawConnection;

namespace {

    // An Asio loop on a thread of its own.
    class Loop {
    public:
        ~Loop()
        {
            io.stop();
            thread_.join();
        }

        // Runs a function on the loop's thread and waits for it.
        template <typename Function> auto run(Function&& function)
        {
            std::packaged_task<decltype(function())()> task(std::forward<Function>(function));
            auto result = task.get_future();
            asio::post(io, [&task] { task(); });
            return result.get();
        }

        asio::io_context io { 1 };

    private:
        asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io);
        std::thread thread_ { [this] { io.run(); } };
    };

    std::string temporaryFile(const char* name) { return fmt::format("/tmp/shallotdrift-{}-{}.json", getpid(), name); }

    standin::LoadKind kind(const std::string& name, double rate, bool idempotent)
    {
        standin::LoadKind result;
        result.name = name;
        result.ratePerSecond = rate;
        result.meanRunMilliseconds = 2;
        result.timeout = Milliseconds(250);
        result.idempotent = idempotent;
        return result;
    }

    // Two targets behind an entry without policy, a load, and the journals of both sides.
    class Scene {
    public:
        Scene()
        {
            std::vector<std::string> addresses;
            for (const auto* id : { "t1", "t2" }) {
                standin::FleetInstance target;
                target.id = id;
                target.address = "127.0.0.1:0";
                target.pool = "assess";
                target.slots = 4;
                CPPUNIT_ASSERT(loop_.run([&] { return static_cast<bool>(host_->add(target)); }));
                addresses.push_back(host_->find(id)->description().address);
            }
            CallerServerOptions options;
            options.listenAddress = "127.0.0.1:0";
            entry_ = std::make_unique<standin::DirectEntry>(options, TargetClientOptions {}, addresses, "assess");
            CPPUNIT_ASSERT(entry_->start());
        }

        ~Scene()
        {
            entry_.reset();
            loop_.run([this] { host_.reset(); });
            std::remove(targetsFile_.c_str());
            std::remove(callersFile_.c_str());
        }

        void fault(const std::string& mode, int milliseconds)
        {
            loop_.run([&] {
                return host_->control(
                    host_->find("t1"), fmt::format("/control/fault?instance=t1&mode={}&ms={}", mode, milliseconds));
            });
        }

        unsigned control(const std::string& call)
        {
            return loop_.run([&] { return host_->control(host_->find("t1"), call); });
        }

        standin::LoadReport load(const std::vector<standin::LoadKind>& kinds, Milliseconds length)
        {
            asio::io_context io { 1 };
            standin::Journal journal(callersFile_);
            standin::LoadOptions options;
            options.entries = { { asio::ip::address_v4::loopback(), entry_->server().port() } };
            options.length = length;
            options.patience = Milliseconds(2000);
            options.seed = 7;
            standin::LoadGenerator generator(io, kinds, options, journal);
            generator.start();
            auto end = BootClock::now() + length;
            while (BootClock::now() < end || generator.open() > 0)
                io.run_for(Milliseconds(5));
            return generator.report();
        }

        std::string violations()
        {
            standin::JournalCheck check(Milliseconds(100));
            for (const auto& name : { targetsFile_, callersFile_ }) {
                std::ifstream file(name);
                check.add(file, name);
            }
            std::string text;
            for (const auto& violation : check.violations())
                text += violation.rule + ": " + violation.text + "\n";
            return text;
        }

    private:
        std::string targetsFile_ = temporaryFile("targets");
        std::string callersFile_ = temporaryFile("callers");
        standin::Journal targetsJournal_ { targetsFile_ };
        Loop loop_;
        std::unique_ptr<standin::TargetHost> host_
            = std::make_unique<standin::TargetHost>(loop_.io, targetsJournal_, Milliseconds(20));
        std::unique_ptr<standin::DirectEntry> entry_;
    };

} // namespace

class LoadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoadTest);
    CPPUNIT_TEST(requestPathKeepsItsPromisesUnderFaults);
    CPPUNIT_TEST(ratesFollowTheirPhases);
    CPPUNIT_TEST(targetsRefuseStaleControlCalls);
    CPPUNIT_TEST(relayCutsAndSilences);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against wrong, lost or misdirected answers on the whole path while a target misbehaves.
    void requestPathKeepsItsPromisesUnderFaults()
    {
        struct Case {
            const char* mode;
            int milliseconds;
        };
        for (const auto& one : { Case { "none", 0 }, Case { "fail_all", 1 }, Case { "duplicate", 0 },
                 Case { "wrong_id", 0 }, Case { "late", 400 }, Case { "silent", 0 }, Case { "slow", 30 } }) {
            Section mode(one.mode);
            Scene scene;
            scene.fault(one.mode, one.milliseconds);
            std::string name = one.mode;
            auto urgent = kind("check", 300, true);
            auto report = kind("report", 100, false);
            // Only answers that never come in time need a short timeout; elsewhere it would fail on a busy machine.
            urgent.timeout = report.timeout = Milliseconds(name == "late" || name == "silent" ? 250 : 3000);
            auto result = scene.load({ urgent, report }, Milliseconds(200));
            CPPUNIT_ASSERT_EQUAL(std::string(), scene.violations());
            CPPUNIT_ASSERT(result.clean());
            const auto& counts = result.of("check");
            CPPUNIT_ASSERT(counts.inTime > 0);
            uint64_t refused = 0;
            for (const auto& [code, number] : counts.refused)
                refused += number;
            CPPUNIT_ASSERT_EQUAL(counts.sent, counts.inTime + counts.late + counts.failed + counts.unknown + refused);
            CPPUNIT_ASSERT_EQUAL(name == "fail_all", counts.failed > 0);
            // A duplicate can arrive when the next request has just been sent: that one's outcome is then unknown.
            if (name != "duplicate")
                CPPUNIT_ASSERT_EQUAL(name == "wrong_id" || name == "late" || name == "silent", counts.unknown > 0);
        }
    }

    // Guards against a generator whose floods and lulls do not happen.
    void ratesFollowTheirPhases()
    {
        auto plan = kind("check", 100, true);
        plan.phases = { { Milliseconds(0), 0 }, { Milliseconds(50), 5 }, { Milliseconds(150), 0 } };
        CPPUNIT_ASSERT(plan.rateAt(Milliseconds(10)) == 0 && plan.rateAt(Milliseconds(60)) == 500);
        Scene scene;
        auto report = scene.load({ plan }, Milliseconds(300));
        auto sent = report.of("check").sent; // 50 expected; the seed is fixed
        CPPUNIT_ASSERT(sent > 30 && sent < 75);
    }

    // Guards against a stand-in that hides the faults it should show: stale epochs, work for another pool.
    void targetsRefuseStaleControlCalls()
    {
        Scene scene;
        CPPUNIT_ASSERT_EQUAL(200U, scene.control("/control/assign?pool=assess&epoch=0"));
        CPPUNIT_ASSERT_EQUAL(200U, scene.control("/control/assign?pool=archive&epoch=3"));
        CPPUNIT_ASSERT_EQUAL(409U, scene.control("/control/assign?pool=assess&epoch=3"));
        CPPUNIT_ASSERT_EQUAL(409U, scene.control("/control/reboot?epoch=2"));
        CPPUNIT_ASSERT_EQUAL(404U, scene.control("/control/assign?instance=t9&pool=assess&epoch=9"));
        CPPUNIT_ASSERT_EQUAL(400U, scene.control("/control/fault?mode=unknown"));
        CPPUNIT_ASSERT_EQUAL(200U, scene.control("/control/stop?instance=t2"));
        auto report = scene.load({ kind("check", 200, true) }, Milliseconds(100));
        const auto& counts = report.of("check");
        CPPUNIT_ASSERT(counts.inTime == 0 && counts.refused.count(104) + counts.refused.count(116) > 0);
        uint64_t refused = 0;
        for (const auto& [code, number] : counts.refused)
            refused += number;
        CPPUNIT_ASSERT_EQUAL(counts.sent, refused);
    }

    // Guards against a relay that loses bytes while it forwards, or that goes on forwarding when it should not.
    void relayCutsAndSilences()
    {
        FakeTarget target([](const HttpMessage& request, int) {
            return testing::TargetScript { testing::targetAnswer(request, request.body) };
        });
        Loop loop;
        uint16_t port = 0;
        {
            asio::ip::tcp::acceptor free(loop.io, { asio::ip::address_v4::loopback(), 0 });
            port = free.local_endpoint().port();
        }
        auto route = std::make_shared<standin::RelayRoute>(loop.io,
            asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port), parseAddress(target.address()).value());
        CPPUNIT_ASSERT(loop.run([&] { return static_cast<bool>(route->start()); }));
        std::string body(1 << 20, 'x');
        auto request = fmt::format("POST /run/quick HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
        RawConnection open(port);
        open.send(request);
        CPPUNIT_ASSERT(open.receive().body == body);
        {
            Section silent("open connections go silent, new ones work");
            loop.run([&] { route->silence(true); });
            open.send(request.substr(0, 1000));
            RawConnection fresh(port);
            fresh.send(request);
            CPPUNIT_ASSERT(fresh.receive().body == body);
            CPPUNIT_ASSERT_EQUAL(2, target.requests());
        }
        {
            Section cut("a cut resets all connections and refuses new ones until it is restored");
            loop.run([&] { route->cut(); });
            CPPUNIT_ASSERT(open.closedByPeer());
            CPPUNIT_ASSERT_THROW(RawConnection { port }, std::system_error);
            loop.run([&] { route->restore(); });
            RawConnection fresh(port);
            fresh.send(request);
            CPPUNIT_ASSERT(fresh.receive().body == body);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

} // namespace shallotdrift
