#include "Section.h"

#include "shallotdrift/src/Node/ConfigurationCheck.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

namespace {

    QueueConfiguration makeQueue(
        const std::string& name, const std::string& path, const std::string& service = "reports")
    {
        QueueConfiguration queue;
        queue.name = name;
        queue.host = "reports.example";
        queue.pathPrefix = path;
        queue.service = service;
        return queue;
    }

    platform::Configuration makeConfiguration()
    {
        platform::Configuration configuration;
        configuration.version = 3;
        configuration.queues["render"] = makeQueue("render", "/render/");
        configuration.services["reports"] = { "reports", true, false };
        configuration.services["office"] = { "office", true, true };
        configuration.hasAccounts = true;
        configuration.accounts["team"] = { "team", { 8000, 16000, 0 }, 5 };
        configuration.keys.add("first", "team");
        return configuration;
    }

    // Number of findings whose text contains the words.
    size_t count(const platform::Configuration& configuration, const std::string& words)
    {
        auto findings = internal::checkConfiguration(configuration);
        return static_cast<size_t>(std::count_if(findings.begin(), findings.end(),
            [&](const auto& finding) { return finding.text.find(words) != std::string::npos; }));
    }

} // namespace

class ConfigurationCheckTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationCheckTest);
    CPPUNIT_TEST(entriesThatCanNeverMatchAreFound);
    CPPUNIT_TEST(accountsAndLimitsAreChecked);
    CPPUNIT_TEST(changesAgainstTheVersionInForceAreListed);
    CPPUNIT_TEST(malformedEntriesAreNamed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sending a configuration with queues that get no request or whose jobs run nowhere.
    void entriesThatCanNeverMatchAreFound()
    {
        auto configuration = makeConfiguration();
        CPPUNIT_ASSERT(internal::checkConfiguration(configuration).empty());
        configuration.queues["twin"] = makeQueue("twin", "/render/");
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "queue twin can never match"));
        configuration.queues["part"] = makeQueue("part", "/render/ab");
        CPPUNIT_ASSERT(count(configuration, "misses jobs whose ids begin with ab") >= 1);
        configuration.queues["lost"] = makeQueue("lost", "/lost/", "nowhere");
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "there is no service nowhere"));
        configuration.queues["idle"] = makeQueue("idle", "/idle/", "office");
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "standby pool, which runs nothing"));
        configuration.services["spare"] = { "spare", true, false };
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "service spare has no queue"));
    }

    // Guards against keys that admit nobody, accounts that cannot call, and limits that no job fits.
    void accountsAndLimitsAreChecked()
    {
        auto configuration = makeConfiguration();
        configuration.accounts["other"] = { "other", { 8000, 0, 0 }, 0 };
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "account other has no key"));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "account other has no share"));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "only one of cores and memory"));
        configuration.keys.add("first", "other");
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "held by several accounts"));
        configuration.queues["render"].isPublic = true;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "no key is ever asked for"));
        configuration.limits.maximumBodyBytes = 100;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, count(configuration, "bodies are limited to 100 bytes"));
    }

    void changesAgainstTheVersionInForceAreListed()
    {
        auto inForce = makeConfiguration();
        auto next = makeConfiguration();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, internal::compareConfigurations(inForce, next).size());
        next.version = 4;
        CPPUNIT_ASSERT(internal::compareConfigurations(inForce, next).empty());
        next.keys.add("second", "team");
        next.accounts["team"].quota.milliCores = 4000;
        next.queues["render"].priority = 2;
        next.services.erase("office");
        auto changes = internal::compareConfigurations(inForce, next);
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, changes.size());
        for (const auto& change : changes)
            CPPUNIT_ASSERT(change.find("second") == std::string::npos);
        CPPUNIT_ASSERT(std::find(changes.begin(), changes.end(), "account team: 1 keys are added") != changes.end());
    }

    void malformedEntriesAreNamed()
    {
        auto configuration = platform::decodeConfigurationText(
            R"({"Version":1,"Routes":[{"Name":"a","Service":"s"},{"Name":7}],"Services":[{"Name":"s"}],)"
            R"("Tenants":[{"Name":"t","ApiKeys":["k","k\u0001"]},{"Name":"u","MaxCount":{"Cpu":-1}}]})");
        CPPUNIT_ASSERT(configuration);
        CPPUNIT_ASSERT(configuration->rejections
            == (std::vector<std::string> { "Routes[1]", "a key of Tenants[0]", "Tenants[1]" }));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, configuration->keys.size());
        CPPUNIT_ASSERT(!platform::decodeConfigurationText("[]"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCheckTest);

} // namespace shallotdrift
