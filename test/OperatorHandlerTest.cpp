#include "FoldAccess.h"
#include "Story.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

static const std::string floodHandbook = "[handbook]\ntitle = flood\nwhen = flooded\n"
                                         "[step 1]\naction = lend\nfrom = accounts\nto = archive\ncount = 2\n";

class OperatorHandlerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperatorHandlerTest);
    CPPUNIT_TEST(lendingKeepsBudgetsAndStartsWithTheSparePool);
    CPPUNIT_TEST(repeatedChangeActsOnce);
    CPPUNIT_TEST(outageIsNotReportedAsRefusal);
    CPPUNIT_TEST(lentInstancesReturnHome);
    CPPUNIT_TEST(handbookNeedsTwoOperators);
    CPPUNIT_TEST(interruptedInvocationIsCompleted);
    CPPUNIT_TEST(rehearsalForetellsTheInvocation);
    CPPUNIT_TEST(wavesAndDrainsAreControlled);
    CPPUNIT_TEST(movesAndEntriesAreEnded);
    CPPUNIT_TEST(configurationIsProposedOnTheVersionThatWasRead);
    CPPUNIT_TEST(explainAndAuditTellWhatHappened);
    CPPUNIT_TEST(callsWithoutNameIdOrStateAreRefused);
    CPPUNIT_TEST_SUITE_END();

    SharedLog log_;
    FoldAccess access_ { log_ };
    OperatorHandler handler_ { access_ };

    static void assertCode(ResultCode expected, uint32_t code, const std::string& message)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, static_cast<uint32_t>(expected), code);
    }

    template <typename Reply> static void assertCode(ResultCode expected, const Reply& reply)
    {
        assertCode(expected, reply.result_code(), reply.message());
    }

    static proto::LendRequest lendRequest(const std::string& id, uint32_t count, const std::string& from = "")
    {
        proto::LendRequest request;
        *request.mutable_change() = changeBy("ana", id);
        request.set_from_pool(from);
        request.set_to_pool("archive");
        request.set_count(count);
        return request;
    }

    proto::ChangeReply propose(const std::string& id, uint64_t expected, const std::string& ini = floodHandbook)
    {
        proto::ProposeHandbookRequest request;
        *request.mutable_change() = changeBy("ana", id);
        request.set_name("flood");
        request.set_expected_version(expected);
        request.set_ini(ini);
        return handler_.proposeHandbook(request);
    }

    proto::ChangeReply review(const std::string& operatorName, const std::string& id, uint64_t version)
    {
        proto::ReviewHandbookRequest request;
        *request.mutable_change() = changeBy(operatorName, id);
        request.set_name("flood");
        request.set_version(version);
        request.set_approved(true);
        return handler_.reviewHandbook(request);
    }

    proto::ChangeReply invoke(const std::string& id, uint64_t version = 0)
    {
        proto::InvokeRequest request;
        *request.mutable_change() = changeBy("ana", id);
        request.set_name("flood");
        request.set_version(version);
        return handler_.invoke(request);
    }

    proto::ChangeReply changeWave(const std::string& id, const std::string& wave, const std::string& action)
    {
        proto::ChangeWaveRequest request;
        *request.mutable_change() = changeBy("ana", id);
        request.set_wave_id(wave);
        request.set_action(action);
        return handler_.changeWave(request);
    }

