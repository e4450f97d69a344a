#include "FreeAddress.h"
#include "Section.h"

#include "shallotdrift/Http.h"
#include "shallotdrift/src/Node/Membership.h"
#include "shallotdrift/src/Node/OwnedPartition.h"
#include "standin/StoreStandIn.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

namespace {

    constexpr uint32_t partitions = 4;
    constexpr Milliseconds membershipTimeout { 400 };

    // A member of the group of owners, and the store. The store's responses to the member can be lost.
    struct MembershipHarness {
        enum class Store : uint8_t { Responds, LosesResponses, IsUnreachable, Refuses };

        MembershipHarness()
        {
            settings.storeAddress = freeAddress(io);
            settings.membershipTimeout = membershipTimeout;
            storeClient = std::make_unique<internal::StoreClient>(client, settings.storeAddress);
            context = std::make_unique<internal::NodeContext>(
                internal::NodeContext { io, deadlines, settings, client, client, client, *storeClient });
            server = std::make_unique<HttpServer>(io, deadlines, HttpServerOptions { settings.storeAddress },
                [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                    if (mode == Store::IsUnreachable)
                        return;
                    ++handled;
                    if (mode == Store::Refuses) {
                        respond({ 429 });
                        return;
                    }
                    store.handle(
                        request, mode == Store::Responds ? std::move(respond) : [](HttpResponse&&) {});
                });
            handleError([&] { return server->start(); }, [](const Error& error) { CPPUNIT_FAIL(error.message); });
            membership = std::make_unique<internal::Membership>(*context,
                internal::Membership::Callbacks {
                    [this](uint32_t partition, uint64_t generation) { owned[partition] = generation; },
                    [this](uint32_t partition) {
                        owned.erase(partition);
                        ++revocations;
                    } });
            membership->start();
        }

        template <typename Condition> void runUntil(Condition&& condition)
        {
            auto end = BootClock::now() + Milliseconds { 10000 };
            while (!condition()) {
                CPPUNIT_ASSERT(BootClock::now() < end);
                io.run_for(Milliseconds { 5 });
                store.poll(BootClock::now());
            }
        }

        void runFor(Milliseconds time)
        {
            auto end = BootClock::now() + time;
            runUntil([&] { return BootClock::now() >= end; });
        }

        // Joins or leaves as another member, whose path to the store is not disturbed. Returns what it owns.
        size_t otherMember(const HttpRequest& request)
        {
            HttpMessage message;
            message.method = request.method;
            message.target = request.target;
            message.body = request.body;
            size_t count = 0;
            store.handle(message, [&](HttpResponse&& response) {
                HttpMessage answer;
                answer.status = response.status;
                answer.body = std::move(response.body);
                count = platform::parseJoinGroupResponse(answer).partitions.size();
            });
            return count;
        }

