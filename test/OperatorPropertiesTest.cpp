#include "FoldAccess.h"
#include "Story.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace shallotdrift {

static const std::vector<std::string> pools { "reports", "archive", "accounts" };

static rc::Gen<std::string> poolOrNone()
{
    return rc::gen::element<std::string>("", "reports", "archive", "accounts", "nowhere");
}

// Text of a step as an operator could write it; not every one is valid.
static std::string arbitraryStep(int number)
{
    auto text = fmt::format("[step {}]\n", number);
    auto add = [&](const std::string& key, const std::string& value) {
        if (!value.empty())
            text += key + " = " + value + "\n";
    };
    auto action = *rc::gen::element<std::string>("lend", "lend", "return", "drain", "wave");
    add("action", action);
    if (action == "lend") {
        add("from", *poolOrNone());
        add("to", *rc::gen::element<std::string>("reports", "archive", "accounts"));
        add("count", std::to_string(*rc::gen::inRange(1, 6)));
        return text;
    }
    add("pool", *poolOrNone());
    if (action != "return") {
        add("zone", *rc::gen::element<std::string>("", "za", "zb"));
        add("max_parallel", std::to_string(*rc::gen::inRange(0, 3)));
    }
    return text;
}

static void fillArbitraryFleet(SharedLog& log)
{
    log.join("e1", "za");
    log.join("e2", "zb");
    std::string ini = "[zone za]\nregion = r\n[zone zb]\nregion = r\n";
    for (const auto& pool : pools)
        ini += fmt::format("[pool {}]\nminimum_available = {}\nspare = {}\nborrows = {}\n", pool,
            *rc::gen::inRange(0, 5), pool == "accounts" ? "yes" : "no", *rc::gen::element("yes", "yes", "no"));
    log.configure(ini);
    auto count = *rc::gen::inRange(1, 16);
    for (int i = 0; i < count; ++i)
        log.observe(fmt::format("w-{:02}", i), *rc::gen::elementOf(pools), *rc::gen::element("za", "zb"),
            fmt::format("rack-{}", *rc::gen::inRange(0, 4)));
}

static proto::ChangeReply invoke(OperatorHandler& handler, const std::string& changeId)
{
    proto::InvokeRequest request;
    *request.mutable_change() = changeBy("ana", changeId);
    request.set_name("entry");
    return handler.invoke(request);
}

// Proposes and approves an entry of arbitrary steps. False when the entry is refused.
static bool approveArbitraryEntry(OperatorHandler& handler, uint64_t version)
{
    proto::ProposeHandbookRequest proposal;
    *proposal.mutable_change() = changeBy("ana", fmt::format("p-{}", version));
    proposal.set_name("entry");
    proposal.set_expected_version(version);
    std::string ini = "[handbook]\ntitle = t\nwhen = w\n";
    auto steps = *rc::gen::inRange(1, 4);
    for (int i = 1; i <= steps; ++i)
        ini += arbitraryStep(i);
    proposal.set_ini(ini);
    proto::ReviewHandbookRequest review;
    *review.mutable_change() = changeBy("bea", fmt::format("r-{}", version));
    review.set_name("entry");
    review.set_version(version + 1);
    review.set_approved(true);
    return handler.proposeHandbook(proposal).result_code() == 0 && handler.reviewHandbook(review).result_code() == 0;
}

static void checkInvocation(OperatorHandler& handler, SharedLog& log, const std::string& changeId)
{
    proto::RehearseRequest request;
    request.set_name("entry");
    const auto before = log.fold.snapshot();
    const auto rehearsal = handler.rehearse(request);
    RC_ASSERT(log.fold.snapshot() == before);
    std::map<std::string, uint32_t> available;
    for (const auto& pool : pools)
        available[pool] = log.available(pool);
    const auto reply = invoke(handler, changeId);
    RC_ASSERT(reply.steps_size() == rehearsal.steps_size());
    for (int i = 0; i < reply.steps_size(); ++i) {
        RC_ASSERT(reply.steps(i).action() == rehearsal.steps(i).action());
        RC_ASSERT(reply.steps(i).result_code() == rehearsal.steps(i).result_code());
    }
    for (const auto& budget : rehearsal.budgets())
        RC_ASSERT(budget.available_after() >= std::min(budget.minimum(), budget.available_before()));
    for (const auto& pool : pools) {
        auto minimum = log.fold.state().configuration.pools.at(pool).minimumAvailable;
        RC_ASSERT(log.available(pool) >= std::min(minimum, available[pool]));
    }
    const auto after = log.fold.snapshot();
    const auto repeated = invoke(handler, changeId);
    bool anyAccepted = reply.result_code() == 0;
    RC_ASSERT(!anyAccepted || (log.fold.snapshot() == after && repeated.result_code() == 0));
}

class OperatorPropertiesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperatorPropertiesTest);
    CPPUNIT_TEST(invocationsDoWhatTheirRehearsalsShow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against plans that differ from their rehearsal, break a budget or act twice, on fleets nobody thought of.
    void invocationsDoWhatTheirRehearsalsShow()
    {
        int invocations = 0;
        bool held = rc::check("an invocation does what its rehearsal shows, once", [&] {
            SharedLog log;
            FoldAccess access(log);
            OperatorHandler handler(access);
            fillArbitraryFleet(log);
            uint64_t version = 0;
            for (int round = 0; round < 3; ++round) {
                if (!approveArbitraryEntry(handler, version))
                    continue;
                ++version;
                ++invocations;
                checkInvocation(handler, log, fmt::format("c-{}", round));
                log.finishMoves();
            }
        });
        CPPUNIT_ASSERT(held);
        CPPUNIT_ASSERT(invocations > 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorPropertiesTest);

} // namespace shallotdrift