public:
    void setUp() override { log_.fillFleet(); }

    // Guards against operators' lending that breaks a budget or takes instances of a busy pool first.
    void lendingKeepsBudgetsAndStartsWithTheSparePool()
    {
        auto reply = handler_.lend(lendRequest("c-1", 2));
        assertCode(ResultCode::Ok, reply);
        CPPUNIT_ASSERT_EQUAL(2, reply.steps_size());
        CPPUNIT_ASSERT_EQUAL(std::string("c-1.1"), reply.steps(0).id());
        CPPUNIT_ASSERT_EQUAL(2U, log_.available("accounts"));
        Section more("a request beyond the budget is met in part and says so");
        reply = handler_.lend(lendRequest("c-2", 5, "accounts"));
        assertCode(ResultCode::FailureDomainBusy, reply);
        CPPUNIT_ASSERT_EQUAL(2U, log_.available("accounts"));
        log_.finishMoves();
        reply = handler_.lend(lendRequest("c-3", 5, "accounts"));
        assertCode(ResultCode::Ok, reply);
        CPPUNIT_ASSERT_EQUAL(std::string("1 of 2 steps are accepted; the others are refused"), reply.message());
        assertCode(ResultCode::BudgetExceeded, reply.steps(1));
        CPPUNIT_ASSERT_EQUAL(1U, log_.available("accounts"));
        auto repeated = handler_.lend(lendRequest("c-3", 5, "accounts"));
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, repeated.message().find(reply.message()));
        CPPUNIT_ASSERT_EQUAL(reply.steps(0).action(), repeated.steps(0).action());
        CPPUNIT_ASSERT_EQUAL(reply.steps(1).action(), repeated.steps(1).action());
        Section any("without a spare instance the next pool with room lends");
        log_.finishMoves();
        reply = handler_.lend(lendRequest("c-4", 1));
        CPPUNIT_ASSERT(reply.steps(0).action().find("from reports") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(3U, log_.available("reports"));
        auto unknown = lendRequest("c-5", 1, "nowhere");
        assertCode(ResultCode::NotFound, handler_.lend(unknown));
        assertCode(ResultCode::InvalidCommand, handler_.lend(lendRequest("c-6", 0)));
    }

    // Guards against a change that acts twice when its answer was lost and another entry takes the repeat.
    void repeatedChangeActsOnce()
    {
        access_.losesAnswers = true;
        auto lost = handler_.lend(lendRequest("c-1", 2));
        assertCode(ResultCode::LogUnavailable, lost);
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, log_.fold.state().moves.size());
        FoldAccess other(log_);
        auto reply = OperatorHandler(other).lend(lendRequest("c-1", 2));
        assertCode(ResultCode::Ok, reply);
        CPPUNIT_ASSERT_EQUAL(2, reply.steps_size());
        CPPUNIT_ASSERT_EQUAL(0, other.submissions);
        Section race("records that another entry appended in between are refused and reported as in force");
        FleetState before = log_.fold.state();
        struct BehindAccess : FoldAccess {
            using FoldAccess::FoldAccess;
            void readState(const std::function<void(const FleetState&, Offset)>& function) override
            {
                if (submissions == 0)
                    function(*outdated, 0);
                else
                    FoldAccess::readState(function);
            }
            const FleetState* outdated = nullptr;
        };
        access_.losesAnswers = false;
        BehindAccess behind(log_);
        behind.outdated = &before;
        assertCode(ResultCode::Ok, handler_.lend(lendRequest("c-2", 1, "reports")));
        auto late = OperatorHandler(behind).lend(lendRequest("c-2", 1, "reports"));
        assertCode(ResultCode::Ok, late);
        CPPUNIT_ASSERT_EQUAL(std::string("accepted: already in force"), late.steps(0).message());
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, log_.fold.state().moves.size());
    }

    // Guards against "refused" for a change that may still take effect.
    void outageIsNotReportedAsRefusal()
    {
        access_.down = true;
        auto reply = handler_.lend(lendRequest("c-1", 1));
        assertCode(ResultCode::LogUnavailable, reply);
        CPPUNIT_ASSERT(reply.message().find("change id c-1") != std::string::npos);
        access_.down = false;
        assertCode(ResultCode::Ok, handler_.lend(lendRequest("c-1", 1)));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, log_.fold.state().moves.size());
    }

    // Guards against lent instances that are forgotten in the borrowing pool.
    void lentInstancesReturnHome()
    {
        handler_.lend(lendRequest("c-1", 2));
        log_.finishMoves();
        CPPUNIT_ASSERT_EQUAL(6U, log_.available("archive"));
        proto::ReturnLentRequest request;
        *request.mutable_change() = changeBy("ana", "c-2");
        request.set_pool("archive");
        assertCode(ResultCode::Ok, handler_.returnLent(request));
        log_.finishMoves();
        CPPUNIT_ASSERT_EQUAL(4U, log_.available("accounts"));
        request.mutable_change()->set_change_id("c-3");
        assertCode(ResultCode::NothingToDo, handler_.returnLent(request));
    }

    // Guards against an entry that runs without the eyes of a second operator.
    void handbookNeedsTwoOperators()
    {
        assertCode(ResultCode::NotFound, invoke("c-0"));
        assertCode(ResultCode::InvalidHandbook, propose("c-1", 0, "[handbook]\ntitle = t\n"));
        auto unknown = floodHandbook;
        unknown.replace(unknown.find("archive"), 7, "nowhere");
        assertCode(ResultCode::InvalidHandbook, propose("c-2", 0, unknown));
        assertCode(ResultCode::Ok, propose("c-3", 0));
        assertCode(ResultCode::NotReviewed, invoke("c-4"));
        assertCode(ResultCode::SameAuthorAndReviewer, review("ana", "c-5", 1));
        assertCode(ResultCode::Ok, review("bea", "c-6", 1));
        assertCode(ResultCode::Ok, invoke("c-7", 1));
        CPPUNIT_ASSERT_EQUAL(2U, log_.available("accounts"));
        CPPUNIT_ASSERT_EQUAL(std::string("c-7"), log_.fold.state().moves.at("c-7.s1.1").invocationId);
        Section repeat("a repeated invocation reports the same steps and moves nothing");
        auto submissions = access_.submissions;
        auto again = invoke("c-7", 1);
        assertCode(ResultCode::Ok, again);
        CPPUNIT_ASSERT_EQUAL(2, again.steps_size());
        CPPUNIT_ASSERT_EQUAL(std::string("c-7.s1.2"), again.steps(1).id());
        CPPUNIT_ASSERT_EQUAL(submissions, access_.submissions);
        Section second("a new version is invoked only after its own review");
        assertCode(ResultCode::Ok, propose("c-8", 1));
        assertCode(ResultCode::StaleEpoch, invoke("c-9", 2));
        proto::ShowHandbookRequest show;
        show.set_name("flood");
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, handler_.showHandbook(show).approved_version());
        CPPUNIT_ASSERT_EQUAL(1, handler_.listHandbook({}).entries_size());
    }

    // Guards against an invocation that is recorded and never carried out because its entry stopped.
    void interruptedInvocationIsCompleted()
    {
        propose("c-1", 0);
        review("bea", "c-2", 1);
        proto::Record record;
        record.set_actor("operator:ana");
        record.set_reason("[c-3] test");
        record.mutable_handbook_invoked()->set_name("flood");
        record.mutable_handbook_invoked()->set_version(1);
        record.mutable_handbook_invoked()->set_invocation_id("c-3");
        record.mutable_handbook_invoked()->set_operator_name("ana");
        log_.add(record);
        assertCode(ResultCode::Ok, invoke("c-3"));
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, log_.fold.state().moves.size());
    }

    // Guards against a rehearsal that promises what the fold refuses, or that changes the fleet.
    void rehearsalForetellsTheInvocation()
    {
        propose("c-1", 0,
            floodHandbook
                + "[step 2]\naction = lend\nfrom = reports\nto = archive\ncount = 2\n"
                  "[step 3]\naction = drain\nzone = zb\n[step 4]\naction = wave\npool = archive\n");
        review("bea", "c-2", 1);
        auto offset = log_.fold.offset();
        proto::RehearseRequest request;
        request.set_name("flood");
        auto rehearsal = handler_.rehearse(request);
        assertCode(ResultCode::Ok, rehearsal);
        CPPUNIT_ASSERT_EQUAL(offset, log_.fold.offset());
        auto reply = invoke("c-3");
        CPPUNIT_ASSERT_EQUAL(reply.steps_size(), rehearsal.steps_size());
        for (int i = 0; i < reply.steps_size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(reply.steps(i).action(), rehearsal.steps(i).action());
            CPPUNIT_ASSERT_EQUAL(reply.steps(i).result_code(), rehearsal.steps(i).result_code());
        }
        for (const auto& budget : rehearsal.budgets())
            CPPUNIT_ASSERT(budget.available_after() >= budget.minimum());
        CPPUNIT_ASSERT_EQUAL(std::string("accounts"), rehearsal.budgets(0).pool());
        CPPUNIT_ASSERT_EQUAL(4U, rehearsal.budgets(0).available_before());
        request.set_version(7);
        assertCode(ResultCode::NotFound, handler_.rehearse(request));
    }

    // Guards against waves that cannot be stopped, and against a second wave by a repeated call.
    void wavesAndDrainsAreControlled()
    {
        proto::StartWaveRequest wave;
        *wave.mutable_change() = changeBy("ana", "w-1");
        wave.set_pool("archive");
        assertCode(ResultCode::Ok, handler_.startWave(wave));
        assertCode(ResultCode::Ok, handler_.startWave(wave));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, log_.fold.state().waves.size());
        assertCode(ResultCode::Ok, changeWave("c-1", "w-1", "pause"));
        CPPUNIT_ASSERT(log_.fold.state().waves.at("w-1").status == WaveStatus::Paused);
        CPPUNIT_ASSERT_EQUAL(std::string("paused"), handler_.status({}).waves(0).status());
        assertCode(ResultCode::Ok, changeWave("c-2", "w-1", "resume"));
        assertCode(ResultCode::InvalidCommand, changeWave("c-3", "w-1", "stop"));
        assertCode(ResultCode::NotFound, changeWave("c-4", "w-9", "abort"));
        assertCode(ResultCode::Ok, changeWave("c-5", "w-1", "abort"));
        assertCode(ResultCode::WrongState, changeWave("c-6", "w-1", "resume"));
        Section drains("a drain takes a zone or instances, not both and not neither");
        proto::DrainRequest drain;
        *drain.mutable_change() = changeBy("ana", "d-1");
        assertCode(ResultCode::InvalidCommand, handler_.drain(drain));
        drain.add_instances("reports-1");
        assertCode(ResultCode::Ok, handler_.drain(drain));
        CPPUNIT_ASSERT(log_.fold.state().waves.at("d-1").keepDrained);
        drain.mutable_change()->set_change_id("d-2");
        drain.set_instances(0, "absent-1");
        assertCode(ResultCode::NotFound, handler_.drain(drain));
        drain.clear_instances();
        drain.set_zone("zb");
        drain.mutable_change()->set_change_id("d-3");
        assertCode(ResultCode::Ok, handler_.drain(drain));
        CPPUNIT_ASSERT_EQUAL(size_t { 6 }, log_.fold.state().waves.at("d-3").pending.size());
    }

    // Guards against moves that wait for ever for a stopped entry.
    void movesAndEntriesAreEnded()
    {
        handler_.lend(lendRequest("c-1", 1));
        proto::AbortMoveRequest abort;
        *abort.mutable_change() = changeBy("ana", "c-2");
        abort.set_move_id("c-1.1");
        assertCode(ResultCode::Ok, handler_.abortMove(abort));
        CPPUNIT_ASSERT(log_.fold.state().moves.at("c-1.1").status == MoveStatus::Aborted);
        abort.set_move_id("c-9.1");
        abort.mutable_change()->set_change_id("c-3");
        assertCode(ResultCode::NotFound, handler_.abortMove(abort));
        proto::RemoveEntryRequest remove;
        *remove.mutable_change() = changeBy("ana", "c-4");
        remove.set_entry("e2");
        assertCode(ResultCode::InvalidCommand, handler_.removeEntry(remove));
        remove.set_confirm_stopped(true);
        assertCode(ResultCode::Ok, handler_.removeEntry(remove));
        assertCode(ResultCode::Ok, handler_.removeEntry(remove));
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, log_.fold.state().entries.count("e2"));
    }

    // Guards against racing operators who overwrite each other's configuration.
    void configurationIsProposedOnTheVersionThatWasRead()
    {
        auto current = handler_.showConfiguration({});
        proto::ProposeConfigurationRequest request;
        *request.mutable_change() = changeBy("ana", "c-1");
        request.set_expected_version(current.version());
        request.set_ini("[pool a\n");
        request.set_reviewer("bea");
        auto mistakes = handler_.proposeConfiguration(request);
        assertCode(ResultCode::InvalidSettings, mistakes);
        CPPUNIT_ASSERT(mistakes.message().find("configuration:1: [pool a") != std::string::npos);
        request.set_ini(current.ini() + "[team t]\nslot_quota = 1\n");
        assertCode(ResultCode::Ok, handler_.proposeConfiguration(request));
        assertCode(ResultCode::Ok, handler_.proposeConfiguration(request));
        request.mutable_change()->set_change_id("c-2");
        request.mutable_change()->set_operator_name("cleo");
        assertCode(ResultCode::StaleEpoch, handler_.proposeConfiguration(request));
        CPPUNIT_ASSERT_EQUAL(current.version() + 1, handler_.showConfiguration({}).version());
    }

    // Guards against questions at night that the platform's log could answer and the command does not.
    void explainAndAuditTellWhatHappened()
    {
        handler_.lend(lendRequest("c-1", 1));
        auto explain = [&](const std::string& subject) {
            proto::ExplainRequest request;
            request.set_subject(subject);
            return handler_.explain(request);
        };
        auto instance = explain("instance accounts-1");
        assertCode(ResultCode::Ok, instance);
        CPPUNIT_ASSERT(instance.facts(3) == "operation c-1.1 is under way");
        CPPUNIT_ASSERT_EQUAL(std::string("it waits for gate entries e1"), instance.facts(4));
        CPPUNIT_ASSERT_EQUAL(std::string("move proposed"), instance.events(0).action());
        CPPUNIT_ASSERT_EQUAL(std::string("[c-1] test"), instance.events(0).reason());
        CPPUNIT_ASSERT_EQUAL(1, explain("change c-1").events_size());
        CPPUNIT_ASSERT_EQUAL(std::string("3 requests refused as late"),
            explain("pool archive").facts(explain("pool archive").facts_size() - 1));
        for (const auto& subject : { "move c-1.1", "entry e1", "pool accounts" })
            assertCode(ResultCode::Ok, explain(subject));
        for (const auto& subject : { "key 1700000000000-a", "task t", "wave w", "handbook h", "change c" })
            assertCode(ResultCode::NotFound, explain(subject));
        for (const auto& subject : { "", "instance", "planet mars" })
            assertCode(ResultCode::InvalidCommand, explain(subject));
        proto::AuditRequest audit;
        audit.set_limit(1);
        CPPUNIT_ASSERT_EQUAL(1, handler_.audit(audit).events_size());
        CPPUNIT_ASSERT_EQUAL(std::string("operator:ana"), handler_.audit(audit).events(0).actor());
        audit.set_subject("pool nowhere");
        CPPUNIT_ASSERT_EQUAL(0, handler_.audit(audit).events_size());
    }

    // Guards against anonymous changes, and plans that rest on an incomplete state.
    void callsWithoutNameIdOrStateAreRefused()
    {
        auto request = lendRequest("c-1", 1);
        request.mutable_change()->set_operator_name("");
        assertCode(ResultCode::NotAuthorized, handler_.lend(request));
        for (const auto& id : { "", "c/1", "c.1" })
            assertCode(ResultCode::InvalidCommand, handler_.lend(lendRequest(id, 1)));
        access_.ready = false;
        assertCode(ResultCode::NotReady, handler_.lend(lendRequest("c-1", 1)));
        CPPUNIT_ASSERT_EQUAL(0, access_.submissions);
        Section reason("a long reason is cut between characters");
        access_.ready = true;
        request = lendRequest("c-2", 1);
        std::string longReason(255, 'x');
        request.mutable_change()->set_reason(longReason + "\xC3\xA1");
        assertCode(ResultCode::Ok, handler_.lend(request));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorHandlerTest);

} // namespace shallotdrift
