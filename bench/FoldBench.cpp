// Prints the speed of the fold and the size of its state and snapshots, one figure a line.
#include "shallotdrift/Base.h"
#include "shallotdrift/Fold.h"

#include "../test/TestFleet.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <unistd.h>

namespace shallotdrift {

static constexpr int64_t startMilliseconds = 1700000000000;
static constexpr size_t recordsPerBatch = 16;

struct FleetSize {
    std::string name;
    size_t instances = 0;
    size_t pools = 0;
    size_t entries = 8;
    size_t zones = 4;
};

// Writes the records of a fleet in batches, as the entries' log writers do.
class RecordStream {
public:
    explicit RecordStream(FleetSize size)
        : size_(std::move(size))
        , sequences_(size_.entries)
    {
    }

    std::vector<std::string> start()
    {
        for (size_t i = 0; i < size_.entries; ++i) {
            auto& joined = *record(i).mutable_entry_joined();
            joined.set_entry(entry(i));
            joined.set_boot(1);
            joined.set_zone(zone(i));
            joined.set_peer_address("10.0.0.1:7000");
        }
        TestFleet fleet;
        fleet.zones.clear();
        for (size_t i = 0; i < size_.zones; ++i)
            fleet.zones.push_back(zone(i));
        fleet.pools.clear();
        for (size_t i = 0; i < size_.pools; ++i)
            fleet.pools[pool(i)] = 1;
        auto& configuration = *record(0).mutable_configuration_proposed();
        configuration.set_ini(fleet.ini());
        configuration.set_author("ana");
        for (size_t i = 0; i < size_.instances; ++i)
            addInstance(i);
        return take();
    }

    std::vector<std::string> keys(size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            addKey();
        return take();
    }

    // Half of the records are of keys; the rest are moves with their acknowledgements, repeated sights of instances
    // and writer times. Every fourth record is refused.
    std::vector<std::string> mixed(size_t records)
    {
        size_t target = records + pending_;
        for (size_t i = 0; pending_ < target; ++i) {
            for (int key = 0; key < 4; ++key)
                addKey();
            addMove(i);
            for (size_t sight = 0; sight < 4; ++sight)
                addInstance((i + sight) % size_.instances);
            record(i % size_.entries).mutable_writer_time();
        }
        return take();
    }

private:
    static std::string zone(size_t i) { return fmt::format("zone-{}", i % 4); }
    std::string pool(size_t i) const { return fmt::format("pool-{:03}", i % size_.pools); }
    static std::string entry(size_t i) { return fmt::format("entry-{}", i); }
    static std::string instance(size_t i) { return fmt::format("worker-{:04}", i); }

    proto::Record& record(size_t writer)
    {
        if (batches_.empty() || batches_.back().records_size() >= static_cast<int>(recordsPerBatch))
            batches_.emplace_back();
        auto& added = *batches_.back().add_records();
        ++pending_;
        added.mutable_id()->set_writer(entry(writer));
        added.mutable_id()->set_boot(1);
        added.mutable_id()->set_sequence(++sequences_[writer]);
        added.set_written_ms(startMilliseconds);
        added.set_actor("entry:" + entry(writer));
        return added;
    }

    void addInstance(size_t i)
    {
        auto& observed = *record(i % size_.entries).mutable_instance_observed();
        observed.set_instance(instance(i));
        observed.set_address(fmt::format("10.1.{}.{}:8080", i / 250, i % 250));
        observed.set_zone(zone(i / size_.pools));
        observed.set_rack(zone(i / size_.pools) + "-rack-" + std::to_string(i / 16));
        observed.set_pool(pool(i));
        observed.mutable_shape()->set_cores(16);
        observed.mutable_shape()->set_memory_mb(65536);
        observed.mutable_shape()->set_slots(8);
    }

    void addKey()
    {
        size_t writer = keys_++ % size_.entries;
        auto key = fmt::format("{}-{:08x}{:08x}", startMilliseconds + static_cast<int64_t>(keys_ / 10), keys_, 77);
        auto& intent = *record(writer).mutable_key_intent();
        intent.set_key(key);
        intent.set_digest(keys_ * 1000003);
        intent.set_kind("issue");
        intent.set_owner(entry(writer));
        intent.set_owner_boot(1);
        auto& outcome = *record(writer).mutable_key_outcome();
        outcome.set_key(key);
        outcome.set_owner_boot(1);
        outcome.set_outcome(proto::KeyOutcome::RAN);
        outcome.set_receipt(std::string(64, 'r'));
    }

