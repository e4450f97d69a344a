#include "Names.h"
#include "SnapshotFormat.h"
#include "SnapshotRules.h"
#include "TaskSpec.h"

namespace shallotdrift::internal {

// Collects the first mistake of a snapshot.
class SnapshotDecoder {
public:
    explicit SnapshotDecoder(FoldData& data)
        : data_(data)
    {
    }

    std::string decode(const proto::SnapshotState&);

private:
    void require(bool holds, const char* mistake)
    {
        if (!holds && mistake_.empty())
            mistake_ = mistake;
    }

    WallTime time(int64_t milliseconds)
    {
        require(milliseconds >= 0 && milliseconds <= latestUnixMilliseconds, "a time is out of range");
        return wallTimeFromUnix(Milliseconds(milliseconds));
    }

    template <typename Enum> Enum enumerator(uint32_t value, Enum last)
    {
        require(value <= static_cast<uint32_t>(last), "a status is out of range");
        return static_cast<Enum>(value);
    }

    template <typename Repeated, typename Map, typename Decode>
    void decodeMap(const Repeated& from, Map& to, size_t limit, Decode decodeItem)
    {
        require(static_cast<size_t>(from.size()) <= limit, "a list is too long");
        for (int i = 0; i < from.size() && mistake_.empty(); ++i) {
            auto value = (this->*decodeItem)(from.Get(i));
            require(isValidName(value.id), "a name is not valid");
            auto id = value.id;
            require(to.emplace(std::move(id), std::move(value)).second, "a name occurs twice");
        }
    }

    void decodeHeader(const proto::SnapshotState&);
    void decodeWriters(const proto::SnapshotState&);
    void decodeConfiguration(const proto::SnapshotState&);
    void decodeHandbooks(const proto::SnapshotState&);
    void decodeKeys(const proto::SnapshotState&);
    void decodeAudit(const proto::SnapshotState&);
    EntryMember decodeEntry(const proto::EntryState&);
    Invocation decodeInvocation(const proto::InvocationState&);
    Instance decodeInstance(const proto::InstanceState&);
    Move decodeMove(const proto::MoveState&);
    Maintenance decodeMaintenance(const proto::MaintenanceState&);
    Wave decodeWave(const proto::WaveState&);
    Task decodeTask(const proto::TaskState&);

    FoldData& data_;
    std::string mistake_;
};

static std::set<std::string> setOf(const google::protobuf::RepeatedPtrField<std::string>& list)
{
    return { list.begin(), list.end() };
}

static InstanceShape shapeFrom(const proto::InstanceShape& shape)
{
    return { shape.cores(), shape.memory_mb(), shape.accelerators(), shape.slots(), shape.connections() };
}

void SnapshotDecoder::decodeHeader(const proto::SnapshotState& from)
{
    require(from.format() == snapshotFormat, "unknown format");
    data_.offset = from.offset();
    data_.state.foldTime = time(from.fold_time_ms());
    data_.keyHorizon = time(from.key_horizon_ms());
    data_.epochFloor = from.epoch_floor();
}

void SnapshotDecoder::decodeWriters(const proto::SnapshotState& from)
{
    require(static_cast<size_t>(from.writers_size()) <= maximumWriterWindows, "too many writers");
    for (const auto& item : from.writers()) {
        WriterWindow window;
        window.highest = item.highest_sequence();
        window.missing.insert(item.missing_sequences().begin(), item.missing_sequences().end());
        window.writtenAt = time(item.written_ms());
        window.lastOffset = item.last_offset();
        window.replaced = item.replaced();
        bool valid = isValidName(item.writer()) && window.highest > 0
            && window.missing.size() <= maximumMissingSequences
            && (window.missing.empty() || *window.missing.rbegin() < window.highest);
        require(valid, "a writer's window is not valid");
        require(data_.writers.insert(item.writer(), item.boot(), std::move(window)), "a writer occurs twice");
    }
}

void SnapshotDecoder::decodeConfiguration(const proto::SnapshotState& from)
{
    auto& state = data_.state;
    state.configurationVersion = from.configuration_version();
    state.configurationIni = from.configuration_ini();
    state.configurationAuthor = from.configuration_author();
    state.configurationReviewer = from.configuration_reviewer();
    if (state.configurationVersion == 0) {
        require(state.configurationIni.empty(), "a configuration without a version");
        return;
    }
    bool valid = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(configuration, parseFleetConfiguration(state.configurationIni, "configuration"));
            state.configuration = std::move(configuration);
            return true;
        },
        [](const Error&) { return false; });
    require(valid, "the configuration is not valid");
}

