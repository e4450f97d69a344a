#include "FoldLog.h"
#include "Story.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class FoldMovesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FoldMovesTest);
    CPPUNIT_TEST(moveRunsThroughItsSteps);
    CPPUNIT_TEST(abortReturnsTheInstanceUnderANewEpoch);
    CPPUNIT_TEST(budgetAndRackLimitMoves);
    CPPUNIT_TEST(gateFollowsMembership);
    CPPUNIT_TEST(lossDuringAMoveKeepsTheStepsConsistent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that changes its pool before its gate has acknowledged, or keeps its epoch.
    void moveRunsThroughItsSteps()
    {
        FoldLog log;
        log.startFleet();
        ASSERT_OK(log.observe("w1", "reports"));
        ASSERT_OK(log.observe("w2", "reports"));
        Section proposed("a proposed move closes the instance and keeps its pool");
        ASSERT_OK(log.move("m1", "w1", "accounts"));
        CPPUNIT_ASSERT(log.instance("w1").status == InstanceStatus::Closing);
        CPPUNIT_ASSERT_EQUAL(std::string("reports"), log.instance("w1").pool);
        ASSERT_CODE(ResultCode::WrongState, log.grant("m1"));
        {
            Section other("another move cannot take it");
            ASSERT_CODE(ResultCode::Conflict, log.move("m2", "w1", "accounts"));
            ASSERT_CODE(ResultCode::DuplicateRecord, log.move("m1", "w2", "accounts"));
        }
        {
            Section acknowledged("only the gate entries of the zone are waited for, each once");
            ASSERT_CODE(ResultCode::NothingToDo, log.acknowledge("m1", "e3"));
            ASSERT_OK(log.acknowledge("m1", "e1"));
            ASSERT_CODE(ResultCode::NothingToDo, log.acknowledge("m1", "e1"));
            ASSERT_CODE(ResultCode::WrongState, log.grant("m1"));
            ASSERT_OK(log.acknowledge("m1", "e2"));
            CPPUNIT_ASSERT(log.instance("w1").status == InstanceStatus::Closed);
        }
        {
            Section granted("the grant hands it to the new pool under the next epoch");
            ASSERT_OK(log.grant("m1"));
            CPPUNIT_ASSERT_EQUAL(std::string("accounts"), log.instance("w1").pool);
            CPPUNIT_ASSERT_EQUAL(std::string("reports"), log.instance("w1").homePool);
            CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, log.instance("w1").epoch);
            ASSERT_CODE(ResultCode::NothingToDo, log.grant("m1"));
            ASSERT_CODE(ResultCode::StaleEpoch, log.move("m3", "w1", "reports", 1));
        }
    }

    // Guards against an aborted move that leaves the instance closed or under an epoch that old records still match.
    void abortReturnsTheInstanceUnderANewEpoch()
    {
        FoldLog log;
        log.startFleet();
        ASSERT_OK(log.observe("w1", "reports"));
        ASSERT_OK(log.observe("w2", "reports"));
        ASSERT_OK(log.move("m1", "w1", "accounts"));
        ASSERT_OK(log.abort("m1"));
        CPPUNIT_ASSERT(log.instance("w1").available());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, log.instance("w1").epoch);
        ASSERT_CODE(ResultCode::NothingToDo, log.acknowledge("m1", "e1"));
        ASSERT_CODE(ResultCode::NothingToDo, log.grant("m1"));
        ASSERT_CODE(ResultCode::NothingToDo, log.abort("m1"));
    }

    // Guards against planned work that takes a pool below its minimum or works on two of its racks at once.
    void budgetAndRackLimitMoves()
    {
        FoldLog log;
        log.startFleet();
        ASSERT_OK(log.observe("w1", "reports", "north", "rack-1"));
        ASSERT_OK(log.observe("w2", "reports", "north", "rack-2"));
        ASSERT_OK(log.observe("w3", "reports", "north", "rack-1"));
        ASSERT_OK(log.observe("w4", "reports", "north", "rack-1"));
        {
            Section racks("a second rack waits for the first, the same rack does not");
            ASSERT_OK(log.move("m1", "w1", "accounts"));
            ASSERT_CODE(ResultCode::FailureDomainBusy, log.move("m2", "w2", "accounts"));
            ASSERT_OK(log.move("m3", "w3", "accounts"));
        }
        {
            Section loss("an unplanned loss lowers what is available at once");
            ASSERT_OK(log.lose("w2"));
            ASSERT_CODE(ResultCode::BudgetExceeded, log.move("m4", "w4", "accounts"));
            CPPUNIT_ASSERT_EQUAL(uint32_t { 1 }, availableInPool(log.state(), "reports"));
        }
        {
            Section place("the rack of an instance under work and the zone of one in service stay");
            ASSERT_CODE(ResultCode::Conflict, log.observe("w1", "reports", "north", "rack-9"));
            ASSERT_CODE(ResultCode::Conflict, log.observe("w4", "reports", "south", "rack-1"));
            ASSERT_CODE(ResultCode::Conflict, log.join("e1", 1, "south"));
        }
        {
            Section leaving("a leaving instance does not count either");
            ASSERT_OK(log.observe("w2", "reports", "north", "rack-2"));
            ASSERT_OK(log.lose("w2", true));
            ASSERT_CODE(ResultCode::BudgetExceeded, log.move("m5", "w4", "accounts"));
            ASSERT_CODE(ResultCode::WrongState, log.move("m6", "w2", "accounts"));
        }
    }

    // Guards against a closing that is blocked by an ended process, or that ends without the new boot's word.
    void gateFollowsMembership()
    {
        FoldLog log;
        log.startFleet();
        ASSERT_OK(log.observe("w1", "reports"));
        ASSERT_OK(log.observe("w2", "reports"));
        ASSERT_OK(log.move("m1", "w1", "accounts"));
        ASSERT_OK(log.acknowledge("m1", "e1"));
        {
            Section replaced("a new boot takes over what was expected of the former one");
            ASSERT_OK(log.join("e2", 2, "north"));
            CPPUNIT_ASSERT(log.instance("w1").status == InstanceStatus::Closing);
            ASSERT_CODE(ResultCode::StaleEpoch, log.acknowledge("m1", "e2", 1));
            ASSERT_CODE(ResultCode::StaleEpoch, log.join("e2", 1, "north"));
        }
        {
            Section removed("an entry that is known to have stopped is not waited for");
            ASSERT_CODE(ResultCode::InvalidRecord, log.code(records::removed("e2", 2, 0)));
            ASSERT_OK(log.code(records::removed("e2", 2)));
            CPPUNIT_ASSERT(log.instance("w1").status == InstanceStatus::Closed);
            ASSERT_OK(log.grant("m1"));
        }
    }

    // Guards against a grant or an abort that forgets a loss, and against reports of a loss from before the return.
    void lossDuringAMoveKeepsTheStepsConsistent()
    {
        FoldLog log;
        log.startFleet();
        ASSERT_OK(log.observe("w1", "reports"));
        ASSERT_OK(log.observe("w2", "reports"));
        ASSERT_OK(log.move("m1", "w1", "accounts"));
        ASSERT_OK(log.lose("w1"));
        ASSERT_OK(log.abort("m1"));
        CPPUNIT_ASSERT(!log.instance("w1").available());
        ASSERT_CODE(ResultCode::NothingToDo, log.lose("w1"));
        ASSERT_OK(log.observe("w1", "reports"));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, log.instance("w1").epoch);
        ASSERT_CODE(ResultCode::StaleEpoch, log.code(records::lost("w1", 2)));
        CPPUNIT_ASSERT(log.instance("w1").available());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldMovesTest);

} // namespace shallotdrift