    // A move that is proposed, acknowledged by the zone's two entries and granted or refused.
    void addMove(size_t i)
    {
        size_t worker = i % size_.instances;
        auto id = fmt::format("move-{}", i);
        auto& proposed = *record(0).mutable_move_proposed();
        proposed.set_move_id(id);
        proposed.set_instance(instance(worker));
        proposed.set_expected_epoch(1 + i / size_.instances);
        proposed.set_to_pool(pool(worker + 1 + i / size_.instances));
        size_t zoneIndex = (worker / size_.pools) % size_.zones;
        for (size_t member = zoneIndex; member < size_.entries; member += size_.zones) {
            auto& acknowledged = *record(member).mutable_close_acknowledged();
            acknowledged.set_operation_id(id);
            acknowledged.set_entry(entry(member));
            acknowledged.set_boot(1);
        }
        record(0).mutable_move_granted()->set_move_id(id);
    }

    std::vector<std::string> take()
    {
        std::vector<std::string> payloads;
        payloads.reserve(batches_.size());
        for (const auto& batch : batches_)
            payloads.push_back(batch.SerializeAsString());
        batches_.clear();
        pending_ = 0;
        return payloads;
    }

    FleetSize size_;
    std::vector<uint64_t> sequences_;
    std::vector<proto::RecordBatch> batches_;
    size_t pending_ = 0;
    size_t keys_ = 0;
};

static size_t residentBytes()
{
    malloc_trim(0);
    std::ifstream statm("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

struct FoldCount {
    size_t records = 0;
    size_t accepted = 0;
};

static FoldCount foldAll(Fold& fold, const std::vector<std::string>& payloads)
{
    FoldCount count;
    for (const auto& payload : payloads) {
        auto folded = fold.apply(fold.offset() + 1, payload).value();
        count.records += folded.size();
        for (const auto& item : folded)
            count.accepted += item.verdict.code == ResultCode::Ok ? 1 : 0;
    }
    return count;
}

static double secondsSince(Instant start) { return std::chrono::duration<double>(BootClock::now() - start).count(); }

static void printSize(const std::string& name, const Fold& fold)
{
    auto start = BootClock::now();
    auto snapshot = fold.snapshot();
    std::cout << name << " snapshot bytes: " << snapshot.size() << "\n";
    std::cout << name << " snapshot encode ms: " << secondsSince(start) * 1000 << "\n";
    start = BootClock::now();
    auto loaded = Fold::fromSnapshot(snapshot);
    std::cout << name << " snapshot load ms: " << secondsSince(start) * 1000 << (loaded ? "" : " (refused)") << "\n";
}

static void measure(const FleetSize& size, size_t keys)
{
    auto name = fmt::format("{}, {} keys,", size.name, keys);
    RecordStream stream(size);
    auto startPayloads = stream.start();
    auto keyPayloads = stream.keys(keys);
    auto before = residentBytes();
    Fold fold;
    foldAll(fold, startPayloads);
    foldAll(fold, keyPayloads);
    std::cout << name << " resident bytes of the state: " << residentBytes() - before << "\n";
    printSize(name, fold);
}

static void measureSpeed(const FleetSize& size)
{
    constexpr size_t records = 200000;
    RecordStream stream(size);
    Fold fold;
    foldAll(fold, stream.start());
    foldAll(fold, stream.keys(10000));
    auto payloads = stream.mixed(records);
    auto start = BootClock::now();
    auto count = foldAll(fold, payloads);
    auto perSecond = static_cast<double>(count.records) / secondsSince(start);
    std::cout << size.name << " records folded per second: " << static_cast<uint64_t>(perSecond) << "\n";
    std::cout << size.name << " accepted percent: " << 100 * count.accepted / count.records << "\n";
    printSize(size.name + ", after the run,", fold);
}

} // namespace shallotdrift

int main()
{
    using namespace shallotdrift; // NOLINT(google-build-using-namespace): names of the benchmark itself
    const FleetSize today { "50 instances, 5 pools", 50, 5, 8, 4 };
    const FleetSize inTwoYears { "730 instances, 125 pools", 730, 125, 8, 4 };
    for (const auto& size : { today, inTwoYears }) {
        measure(size, 0);
        measure(size, 10000);
        measureSpeed(size);
    }
    return EXIT_SUCCESS;
}