EntryMember SnapshotDecoder::decodeEntry(const proto::EntryState& from)
{
    const auto* window = data_.writers.find(from.entry(), from.boot());
    require(window != nullptr && isValidName(from.zone()), "an entry is not valid");
    if (window)
        data_.memberStamps[from.entry()] = window->writtenAt;
    return { from.entry(), from.boot(), from.zone(), from.peer_address() };
}

void SnapshotDecoder::decodeHandbooks(const proto::SnapshotState& from)
{
    require(static_cast<size_t>(from.handbooks_size()) <= maximumHandbooks, "too many handbook entries");
    for (const auto& item : from.handbooks()) {
        HandbookEntry entry;
        entry.name = item.name();
        entry.version = item.version();
        entry.ini = item.ini();
        entry.author = item.author();
        entry.reviewer = item.reviewer();
        entry.approved = item.approved();
        entry.approvedVersion = item.approved_version();
        entry.approvedIni = item.approved_ini();
        require(isValidName(entry.name) && entry.approvedVersion <= entry.version, "a handbook entry is not valid");
        require(data_.state.handbooks.emplace(item.name(), std::move(entry)).second, "a handbook entry occurs twice");
    }
}

Invocation SnapshotDecoder::decodeInvocation(const proto::InvocationState& from)
{
    data_.invocationOrder.note(from.offset(), from.invocation_id());
    return { from.invocation_id(), from.name(), from.version(), from.operator_name(), from.offset() };
}

Instance SnapshotDecoder::decodeInstance(const proto::InstanceState& from)
{
    Instance instance;
    instance.id = from.instance();
    instance.address = from.address();
    instance.zone = from.zone();
    instance.rack = from.rack();
    instance.homePool = from.home_pool();
    instance.pool = from.pool();
    instance.epoch = from.epoch();
    instance.status = enumerator(from.state(), InstanceStatus::Closed);
    instance.shape = shapeFrom(from.shape());
    instance.operationId = from.operation_id();
    instance.changedOffset = from.changed_offset();
    instance.lost = from.lost();
    instance.leaving = from.leaving();
    return instance;
}

Move SnapshotDecoder::decodeMove(const proto::MoveState& from)
{
    Move move;
    move.id = from.move_id();
    move.instance = from.instance();
    move.fromPool = from.from_pool();
    move.toPool = from.to_pool();
    move.pendingGates = setOf(from.pending_gates());
    move.proposedOffset = from.proposed_offset();
    move.proposedAt = time(from.proposed_ms());
    move.status = enumerator(from.status(), MoveStatus::Aborted);
    move.epoch = from.epoch();
    move.invocationId = from.invocation_id();
    if (hasEnded(move))
        data_.endedMoves.note(move.proposedOffset, move.id);
    return move;
}

Maintenance SnapshotDecoder::decodeMaintenance(const proto::MaintenanceState& from)
{
    return { from.instance(), setOf(from.pending_gates()), from.started_offset(), time(from.started_ms()),
        from.epoch() };
}