        asio::io_context io { 1 };
        DeadlineQueue deadlines { io };
        HttpClient client { io, deadlines, HttpClientOptions {} };
        NodeSettings settings;
        standin::StoreStandIn store { partitions };
        Store mode = Store::Responds;
        size_t handled = 0; // requests of the member that had an effect
        std::map<uint32_t, uint64_t> owned; // partition -> generation at which it was assigned
        size_t revocations = 0;
        std::unique_ptr<internal::StoreClient> storeClient;
        std::unique_ptr<internal::NodeContext> context;
        std::unique_ptr<HttpServer> server;
        std::unique_ptr<internal::Membership> membership;
    };

} // namespace

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(expiredOwnershipIsNotContinued);
    CPPUNIT_TEST(unknownJobsAreDeniedOnlyByAConfirmedOwner);
    CPPUNIT_TEST(jobsAreNotTakenByAnotherConfigurationThanTheRouters);
    CPPUNIT_TEST(ownersAreReadLessOftenWhileTheStoreRefuses);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an owner that goes on with its old state after another member has owned its partitions: it
    // answered that it did not know a job which the other one had accepted, so the job's cancellation had no effect. A
    // join whose response was lost had assigned the partitions to it again.
    void expiredOwnershipIsNotContinued()
    {
        using Store = MembershipHarness::Store;
        MembershipHarness harness;
        harness.runUntil([&] { return harness.owned.size() == partitions; });
        auto first = harness.owned;
        {
            Section section("a short loss of the store changes nothing");
            harness.mode = Store::LosesResponses;
            harness.runFor(Milliseconds { 100 });
            harness.mode = Store::Responds;
            harness.runFor(Milliseconds { 1000 });
            CPPUNIT_ASSERT(harness.owned == first);
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, harness.revocations);
        }
        platform::GroupMember other { "owners", "127.0.0.1:1-0", { internal::Membership::stateTopic() },
            Milliseconds { 60000 }, 0 };
        harness.mode = Store::IsUnreachable;
        harness.runFor(2 * membershipTimeout);
        CPPUNIT_ASSERT_EQUAL(size_t { partitions }, harness.otherMember(platform::joinGroupRequest(other)));
        harness.otherMember(platform::leaveGroupRequest(other));
        harness.mode = Store::LosesResponses;
        auto handled = harness.handled;
        harness.runUntil([&] { return harness.handled > handled; });
        harness.mode = Store::Responds;
        harness.runUntil([&] { return harness.revocations == partitions && harness.owned.size() == partitions; });
        for (const auto& [partition, generation] : harness.owned)
            CPPUNIT_ASSERT(generation > first.at(partition));
    }

    // Guards against 404 for a queue that the owner has not heard of yet, and against jobs of a service that another
    // instance owns, because the router and the owner read the queue in different configurations.
    void jobsAreNotTakenByAnotherConfigurationThanTheRouters()
    {
        MembershipHarness harness;
        harness.runUntil([&] { return harness.owned.size() == partitions; });
        auto partition = [](const std::string& service) { return internal::partitionOf(service, partitions); };
        const std::string service = "reports";
        std::string other = "reports-0";
        for (int i = 1; partition(other) == partition(service); ++i)
            other = "reports-" + std::to_string(i);
        auto configure = [&](uint64_t version, const std::string& renderService) {
            platform::Configuration configuration;
            configuration.version = version;
            for (const auto& name : { service, other })
                configuration.services[name] = { name, true, false };
            if (!renderService.empty()) {
                QueueConfiguration queue;
                queue.name = "render";
                queue.service = renderService;
                configuration.queues["render"] = queue;
            }
            harness.context->configuration = std::make_shared<const platform::Configuration>(configuration);
        };
        configure(5, "");
        harness.settings.storePartitions = partitions;
        auto number = partition(service);
        auto owner
            = std::make_shared<internal::OwnedPartition>(*harness.context, number, harness.owned.at(number), [] {});
        owner->start();
        harness.runUntil([&] { return owner->active(); });
        auto submit = [&](const char* job, uint64_t routerVersion) {
            std::optional<unsigned> status;
            internal::OwnerRequest request { internal::OwnerRequest::Type::Submit, "render", job,
                R"({"Spec":"x","Steps":[{"Count":1,"Cpu":100,"MemMb":10}]})" };
            request.configurationVersion = routerVersion;
            owner->handle(std::move(request), [&](HttpResponse&& response) { status = response.status; });
            harness.runUntil([&] { return status.has_value(); });
            return *status;
        };
        {
            Section section("a queue that only the router knows is asked for again");
            CPPUNIT_ASSERT_EQUAL(421U, submit("000000000000000a", 6));
            CPPUNIT_ASSERT_EQUAL(404U, submit("000000000000000a", 5));
        }
        {
            Section section("a queue of a service that has another owner takes no job");
            configure(7, other);
            CPPUNIT_ASSERT_EQUAL(421U, submit("000000000000000a", 6));
            CPPUNIT_ASSERT_EQUAL(421U, submit("000000000000000a", 7));
            CPPUNIT_ASSERT(owner->services().count(other) == 0);
        }
        Section section("both agree");
        configure(8, service);
        CPPUNIT_ASSERT_EQUAL(200U, submit("000000000000000a", 8));
    }

    // Guards against reads of the owners that use up the limit which the reads of the configuration share.
    void ownersAreReadLessOftenWhileTheStoreRefuses()
    {
        using Store = MembershipHarness::Store;
        MembershipHarness harness;
        harness.runUntil([&] { return harness.owned.size() == partitions; });
        harness.mode = Store::Refuses;
        auto path = platform::partitionOwnersRequest({}).target;
        path.resize(path.find('?'));
        auto refused = [&] { return harness.storeClient->requestCounts().at(path).refused; };
        auto begin = refused();
        auto end = BootClock::now() + Milliseconds { 3000 };
        harness.runUntil([&] {
            harness.membership->refreshOwners(); // as a request that waits for its owner does
            return BootClock::now() >= end;
        });
        CPPUNIT_ASSERT(refused() > begin);
        CPPUNIT_ASSERT(refused() - begin <= 6); // 25 at the least interval
        Section section("and soon again when it serves");
        harness.mode = Store::Responds;
        auto sent = [&] { return harness.storeClient->requestCounts().at(path).sent; };
        auto sentBefore = sent();
        harness.runFor(Milliseconds { 1700 });
        harness.membership->refreshOwners();
        CPPUNIT_ASSERT(sent() > sentBefore);
    }

    // Guards against a cancellation without effect: the store had assigned a partition anew, and its former owner,
    // which had not heard of that yet, answered that it did not know a job that the next owner had accepted.
    void unknownJobsAreDeniedOnlyByAConfirmedOwner()
    {
        using Store = MembershipHarness::Store;
        MembershipHarness harness;
        harness.runUntil([&] { return harness.owned.size() == partitions; });
        auto [number, generation] = *harness.owned.begin();
        auto owner = std::make_shared<internal::OwnedPartition>(*harness.context, number, generation, [] {});
        owner->start();
        harness.runUntil([&] { return owner->active(); });
        auto cancel = [&] {
            std::optional<unsigned> status;
            owner->handle({ internal::OwnerRequest::Type::Cancel, "render", "000000000000000a", {} },
                [&](HttpResponse&& response) { status = response.status; });
            harness.runUntil([&] { return status.has_value(); });
            return *status;
        };
        CPPUNIT_ASSERT_EQUAL(410U, cancel());
        harness.mode = Store::IsUnreachable;
        CPPUNIT_ASSERT_EQUAL(421U, cancel());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace shallotdrift
