#include "Section.h"

#include "shallotdrift/Jobs.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>
#include <tuple>

namespace shallotdrift {

namespace {

    constexpr char jobId[] = "5c0e7a21d94b36f8";
    constexpr size_t maximumRecordBytes = 900;
    constexpr Milliseconds interval { 1000 };

    using Store = std::map<std::string, std::string>;

    // What a new owner has to know of a task, so that it does not run twice.
    struct TaskFacts {
        bool completed = false;
        uint32_t runNumber = 0;
        std::string worker;
        std::string checkpoint;
        std::vector<uint32_t> failedRuns;
        bool operator==(const TaskFacts& other) const
        {
            return completed == other.completed && runNumber == other.runNumber && worker == other.worker
                && checkpoint == other.checkpoint && failedRuns == other.failedRuns;
        }
    };
    // Of the open occurrences, by occurrence, step and index; without the job: empty.
    using Facts = std::map<std::tuple<uint32_t, uint32_t, uint32_t>, TaskFacts>;

    Facts factsOf(std::optional<Job>& job)
    {
        Facts facts;
        if (job && (job->active() || job->hasRuns()))
            job->forEachTask([&](const TaskId& id, JobTask& task) {
                facts[{ id.occurrence, id.step, id.index }] = { task.state == TaskState::Completed, task.runNumber,
                    task.worker, task.checkpoint, task.failedRuns };
            });
        return facts;
    }

    // Reads the job as a new owner does; nullopt if its specification is not stored.
    std::optional<Job> readJob(const Store& store)
    {
        std::string spec;
        Job::StateParts state;
        for (const auto& [key, value] : store) {
            auto parsed = parseJobKey(key);
            CPPUNIT_ASSERT_EQUAL(std::string(jobId), parsed.job);
            (parsed.statePart ? state[*parsed.statePart] : spec) = value;
        }
        if (spec.empty()) {
            Job ended(jobId, {}, {}, {}, WallTime {}, 1);
            CPPUNIT_ASSERT(state.empty() || ended.decodeState(state));
            return std::nullopt;
        }
        auto job = Job::decodeSpec(jobId, spec);
        CPPUNIT_ASSERT(job);
        CPPUNIT_ASSERT(state.empty() || job->decodeState(state));
        return job;
    }

    void apply(Store& store, const StateRecord& record)
    {
        if (record.value.empty())
            store.erase(record.key);
        else
            store[record.key] = record.value;
    }

    Job makeJob(uint32_t occurrences, uint32_t tasks)
    {
        JobSpec spec;
        spec.occurrences = occurrences;
        spec.interval = interval;
        spec.steps.resize(2);
        for (auto& step : spec.steps)
            step.count = tasks;
        return { jobId, "render", "reports", std::move(spec), WallTime {}, 3 };
    }

    // Changes a quarter of the tasks. The running ones among them are completed with the given probability.
    void changeTasks(Job& job, std::mt19937_64& random, double completion, WallTime now)
    {
        std::vector<TaskId> completed;
        job.forEachTask([&](const TaskId& id, JobTask& task) {
            if (task.state == TaskState::Completed || random() % 4 != 0)
                return;
            job.dirty = true;
            if (task.worker.empty()) {
                ++task.runNumber;
                task.state = TaskState::Placed;
                task.worker = fmt::format("worker-{}", random() % 100);
            } else if (std::bernoulli_distribution(completion)(random))
                completed.push_back(id);
            else if (random() % 3 != 0)
                task.checkpoint = std::string(random() % 60, 'c');
            else {
                task.failedRuns.push_back(task.runNumber);
                task.worker.clear();
                task.state = TaskState::Waiting;
            }
        });
        for (const auto& id : completed)
            job.markCompleted(id, now);
        job.openDueOccurrences(now);
    }

} // namespace

class JobRecordsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobRecordsTest);
    CPPUNIT_TEST(keysOfPartsAreRecognized);
    CPPUNIT_TEST(statesOfOnePartKeepTheirFormat);
    CPPUNIT_TEST(checkpointsThatFitNoRecordAreLeftOut);
    CPPUNIT_TEST(ownersMayBeLostAfterEachRecord);
    CPPUNIT_TEST_SUITE_END();