Wave SnapshotDecoder::decodeWave(const proto::WaveState& from)
{
    Wave wave;
    wave.id = from.wave_id();
    wave.status = enumerator(from.status(), WaveStatus::Done);
    wave.zone = from.zone();
    wave.pool = from.pool();
    wave.maximumParallel = from.max_parallel();
    wave.pending = setOf(from.pending());
    wave.done = setOf(from.done());
    wave.givenUp = setOf(from.given_up());
    for (const auto& item : from.active())
        wave.active.emplace(item.instance(), decodeMaintenance(item));
    wave.startedAt = time(from.started_ms());
    wave.invocationId = from.invocation_id();
    wave.keepDrained = from.keep_drained();
    if (hasEnded(wave))
        data_.endedWaves.note(unixMilliseconds(wave.startedAt), wave.id);
    return wave;
}

Task SnapshotDecoder::decodeTask(const proto::TaskState& from)
{
    Task task;
    task.id = from.task_id();
    assignSpec(task, from.spec());
    task.status = enumerator(from.status(), TaskStatus::Cancelled);
    task.instance = from.instance();
    task.owner = from.owner();
    task.token = from.token();
    task.failedInstances = setOf(from.failed_instances());
    task.receipt = from.receipt();
    task.acceptedAt = time(from.accepted_ms());
    require(task.input.size() <= maximumTaskInputBytes, "a task's input is too long");
    if (hasEnded(task))
        data_.endedTasks.note(unixMilliseconds(task.acceptedAt), task.id);
    return task;
}

void SnapshotDecoder::decodeKeys(const proto::SnapshotState& from)
{
    require(static_cast<size_t>(from.keys_size()) <= maximumKeys, "too many keys");
    for (const auto& item : from.keys()) {
        RequestKey key { item.digest(), item.kind(), item.owner(), item.owner_boot(),
            enumerator(item.status(), KeyStatus::Unknown), item.receipt() };
        auto issued = issueTimeOf(item.key());
        require(issued && *issued > data_.keyHorizon, "a key is malformed or expired");
        require(data_.state.keys.emplace(item.key(), std::move(key)).second, "a key occurs twice");
    }
}

void SnapshotDecoder::decodeAudit(const proto::SnapshotState& from)
{
    require(static_cast<size_t>(from.audit_size()) <= maximumAuditEvents, "too many audit events");
    for (const auto& item : from.audit()) {
        auto code = resultCodeFromNumber(item.result_code());
        require(code.has_value(), "unknown result code");
        data_.state.audit.push_back({ item.offset(), item.place(), time(item.written_ms()), item.actor(),
            item.subject(), item.action(), item.reason(), code.value_or(ResultCode::Internal), item.figures() });
    }
}

// Writers come before entries, whose stamps are found there.
std::string SnapshotDecoder::decode(const proto::SnapshotState& from)
{
    auto& state = data_.state;
    decodeHeader(from);
    decodeWriters(from);
    decodeConfiguration(from);
    decodeHandbooks(from);
    decodeMap(from.entries(), state.entries, maximumEntries, &SnapshotDecoder::decodeEntry);
    decodeMap(from.invocations(), state.invocations, maximumInvocations, &SnapshotDecoder::decodeInvocation);
    decodeMap(from.instances(), state.instances, maximumInstances, &SnapshotDecoder::decodeInstance);
    decodeMap(from.moves(), state.moves, maximumInstances + maximumEndedMoves, &SnapshotDecoder::decodeMove);
    decodeMap(from.waves(), state.waves, maximumRunningWaves + maximumEndedWaves, &SnapshotDecoder::decodeWave);
    decodeMap(from.tasks(), state.tasks, maximumOpenTasks + maximumEndedTasks, &SnapshotDecoder::decodeTask);
    decodeKeys(from);
    decodeAudit(from);
    return mistake_.empty() ? findInconsistency(data_) : mistake_;
}

std::string dataFrom(const proto::SnapshotState& message, FoldData& data)
{
    return SnapshotDecoder(data).decode(message);
}

} // namespace shallotdrift::internal
