#include "PlatformReplies.h"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <platform.pb.h>
#include <stdexcept>

namespace shallotdrift::internal {

// Twice the instances and tasks of the largest fleet in the design (730 workers, 1,000 accelerators).
static constexpr size_t maximumListed = 4096;
static constexpr size_t maximumTasks = 65536;
static constexpr size_t maximumNameLength = 256;
static constexpr size_t maximumReceiptLength = 256;
static constexpr size_t maximumPayloadBytes = 1 << 20;

static constexpr std::array<std::string_view, 6> taskStatusNames { "running", "throttled", "checkpointed", "succeeded",
    "failed", "lease-lapsed" };

std::string_view nameOf(PlatformTask::Status status) { return taskStatusNames.at(static_cast<size_t>(status)); }

static boost::leaf::error_id malformed(std::string_view call, const std::string& fault)
{
    return fail(ResultCode::AnswerLost, fmt::format("malformed reply to {}: {}", call, fault));
}

Result<Offset> parseAppendReply(std::string_view body)
{
    proto::AppendReply reply;
    if (!reply.ParseFromArray(body.data(), static_cast<int>(body.size())))
        return malformed("append", "not an AppendReply");
    if (!reply.offset())
        return malformed("append", "no offset");
    return reply.offset();
}

Result<LogPage> parseReadReply(std::string_view body, Offset from, size_t maximumItems)
{
    proto::ReadReply reply;
    if (!reply.ParseFromArray(body.data(), static_cast<int>(body.size())))
        return malformed("read", "not a ReadReply");
    if (!reply.earliest() || reply.next() < reply.earliest())
        return malformed("read", fmt::format("earliest {} and next {}", reply.earliest(), reply.next()));
    if (static_cast<size_t>(reply.entries_size()) > maximumItems)
        return malformed("read", fmt::format("{} entries, {} asked for", reply.entries_size(), maximumItems));
    LogPage page;
    page.earliest = reply.earliest();
    page.next = reply.next();
    page.items.reserve(static_cast<size_t>(reply.entries_size()));
    Offset lowest = from;
    for (auto& entry : *reply.mutable_entries()) {
        if (entry.offset() < lowest || entry.offset() >= page.next || entry.offset() < page.earliest)
            return malformed("read", fmt::format("offset {} is out of order", entry.offset()));
        if (entry.payload().size() > maximumPayloadBytes)
            return malformed("read", fmt::format("entry {} has {} bytes", entry.offset(), entry.payload().size()));
        lowest = entry.offset() + 1;
        page.items.push_back({ entry.offset(), std::move(*entry.mutable_payload()) });
    }
    return page;
}

// Throws std::runtime_error with a clear message; the library's own errors derive from std::exception too.
static std::string text(const nlohmann::json& object, const char* field, size_t limit = maximumNameLength)
{
    auto position = object.find(field);
    if (position == object.end() || !position->is_string())
        throw std::runtime_error(fmt::format("field {} is missing or no text", field));
    const auto& value = position->get_ref<const std::string&>();
    if (value.size() > limit)
        throw std::runtime_error(fmt::format("field {} is longer than {} bytes", field, limit));
    return value;
}

static std::string name(const nlohmann::json& object, const char* field)
{
    auto value = text(object, field);
    if (value.empty())
        throw std::runtime_error(fmt::format("field {} is empty", field));
    return value;
}

template <typename T> static T number(const nlohmann::json& object, const char* field)
{
    auto position = object.find(field);
    if (position == object.end() || !position->is_number_unsigned())
        throw std::runtime_error(fmt::format("field {} is missing or no whole number", field));
    auto value = position->get<uint64_t>();
    if (value > std::numeric_limits<T>::max())
        throw std::runtime_error(fmt::format("field {} is out of range", field));
    return static_cast<T>(value);
}

static const nlohmann::json& array(const nlohmann::json& object, const char* field, size_t limit)
{
    if (!object.is_object() || !object.contains(field) || !object.at(field).is_array())
        throw std::runtime_error(fmt::format("field {} is missing or no array", field));
    const auto& items = object.at(field);
    if (items.size() > limit)
        throw std::runtime_error(fmt::format("field {} has {} items", field, items.size()));
    for (const auto& item : items) {
        if (!item.is_object())
            throw std::runtime_error(fmt::format("an item of {} is no object", field));
    }
    return items;
}

static ListedInstance instanceFrom(const nlohmann::json& item)
{
    ListedInstance instance;
    instance.id = name(item, "id");
    auto role = text(item, "role");
    if (role != "target" && role != "entry")
        throw std::runtime_error(fmt::format("instance {} has the unknown role {}", instance.id, role));
    instance.role = role == "entry" ? ListedInstance::Role::Entry : ListedInstance::Role::Target;
    instance.address = name(item, "address");
    instance.zone = name(item, "zone");
    instance.rack = text(item, "rack");
    instance.pool = text(item, "pool");
    auto leaving = item.find("leaving");
    if (leaving == item.end() || !leaving->is_boolean())
        throw std::runtime_error("field leaving is missing or no truth value");
    instance.leaving = leaving->get<bool>();
    instance.shape.cores = number<uint32_t>(item, "cores");
    instance.shape.memoryMegabytes = number<uint64_t>(item, "memory_mb");
    instance.shape.accelerators = number<uint32_t>(item, "accelerators");
    instance.shape.slots = number<uint32_t>(item, "slots");
    instance.shape.connections = number<uint32_t>(item, "connections");
    return instance;
}

Result<InstanceList> parseInstances(std::string_view body)
{
    try {
        auto reply = nlohmann::json::parse(body);
        InstanceList list;
        const auto& items = array(reply, "instances", maximumListed);
        list.version = number<uint64_t>(reply, "version");
        list.instances.reserve(items.size());
        for (const auto& item : items)
            list.instances.push_back(instanceFrom(item));
        return list;
    } catch (const std::exception& error) {
        return malformed("instances", error.what());
    }
}

static PlatformTask taskFrom(const nlohmann::json& item)
{
    PlatformTask task;
    task.id = name(item, "id");
    task.instance = name(item, "instance");
    task.token = number<uint64_t>(item, "token");
    auto status = text(item, "status");
    auto position = std::find(taskStatusNames.begin(), taskStatusNames.end(), status);
    if (position == taskStatusNames.end())
        throw std::runtime_error(fmt::format("task {} has the unknown status {}", task.id, status));
    task.status = static_cast<PlatformTask::Status>(position - taskStatusNames.begin());
    task.receipt = text(item, "receipt", maximumReceiptLength);
    auto cores = item.find("cores_used");
    if (cores == item.end() || !cores->is_number() || cores->get<double>() < 0)
        throw std::runtime_error("field cores_used is missing or no amount");
    task.coresUsed = cores->get<double>();
    task.memoryMegabytesUsed = number<uint64_t>(item, "memory_mb_used");
    return task;
}

Result<std::vector<PlatformTask>> parseTasks(std::string_view body)
{
    try {
        auto reply = nlohmann::json::parse(body);
        const auto& items = array(reply, "tasks", maximumTasks);
        std::vector<PlatformTask> tasks;
        tasks.reserve(items.size());
        for (const auto& item : items)
            tasks.push_back(taskFrom(item));
        return tasks;
    } catch (const std::exception& error) {
        return malformed("tasks", error.what());
    }
}

} // namespace shallotdrift::internal