public:
    void keysOfPartsAreRecognized()
    {
        CPPUNIT_ASSERT(!parseJobKey(jobId).statePart);
        for (uint32_t part : { 0, 1, 12 }) {
            auto key = parseJobKey(stateKey(jobId, part));
            CPPUNIT_ASSERT_EQUAL(std::string(jobId), key.job);
            CPPUNIT_ASSERT(key.statePart == part);
        }
        for (const char* key : { "unresponsive/a~1", "a~x", "a~1234567" })
            CPPUNIT_ASSERT(!parseJobKey(key).statePart);
    }

    // Guards against an upgrade or a return to an earlier version that cannot read the jobs. Columns are only ever
    // added behind those of the format before; the older bytes are those of commit 05f8cc3.
    void statesOfOnePartKeepTheirFormat()
    {
        auto job = makeJob(0, 2);
        auto* task = job.findTask({ jobId, 0, 1, 1 });
        task->runNumber = 2;
        task->state = TaskState::Placed;
        task->worker = "w1";
        task->checkpoint = "c";
        task->failedRuns = { 1 };
        job.setPlaced();
        job.setStarted();
        task->startNumber = 5;
        std::string older("\x98\x01\x00\x00\xc3\x01\x00\x91\x00\x91\x99\x00\x01\x01\xc2\x02\x01\xa2"
                          "w1\xa1"
                          "c\x91\x01",
            24);
        std::string expected("\x99\x01\x00\x00\xc3\x01\x00\x91\x00\x91\x9a\x00\x01\x01\xc2\x02\x01\xa2"
                             "w1\xa1"
                             "c\x91\x01\x05\xc3",
            26);
        auto parts = job.encodeState(maximumRecordBytes);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, parts.size());
        CPPUNIT_ASSERT(expected == parts.front());
        for (const auto& bytes : { older, expected }) {
            auto decoded = makeJob(0, 2);
            CPPUNIT_ASSERT(decoded.decodeState(bytes));
            CPPUNIT_ASSERT_EQUAL(std::string("w1"), decoded.findTask({ jobId, 0, 1, 1 })->worker);
        }
    }

    void checkpointsThatFitNoRecordAreLeftOut()
    {
        auto job = makeJob(0, 2);
        job.forEachTask([](const TaskId&, JobTask& task) {
            task.runNumber = 1;
            task.checkpoint = std::string(2 * maximumRecordBytes, 'c');
        });
        auto parts = job.encodeState(maximumRecordBytes);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, parts.size());
        CPPUNIT_ASSERT(parts.front().size() <= maximumRecordBytes);
        auto restored = makeJob(0, 2);
        CPPUNIT_ASSERT(restored.decodeState(parts.front()));
        restored.forEachTask([](const TaskId&, JobTask& task) { CPPUNIT_ASSERT_EQUAL(1U, task.runNumber); });
    }

    // Guards against tasks that run twice since the owner was lost between two appends: each task has to have either
    // its earlier or its later state, also if it has moved to another part or its occurrence has been closed in
    // between.
    void ownersMayBeLostAfterEachRecord()
    {
        size_t splitStates = 0;
        size_t closedWhileSplit = 0;
        for (uint64_t seed = 1; seed <= 60; ++seed) {
            Section section(fmt::format("seed {}", seed));
            std::mt19937_64 random(seed);
            std::optional<Job> job = makeJob(seed % 2 == 0 ? 6 : 0, seed % 3 == 0 ? 12 : 25);
            Store store;
            WallTime now {};
            for (int cycle = 0; job; ++cycle) {
                CPPUNIT_ASSERT(cycle < 100);
                auto open = job->openOccurrences().size();
                now += interval / 4;
                changeTasks(*job, random, seed % 2 == 0 ? 0.8 : 0.2, now);
                if (cycle >= 38) { // the job is cancelled, and its runs are stopped
                    if (job->active())
                        job->setStatus(JobStatus::Cancelled, now);
                    job->forEachTask([](const TaskId&, JobTask& task) { task.worker.clear(); });
                }
                std::vector<StateRecord> records;
                addChangedRecords(*job, maximumRecordBytes, records);
                splitStates += records.size() > 2 ? 1 : 0;
                closedWhileSplit += records.size() > 2 && job->openOccurrences().size() < open ? 1 : 0;
                job = storeRecords(store, records, std::move(job), random);
            }
            CPPUNIT_ASSERT(!job);
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, store.size());
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, store.count(stateKey(jobId)));
        }
        CPPUNIT_ASSERT(splitStates > 200);
        CPPUNIT_ASSERT(closedWhileSplit > 20);
    }

private:
    // Stores the records one by one, checks what a new owner would read after each of them, and returns the job as its
    // owner has it then: at times a new one, since the earlier owner was lost after one of the records.
    static std::optional<Job> storeRecords(
        Store& store, const std::vector<StateRecord>& records, std::optional<Job> job, std::mt19937_64& random)
    {
        auto earlierJob = readJob(store);
        auto earlier = factsOf(earlierJob);
        auto later = factsOf(job);
        auto lostAfter = random() % 4 == 0 ? random() % (records.size() + 1) : records.size();
        for (size_t i = 0; i < records.size(); ++i) {
            CPPUNIT_ASSERT(1 + records[i].key.size() + records[i].value.size() <= maximumRecordBytes);
            if (i == lostAfter && !store.empty())
                return readJob(store);
            apply(store, records[i]);
            auto storedJob = readJob(store);
            auto stored = factsOf(storedJob);
            for (const auto& [id, facts] : stored)
                CPPUNIT_ASSERT((earlier.count(id) != 0 && earlier.at(id) == facts)
                    || (later.count(id) != 0 && later.at(id) == facts) || (earlier.empty() && facts.runNumber == 0));
            for (const auto& [id, facts] : earlier)
                CPPUNIT_ASSERT(later.count(id) == 0 || stored.count(id) != 0);
            if (i + 1 == records.size())
                CPPUNIT_ASSERT(later == stored);
        }
        return readJob(store) ? std::move(job) : std::nullopt;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRecordsTest);

} // namespace shallotdrift
